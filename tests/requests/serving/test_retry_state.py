"""Whether a call may be sent once more, by what became of it so far."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import retries
from merlintrestle.requests.load import round_trips
from merlintrestle.requests.serving import attempts
from merlintrestle.requests.serving import retry_state
from tests.requests import builders
from tests.requests import fakes

_TURNED_AWAY = outcomes.NotRun(
    "shed", elsewhere=True, overloaded=True, reached=True
)
_BROKE = outcomes.Unknown("the connection broke", broken=True)


class ProgressTest(unittest.TestCase):
    """A call and a budget of five repeats."""

    def setUp(self) -> None:
        self.budget = budgets.Budget(
            budgets.Bounds(0.0, 5.0, 10.0), fakes.Clock().get_time
        )
        self.call = builders.build_call(plan=builders.build_plan())
        self.way = round_trips.RoundTripTime(fakes.Clock().get_time)
        self.progress = retry_state.RetryState(
            self.call, self.budget, attempts.Attempts(), self.way
        )

    def send_again(self, outcome: outcomes.Outcome) -> bool:
        """Notes how a try has ended; returns whether another is paid."""
        self.progress.note(outcome)
        retry = retries.classify(outcome, self.call)
        return retry is retries.Retry.BUDGETED and self.progress.spend()

    def test_call_that_is_turned_away_goes_on(self) -> None:
        """The caller gets an answer though two upstreams turned it away.

        Half of the backend servers of a service shed. Given up after the
        second, a check would fail and the call on whose behalf it is made,
        which has held its slot for a second, would fail with it.
        """
        self.assertTrue(self.send_again(_TURNED_AWAY))
        self.assertTrue(self.send_again(_TURNED_AWAY))
        self.assertEqual(self.budget.balance, 3.0)

    def test_call_that_may_have_run_is_sent_once_more_at_most(self) -> None:
        self.assertTrue(self.send_again(_BROKE))
        self.assertFalse(self.send_again(_TURNED_AWAY))

    def test_call_below_one_that_is_tried_again_is_not(self) -> None:
        """N nested levels that each try again would run the lowest 2**N times.

        The daemon above will have it sent anew.
        """
        self.call.attempt = 1
        self.assertFalse(self.send_again(_TURNED_AWAY))

    def test_budget_ends_it(self) -> None:
        sent = sum(self.send_again(_TURNED_AWAY) for _ in range(10))
        self.assertEqual(sent, 5)
