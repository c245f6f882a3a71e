"""Distribution of configuration versions, applied whole and never lowered.

The head is the record in the store that names the newest accepted version. The
floor is the lowest version that a daemon may run after its start.
"""
