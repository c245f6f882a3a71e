"""Load balancing, admission control and retries of calls."""
