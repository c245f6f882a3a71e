"""Tests of the stand-ins of the platform."""
