"""Runs all tests and prints the plain closing line."""

from __future__ import annotations

import os
import pathlib
import sys
import unittest

import hypothesis

from tools import known_red

_ROOT = pathlib.Path(__file__).parent.parent


def main() -> int:
    """Runs the tests; the first argument counts checks that failed before."""
    failed_checks = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None, print_blob=True
    )
    hypothesis.settings.load_profile("ci")
    os.chdir(_ROOT)
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    bad = [*result.failures, *result.errors]
    known = known_red.read_known_red()
    fresh = [test for test, _ in bad if test.id() not in known]
    for name, line in known.items():
        if name not in {test.id() for test, _ in bad}:
            print(f"known red, now passes: {line}")
    failed = len(fresh) + failed_checks
    print(f"{result.testsRun - len(bad)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
