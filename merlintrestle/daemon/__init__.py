"""The daemon of an instance, which runs next to its backend server."""
