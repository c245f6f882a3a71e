"""The daemon that runs on each instance with its backend server."""
