"""Detection and blocking of requests that crash backend servers."""
