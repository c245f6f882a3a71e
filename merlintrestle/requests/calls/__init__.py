"""Parsing and routing of requests, and the outcomes of calls."""
