"""Stand-ins for the platform, used only by tests, demo and measurements."""
