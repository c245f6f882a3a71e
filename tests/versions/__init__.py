"""Tests of versions."""
