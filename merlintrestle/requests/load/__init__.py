"""Load: where calls go, how many run, and which are tried again."""
