"""Tests of merlintrestle.requests.load."""
