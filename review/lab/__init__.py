"""Stand-ins and a small deployment for the cases of the second review."""
