"""Tests of merlintrestle.requests.transport."""
