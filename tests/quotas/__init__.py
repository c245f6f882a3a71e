"""Tests of the quotas of workspaces."""
