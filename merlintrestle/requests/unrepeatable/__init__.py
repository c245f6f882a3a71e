"""Work that may not be repeated, and its claims in the store."""
