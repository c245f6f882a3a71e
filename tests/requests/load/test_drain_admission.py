"""Tests for the decision which calls a draining daemon still starts."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import drain_admission
from merlintrestle.requests.load import recent_durations
from tests.requests import builders
from tests.requests import fakes

_LOOKUP = builders.build_plan(latency_s=1.0, work_s=0.0)


class MayStartTest(unittest.TestCase):
    """A drain that ends in some seconds, and calls with later deadlines."""

    def test_call_whose_deadline_is_before_the_end_is_started(self) -> None:
        """Guards against refusals of calls that cannot be cut."""
        for expected_s in (0.1, 9.0):
            self.assertTrue(
                drain_admission.may_start(1.0, 1.5, expected_s, False)
            )

    def test_new_call_that_may_outlast_the_drain_is_not_started(self) -> None:
        """Guards against calls that are cut as they take unusually long."""
        for left_s in (0.9, 1.5, 2.6, 5.9):
            self.assertFalse(drain_admission.may_start(6.0, left_s, 0.1, False))

    def test_nested_call_is_started_if_it_is_expected_to_end(self) -> None:
        """Guards against calls that fail as their nested call is refused."""
        self.assertTrue(drain_admission.may_start(6.0, 2.6, 0.5, True))

    def test_nested_call_is_not_started_shortly_before_the_end(self) -> None:
        """Guards against nested calls that are cut with their parent."""
        self.assertTrue(drain_admission.may_start(6.0, 0.7, 0.5, True))
        self.assertFalse(drain_admission.may_start(6.0, 0.5, 0.5, True))


class DurationTest(unittest.TestCase):
    """How long calls of a route are expected to take."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.durations = recent_durations.RecentDurations(self.clock.get_time)

    def call(self, route: str, duration_s: float) -> None:
        """Plays a call that is answered."""
        number = self.durations.begin(route, self.clock.now - duration_s)
        self.durations.end(route, number, True)

    def estimate(self) -> float:
        """Returns the expected duration of a lookup."""
        return drain_admission.estimate_duration(
            _LOOKUP, self.durations.get_longest("a")
        )

    def test_calls_take_about_as_long_as_the_longest_recent_one(self) -> None:
        """Guards against calls cut as their route has become slow."""
        self.assertEqual(self.estimate(), 0.5)
        for duration_s in (0.05, 3.0, 0.1):
            self.call("a", duration_s)
        self.call("b", 9.0)
        self.assertAlmostEqual(self.estimate(), 9.0)

    def test_calls_in_flight_count_with_their_time_so_far(self) -> None:
        """Guards against a route that has just become slow."""
        self.call("a", 0.05)
        self.durations.begin("a", self.clock.now - 2.0)
        number = self.durations.begin("a", self.clock.now)
        self.assertAlmostEqual(self.estimate(), 6.0)
        self.durations.end("a", number, False)
        self.assertAlmostEqual(self.estimate(), 6.0)

    def test_durations_are_forgotten(self) -> None:
        """Guards against refusals long after a route was slow."""
        self.call("a", 3.0)
        self.clock.now += 5.0
        self.call("a", 0.1)
        self.assertAlmostEqual(self.durations.get_longest("a") or 0.0, 3.0)
        self.clock.now += 5.0
        self.assertAlmostEqual(self.durations.get_longest("a") or 0.0, 0.1)
        self.clock.now += 20.0
        self.assertIsNone(self.durations.get_longest("a"))


if __name__ == "__main__":
    unittest.main()
