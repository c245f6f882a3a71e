"""The way of a request through a daemon, from its sender to the answer."""
