"""At-most-once execution of work, under claims in the store."""
