"""Golden files of sessions, and tests of the operators' sessions."""
