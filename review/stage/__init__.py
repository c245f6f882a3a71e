"""Stand-ins and helpers that the cases of the third review share."""
