"""Tests of whether a call may be sent again, by its outcomes so far."""

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

_REFUSED_BY_BACKEND = outcomes.NotRun(
    "shed", elsewhere=True, overloaded=True, reached=True
)
_CONNECTION_BROKE = outcomes.Unknown("the connection broke", broken=True)


class RetryStateTest(unittest.TestCase):
    """A call and a budget of five retries."""

    def setUp(self) -> None:
        self.budget = budgets.Budget(
            budgets.Bounds(0.0, 5.0, 10.0), fakes.Clock().get_time
        )
        self.call = builders.build_call(plan=builders.build_plan())
        self.round_trip = round_trips.RoundTripTime(fakes.Clock().get_time)
        self.state = retry_state.RetryState(
            self.call, self.budget, attempts.Attempts(), self.round_trip
        )

    def send_again(self, outcome: outcomes.Outcome) -> bool:
        """Records an outcome; returns whether another attempt is paid for."""
        self.state.record(outcome)
        retry = retries.classify(outcome, self.call)
        return retry is retries.Retry.BUDGETED and self.state.try_charge_retry()

    def test_call_refused_by_two_backend_servers_is_sent_again(self) -> None:
        """Guards against calls that are given up after two refusals.

        Half of the backend servers of a service shed load. If a nested call
        failed after two refusals, the call that makes it and has already held
        its slot for a second would fail as well.
        """
        self.assertTrue(self.send_again(_REFUSED_BY_BACKEND))
        self.assertTrue(self.send_again(_REFUSED_BY_BACKEND))
        self.assertEqual(self.budget.balance, 3.0)

    def test_call_that_may_have_run_is_sent_once_more_at_most(self) -> None:
        self.assertTrue(self.send_again(_CONNECTION_BROKE))
        self.assertFalse(self.send_again(_REFUSED_BY_BACKEND))

    def test_call_below_one_that_may_be_retried_is_not(self) -> None:
        """Guards against retries at every level of nested calls.

        With N levels that each retry, the lowest call would run 2**N times.
        Here a daemon above may retry, so this one must not.
        """
        self.call.attempt = 1
        self.assertFalse(self.send_again(_REFUSED_BY_BACKEND))

    def test_used_up_budget_ends_retries(self) -> None:
        paid_count = sum(
            self.send_again(_REFUSED_BY_BACKEND) for _ in range(10)
        )
        self.assertEqual(paid_count, 5)
