"""The platform store: its client and the records kept in it."""
