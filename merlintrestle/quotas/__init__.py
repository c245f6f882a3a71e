"""Quotas of workspaces over all daemons together."""
