"""Metrics and decision logs of calls."""
