"""Tests of merlintrestle.requests.reports."""
