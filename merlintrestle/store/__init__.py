"""Client of the platform store and the records stored in it."""
