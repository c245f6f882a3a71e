"""Tests of clients that don't stay within the limits."""
