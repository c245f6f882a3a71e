"""Workspaces: groups of callers with API keys, priorities and quotas."""
