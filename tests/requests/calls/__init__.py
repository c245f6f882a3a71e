"""Tests of merlintrestle.requests.calls."""
