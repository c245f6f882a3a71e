"""Protobuf schema of messages and settings, and the code generated from it."""
