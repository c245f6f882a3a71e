"""Distribution of configuration versions, applied whole and never lowered."""
