"""Tests of merlintrestle; the folders mirror the package."""
