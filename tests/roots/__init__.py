"""Golden files of sessions, and tests of the sessions of operators."""
