"""Code that the cases of this review share."""
