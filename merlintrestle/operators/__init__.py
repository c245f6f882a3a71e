"""Command-line program for operators."""
