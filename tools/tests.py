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
    failed_tests = list_failed_tests(result)
    known_failures = known_red.read_known_red()
    for name, entry in known_failures.items():
        if name not in failed_tests:
            print(f"known red, now passes: {entry}")
    failed = len(failed_tests - known_failures.keys()) + failed_checks
    print(f"{result.testsRun - len(failed_tests)} passed, {failed} failed")
    return 1 if failed else 0


def list_failed_tests(result: unittest.TestResult) -> set[str]:
    """Returns the ids of the failed tests.

    A failed subtest stands for its test: KNOWN-RED.txt lists tests, and only
    whole tests are counted as run.
    """
    failures = [*result.failures, *result.errors]
    return {getattr(test, "test_case", test).id() for test, _ in failures}


if __name__ == "__main__":
    sys.exit(main())
