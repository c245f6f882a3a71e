"""Tests of picks by load reports of upstreams."""

from __future__ import annotations

import random
import unittest

from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import picking
from tests.requests import builders

_FULL = loads.Load(4, 4, 0.2)
_IDLE = loads.Load(1, 4, 0.2)


class LoadAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observation = observations.Observation()

    def test_own_calls_are_counted_without_a_report(self) -> None:
        self.observation.record_load(10.0, _FULL)
        self.observation.begin(10.0, 0.2)
        self.assertEqual(self.observation.estimate_calls(10.1), 5)
        self.assertEqual(self.observation.estimate_calls(20.0), 1)


class ReportedLoadTest(unittest.TestCase):
    """Picks by load reports, with a simulated clock."""

    def setUp(self) -> None:
        self.now = 100.0
        self.upstreams = tuple(
            builders.build_upstream(number) for number in range(4)
        )
        self.picker = picking.Picker(
            "noord", lambda: "", lambda: False, self.get_time, random.Random(7)
        )

    def get_time(self) -> float:
        """Returns the simulated time, in seconds."""
        return self.now

    def report(self, *reported: loads.Load) -> None:
        """Records a load report of each upstream."""
        for upstream, load in zip(self.upstreams, reported, strict=True):
            observation = self.picker.get_observation(upstream.member_id)
            observation.record_load(self.now, load)

    def send(self, count: int) -> list[int]:
        """Sends calls that do not end; returns their number by upstream."""
        counts = [0] * len(self.upstreams)
        for _ in range(count):
            picked = self.picker.pick("kassa", self.upstreams, (), False)
            assert picked is not None
            self.picker.get_observation(picked.member_id).begin(self.now, 0.2)
            counts[self.upstreams.index(picked)] += 1
        return counts

    def test_calls_do_not_herd_to_the_upstream_that_was_free(self) -> None:
        """Calls sent since its report count for the one that reported least."""
        self.report(_IDLE, *[_IDLE._replace(calls=2)] * 3)
        counts = self.send(8)
        self.assertLessEqual(max(counts), 4)
        self.assertGreater(sum(counts[1:]), 3)

    def test_fast_upstream_gets_more_calls_than_a_slow_one(self) -> None:
        """Speed is known longer than the calls in flight.

        Guards against slow upstreams that get as many calls as fast ones when
        the reports are a few seconds old.
        """
        slow = _IDLE._replace(hold_s=0.6)
        self.report(_IDLE, slow, _IDLE, slow)
        self.now += 5.0
        counts = self.send(12)
        self.assertGreater(counts[0] + counts[2], 2 * (counts[1] + counts[3]))

    def test_fast_upstream_that_is_nearly_full_gets_no_more(self) -> None:
        """A fast one whose hold time rises with its load loses its calls."""
        self.report(_IDLE._replace(calls=3, hold_s=0.3), _IDLE, _IDLE, _IDLE)
        counts = self.send(6)
        self.assertLessEqual(counts[0], 1)
