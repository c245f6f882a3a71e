"""Tests of retry decisions, which depend on the outcomes of a call so far."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import retries
from merlintrestle.requests.load import round_trips
from merlintrestle.requests.serving import attempts as attempts_
from merlintrestle.requests.serving import retry_state as retry_states
from tests.requests import builders
from tests.requests import fakes

_REFUSED_BY_BACKEND = outcomes.NotRun(
    "shed", elsewhere=True, overloaded=True, reached=True
)
_BROKEN_CONNECTION = outcomes.Unknown("the connection broke", broken=True)


class RetryStateTest(unittest.TestCase):
    """A call of a service whose budget allows five retries."""

    def setUp(self) -> None:
        self.budget = budgets.Budget(
            budgets.Bounds(0.0, 5.0, 10.0), fakes.FakeClock().get_time
        )
        self.call = builders.build_call(plan=builders.build_plan())
        self.round_trip = round_trips.RoundTripTime(fakes.FakeClock().get_time)
        self.state = retry_states.RetryState(
            self.call, self.budget, attempts_.Attempts(), self.round_trip
        )

    def try_retry(self, outcome: outcomes.Outcome) -> bool:
        """Records an outcome; returns whether a retry was charged for it."""
        self.state.record(outcome)
        retry = retries.classify(outcome, self.call)
        return retry is retries.Retry.BUDGETED and self.state.try_charge_retry()

    def test_call_refused_by_two_backend_servers_is_retried(self) -> None:
        """Guards against calls that fail after two refusals.

        It happens if half of the backend servers of a service shed load. If a
        nested call then failed after two refusals, so would its outer call,
        although that has already occupied its slot for a second.
        """
        self.assertTrue(self.try_retry(_REFUSED_BY_BACKEND))
        self.assertTrue(self.try_retry(_REFUSED_BY_BACKEND))
        self.assertEqual(self.budget.balance, 3.0)

    def test_call_that_may_have_run_is_retried_only_once(self) -> None:
        """Guards against a third run of a call that may have run twice."""
        self.assertTrue(self.try_retry(_BROKEN_CONNECTION))
        self.assertFalse(self.try_retry(_REFUSED_BY_BACKEND))

    def test_nested_call_is_not_retried_if_outer_call_may_be(self) -> None:
        """Guards against retries at every level of nested calls.

        If each of N levels retried, the lowest call would run 2**N times. The
        daemon of the outer call may retry, so this daemon must not.
        """
        self.call.attempt_number = 1
        self.assertFalse(self.try_retry(_REFUSED_BY_BACKEND))

    def test_exhausted_budget_ends_retries(self) -> None:
        """Guards against retries that are not limited by the budget."""
        retry_count = sum(
            self.try_retry(_REFUSED_BY_BACKEND) for _ in range(10)
        )
        self.assertEqual(retry_count, 5)
