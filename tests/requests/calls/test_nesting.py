"""Tests for the detection of nested calls by their deadline."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import nesting
from tests.requests import builders


class SharesDeadlineTest(unittest.IsolatedAsyncioTestCase):
    """A call that runs until second 10 and was given 4,321 ms."""

    async def asyncSetUp(self) -> None:
        self.call = builders.build_call()
        self.call.deadline = 10.0
        self.call.stated_timeout_ms = 4321

    def shares_deadline(self, timeout_ms: int | None) -> bool:
        """Returns the result for a request that arrives at second 7."""
        return nesting.shares_deadline([self.call], 7.0, timeout_ms)

    async def test_nested_call_with_the_time_left(self) -> None:
        """Guards against nested calls that are taken for new work."""
        self.assertTrue(self.shares_deadline(2999))

    async def test_nested_call_with_the_timeout_of_its_parent(self) -> None:
        """Guards against nested calls that pass on what they were given."""
        self.assertTrue(self.shares_deadline(4321))

    async def test_other_deadlines_are_of_new_work(self) -> None:
        """Guards against new work that a draining daemon takes for nested."""
        for timeout_ms in (None, 2000, 4000, 6000):
            self.assertFalse(self.shares_deadline(timeout_ms))
