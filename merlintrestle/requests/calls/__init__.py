"""What a request is: read, routed, and what becomes of it."""
