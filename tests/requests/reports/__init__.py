"""Tests of the metrics and decision logs of calls."""
