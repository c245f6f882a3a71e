"""How many retries all daemons together make."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests.load import budgets
from tests.requests import fakes


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.Clock()
        self.budgets = budgets.Budgets(lambda: 13, self.clock.get_time)
        self.budgets.set_bounds(0.2, 62.0, 10.0)

    def call(self, count: int) -> None:
        """Makes calls, evenly over five seconds."""
        for _ in range(count):
            self.clock.now += 5.0 / count
            self.budgets.get("kassa").record_call()

    def retry(self) -> int:
        """Makes as many retries as there may be; returns their number."""
        count = 0
        while self.budgets.get("kassa").try_spend():
            count += 1
        return count

    def test_failures_of_a_second_are_made_good(self) -> None:
        """Callers get answers when some backend servers begin to fail.

        A daemon made a hundred calls a second and none failed. Now every
        fourth call of a second does. With tokens that each call refills up to
        a few, all but ten of the 25 failures stayed with their callers.
        """
        self.call(500)
        self.assertGreaterEqual(self.retry(), 25)

    def test_a_quiet_service_has_its_part_of_the_slack(self) -> None:
        """Thirteen daemons share three quarters of 62 retries."""
        self.assertEqual(self.retry(), 3)
        self.clock.now += 10.6
        self.assertEqual(self.retry(), 3)

    def test_retries_are_not_saved_up_beyond_the_window(self) -> None:
        self.call(500)
        self.clock.now += 20.0
        self.assertEqual(self.retry(), 3)

    def test_calls_made_by_repeats_count_as_repeats(self) -> None:
        """The service that is called gets no more repeats than its bound.

        Every second call that runs beside this daemon is a repeat, and each
        makes a call of its own. Twenty of these are ten repeats, which leave
        nothing of the bound for others.
        """
        for _ in range(20):
            self.budgets.get("kassa").record_call()
            self.budgets.get("kassa").charge(0.5)
        self.assertEqual(self.retry(), 0)

    @hypothesis.given(strategies.integers(0, 2**32))
    def test_no_window_has_more_than_its_part(self, seed: int) -> None:
        """No ten seconds hold more retries than their calls allow."""
        chance = random.Random(seed)
        clock = fakes.Clock()
        budget = budgets.Budget(budgets.Bounds(0.1, 2.0, 10.0), clock.get_time)
        called, retried = [], []
        for _ in range(300):
            clock.now += chance.expovariate(chance.choice((2.0, 50.0)))
            budget.record_call()
            called.append(clock.now)
            if chance.random() < 0.5 and budget.try_spend():
                retried.append(clock.now)
        for end in retried:
            inside = sum(end - 10.0 < at <= end for at in retried)
            allowed = sum(end - 10.0 < at <= end for at in called)
            self.assertLessEqual(inside, 0.1 * allowed + 2.0)
