"""Tests for the adapter to the users' platform."""
