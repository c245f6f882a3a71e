"""Callers that come back are known by what they ask for and until when."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests.load import refused_callers

_TICKETS = ("tickets", "/tickets/17")


class ReturnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.returns = refused_callers.RefusedCallers(lambda: self.now)

    def test_one_that_comes_back_is_known(self) -> None:
        self.returns.add(_TICKETS, 102.5, 100.0)
        self.now = 100.3
        self.assertEqual(self.returns.pop(_TICKETS, 102.504), 100.0)

    @hypothesis.given(strategies.floats(0.1, 30.0))
    def test_an_impatient_caller_is_new(self, limit_s: float) -> None:
        """A first request is served as one, however long its caller waits.

        Callers of one route wait 1.25 to 1.5 s. Taken for one that had been
        asking for a quarter of a second, an impatient one was late from the
        start, and refused by a daemon with a free slot a few ms away.
        """
        returns = refused_callers.RefusedCallers(lambda: 100.0)
        returns.add(_TICKETS, 200.0, 99.0)
        self.assertIsNone(returns.pop(_TICKETS, 100.0 + limit_s))

    def test_another_request_of_the_same_length_is_new(self) -> None:
        self.returns.add(_TICKETS, 102.5, 100.0)
        other = ("tickets", "/tickets/18")
        self.assertIsNone(self.returns.pop(other, 102.5))

    def test_each_refusal_counts_for_one_return(self) -> None:
        """Two callers that ask the same at once are not taken for one."""
        self.returns.add(_TICKETS, 102.5, 100.0)
        self.assertIsNotNone(self.returns.pop(_TICKETS, 102.5))
        self.assertIsNone(self.returns.pop(_TICKETS, 102.5))

    def test_memory_is_bounded(self) -> None:
        for number in range(20_000):
            self.returns.add(("tickets", f"/{number}"), 160.0, 100.0)
        self.assertLessEqual(len(self.returns._callers), 5000)
        self.now = 161.0
        self.returns.add(_TICKETS, 170.0, 161.0)
        self.assertEqual(len(self.returns._callers), 1)
