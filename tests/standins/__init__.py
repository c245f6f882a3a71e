"""Tests for the stand-ins for the platform."""
