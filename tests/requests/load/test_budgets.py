"""Tests of the retry budgets."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests.load import budgets
from tests.requests import fakes


class BudgetTest(unittest.TestCase):
    """The budget of one of thirteen daemons."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.budgets = budgets.Budgets(lambda: 13, self.clock.get_time)
        self.budgets.set_bounds(0.2, 62.0, 10.0)

    def call(self, count: int) -> None:
        """Makes calls, evenly distributed over five seconds."""
        for _ in range(count):
            self.clock.now += 5.0 / count
            self.budgets.get("kassa").record_call()

    def retry(self) -> int:
        """Makes as many retries as the budget allows, and counts them."""
        count = 0
        while self.budgets.get("kassa").try_spend():
            count += 1
        return count

    def test_budget_covers_failures_of_a_second(self) -> None:
        """Callers get answers when some backend servers begin to fail.

        A daemon makes a hundred calls per second, and after five seconds
        without failures every fourth call of one second fails. With a token
        bucket with a capacity of a few tokens, refilled by each call, only ten
        of the 25 failures would be retried.
        """
        self.call(500)
        self.assertGreaterEqual(self.retry(), 25)

    def test_service_without_calls_has_its_share_of_the_slack(self) -> None:
        """Three quarters of 62 retries are divided among thirteen daemons."""
        self.assertEqual(self.retry(), 3)
        # More than the window and the time of one of its buckets, 10.5 s.
        self.clock.now += 10.6
        self.assertEqual(self.retry(), 3)

    def test_unused_retries_expire_after_the_window(self) -> None:
        """After twenty seconds without calls only the slack is available."""
        self.call(500)
        self.clock.now += 20.0
        self.assertEqual(self.retry(), 3)

    def test_calls_made_by_repeats_count_as_repeats(self) -> None:
        """The called service receives no more repeats than the bounds allow.

        Every second call that runs at the local backend server is a repeat, and
        every running call makes a nested call. Twenty nested calls count as ten
        repeats, which use up the budget.
        """
        for _ in range(20):
            self.budgets.get("kassa").record_call()
            self.budgets.get("kassa").charge(0.5)
        self.assertEqual(self.retry(), 0)

    def test_settings_that_are_read_again_allow_no_retry_more(self) -> None:
        """Guards against a fleet that retries without bounds on reloads."""
        for bounds in ((0.2, 62.0, 10.0), (0.1, 62.0, 10.0), (0.2, 62.0, 5.0)):
            with self.subTest(bounds=bounds):
                self.setUp()
                self.call(500)
                self.assertGreater(self.retry(), 3)
                self.budgets.set_bounds(*bounds)
                self.assertEqual(self.retry(), 0)

    def test_raised_bounds_apply_to_what_is_counted(self) -> None:
        """Guards against settings that take effect a window late."""
        self.call(500)
        self.retry()
        self.budgets.set_bounds(0.4, 62.0, 10.0)
        self.assertGreater(self.retry(), 50)

    @hypothesis.given(strategies.integers(0, 2**32))
    def test_no_window_exceeds_the_bound(self, seed: int) -> None:
        """No ten seconds contain more retries than the bounds allow."""
        rng = random.Random(seed)
        clock = fakes.FakeClock()
        budget = budgets.Budget(budgets.Bounds(0.1, 2.0, 10.0), clock.get_time)
        called, retried = [], []
        for _ in range(300):
            clock.now += rng.expovariate(rng.choice((2.0, 50.0)))
            budget.record_call()
            called.append(clock.now)
            if rng.random() < 0.5 and budget.try_spend():
                retried.append(clock.now)
        for end in retried:
            retry_count = sum(end - 10.0 < at <= end for at in retried)
            call_count = sum(end - 10.0 < at <= end for at in called)
            self.assertLessEqual(retry_count, 0.1 * call_count + 2.0)
