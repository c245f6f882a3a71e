"""Serving of requests by a daemon, from reception to the answer."""
