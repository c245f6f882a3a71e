"""The process beside each backend server instance."""
