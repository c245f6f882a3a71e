"""Tests of what hops to other daemons take."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import round_trips
from tests.requests import builders
from tests.requests import fakes
from tests.requests.load import fleets
from tests.requests.load import simulations

# Work that may not be repeated, whose route ends it before its caller would.
_PAYOUT = builders.build_plan(
    "payout",
    repeatable=False,
    key_required=False,
    rate=0.0,
    work_s=0.0,
    latency_s=0.93,
    deadline_s=1.2,
)


class WayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.Clock()
        self.way = round_trips.RoundTripTime(self.clock.get_time)

    def test_nothing_is_kept_where_nothing_was_seen(self) -> None:
        self.assertEqual(self.way.reserve(0.5), 0.0)
        self.assertTrue(self.way.has_time(0.001))

    def test_what_the_way_takes_is_kept_for_refusals(self) -> None:
        """Guards against refusals that come back when the time is over."""
        self.way.record(0.1)
        self.assertAlmostEqual(self.way.reserve(1.0), 0.1)
        self.assertAlmostEqual(self.way.reserve(0.2), 0.05)
        self.assertFalse(self.way.has_time(0.05))

    def test_what_was_seen_is_soon_forgotten(self) -> None:
        """Guards against calls refused for a link that is free again."""
        self.way.record(0.3)
        self.clock.now += 5.0
        self.assertLess(self.way.get(), 0.01)


class FullLinkTest(unittest.TestCase):
    """Payouts over hops of a quarter of a second, as over a full link."""

    def test_what_was_not_offered_is_not_in_doubt(self) -> None:
        """Guards against callers of payouts that may not ask again."""
        servers = [fleets.Server(0.26)] * 8
        rate = 1.3 * 8 * 6 / 0.26
        callers = simulations.Callers(_PAYOUT, rate, 0.26, 2.3, 1)
        played = fleets.simulate(
            servers, callers, 8.0, daemons=40, slots=6, way_s=0.25
        )
        self.assertEqual(played.counts["in doubt"], 0, played.counts)
