"""Tests of merlintrestle.requests.crashing."""
