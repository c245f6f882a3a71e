"""Adapter to the users' platform; it translates and makes no decisions."""
