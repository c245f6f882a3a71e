"""Tests of merlintrestle.requests.unrepeatable."""
