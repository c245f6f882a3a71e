"""Tests of the operators' program."""
