"""Programs of the developers."""
