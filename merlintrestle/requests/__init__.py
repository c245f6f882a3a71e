"""Requests of callers: routing, limits, retries and safeguards."""
