"""Tests of the program that runs all tests."""

from __future__ import annotations

import unittest

from tools import tests


class FailedTestsTest(unittest.TestCase):
    def test_failed_subtests_are_one_failed_test(self) -> None:
        """Guards against a listed test that fails CI by its subtests."""

        class FailingTest(unittest.TestCase):
            def runTest(self) -> None:  # noqa: N802
                for number in range(3):
                    with self.subTest(number=number):
                        self.assertEqual(number, 0)

        result = unittest.TestResult()
        test = FailingTest()
        test.run(result)
        self.assertEqual(len(result.failures), 2)
        self.assertEqual(tests.list_failed_tests(result), {test.id()})
