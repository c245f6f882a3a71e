"""Stand-ins for the platform, for tests, demo and measurements alone."""
