"""Tests of the developers' programs."""
