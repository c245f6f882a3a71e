"""Tests of the estimate of the round-trip time to other daemons."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import round_trips
from tests.requests import builders
from tests.requests import fakes
from tests.requests.load import fleets
from tests.requests.load import simulations

# A class whose calls must not be repeated, and whose route has a shorter
# timeout than its callers.
_PAYOUT = builders.build_plan(
    "payout",
    repeatable=False,
    key_required=False,
    rate=0.0,
    work_s=0.0,
    latency_s=0.93,
    deadline_s=1.2,
)


class RoundTripTimeTest(unittest.TestCase):
    """Samples and their age, with a simulated clock."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.round_trip = round_trips.RoundTripTime(self.clock.get_time)

    def test_nothing_is_reserved_without_samples(self) -> None:
        self.assertEqual(self.round_trip.estimate_return_trip(0.5), 0.0)
        self.assertTrue(self.round_trip.has_time(0.001))

    def test_round_trip_is_reserved_for_refusals(self) -> None:
        """Guards against refusals that arrive after the deadline."""
        self.round_trip.record(0.1)
        self.assertAlmostEqual(self.round_trip.estimate_return_trip(1.0), 0.1)
        self.assertAlmostEqual(self.round_trip.estimate_return_trip(0.2), 0.05)
        self.assertFalse(self.round_trip.has_time(0.05))

    def test_mean_decays(self) -> None:
        """Guards against refusals because of a link that is free again."""
        self.round_trip.record(0.3)
        self.clock.now += 5.0
        self.assertLess(self.round_trip.estimate_round_trip(), 0.01)


class SaturatedLinkTest(unittest.TestCase):
    """Payouts over a saturated link, with a round trip of a quarter second."""

    def test_call_that_was_not_offered_is_refused(self) -> None:
        """Guards against "unknown" for payouts that reached no backend server.

        Callers must not retry a payout with that outcome. The demand is 1.3
        times the capacity, so some payouts are refused.
        """
        servers = [fleets.Server(0.26)] * 8
        rate = 1.3 * 8 * 6 / 0.26
        callers = simulations.Callers(_PAYOUT, rate, 0.26, 2.3, 1)
        fleet = fleets.simulate(
            servers, callers, 8.0, daemons=40, slots=6, round_trip_s=0.25
        )
        self.assertEqual(fleet.counts["not offered"], 0, fleet.counts)
