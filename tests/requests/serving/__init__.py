"""Tests of merlintrestle.requests.serving."""
