"""Tests of merlintrestle, in the folder structure of the package."""
