"""Tests of the recognition of callers that retry after a refusal."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests.load import refused_callers

# Route and path of a request.
_TICKETS = ("tickets", "/tickets/17")


class RefusedCallersTest(unittest.TestCase):
    """Callers are refused and retry, at times that the test sets.

    A caller is added with the deadline of its request and the arrival time of
    its first request, both in seconds.
    """

    def setUp(self) -> None:
        self.now = 100.0
        self.callers = refused_callers.RefusedCallers(lambda: self.now)

    def test_retry_is_recognised(self) -> None:
        """Deadlines that differ by 4 ms are within the tolerance."""
        self.callers.add(_TICKETS, 102.5, 100.0)
        self.now = 100.3
        self.assertEqual(self.callers.pop(_TICKETS, 102.504), 100.0)

    @hypothesis.given(strategies.floats(0.1, 30.0))
    def test_caller_with_a_short_timeout_is_new(self, timeout_s: float) -> None:
        """A first request does not count as a retry, whatever its timeout is.

        Callers of one route have timeouts of 1.25 to 1.5 s. If the time since
        the first request were derived from the remaining time, a caller with
        the shorter timeout would seem to have waited for a quarter of a second.
        Its call would be late from the start, and would be refused although a
        slot becomes free within a few milliseconds.
        """
        callers = refused_callers.RefusedCallers(lambda: 100.0)
        callers.add(_TICKETS, 200.0, 99.0)
        self.assertIsNone(callers.pop(_TICKETS, 100.0 + timeout_s))

    def test_other_request_with_the_same_deadline_is_new(self) -> None:
        self.callers.add(_TICKETS, 102.5, 100.0)
        other_request = ("tickets", "/tickets/18")
        self.assertIsNone(self.callers.pop(other_request, 102.5))

    def test_each_refusal_accounts_for_one_retry(self) -> None:
        """Two callers with the same request do not count as one caller."""
        self.callers.add(_TICKETS, 102.5, 100.0)
        self.assertIsNotNone(self.callers.pop(_TICKETS, 102.5))
        self.assertIsNone(self.callers.pop(_TICKETS, 102.5))

    def test_number_of_callers_is_limited(self) -> None:
        """Guards against memory that grows with the number of refusals."""
        for number in range(20_000):
            self.callers.add(("tickets", f"/{number}"), 160.0, 100.0)
        self.assertLessEqual(len(self.callers._callers), 5000)
        self.now = 161.0
        self.callers.add(_TICKETS, 170.0, 161.0)
        self.assertEqual(len(self.callers._callers), 1)
