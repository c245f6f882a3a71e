"""Runs all tests and prints how many passed and failed."""

from __future__ import annotations

import os
import pathlib
import sys
import unittest

import hypothesis

from tools import known_red

_ROOT = pathlib.Path(__file__).parent.parent


def main() -> int:
    """Runs all tests.

    The first command-line argument is the number of other checks that have
    failed; the printed number of failures includes them, but not failed tests
    that KNOWN-RED.txt lists.

    Returns:
        1 if the printed number of failures is not 0, else 0.
    """
    failed_checks = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None, print_blob=True
    )
    hypothesis.settings.load_profile("ci")
    os.chdir(_ROOT)
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failures = [*result.failures, *result.errors]
    known_failures = known_red.read_known_red()
    new_failures = [
        test for test, _ in failures if test.id() not in known_failures
    ]
    for name, entry in known_failures.items():
        if name not in {test.id() for test, _ in failures}:
            print(f"known red, now passes: {entry}")
    failed = len(new_failures) + failed_checks
    print(f"{result.testsRun - len(failures)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
