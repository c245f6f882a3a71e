"""Tests of picking, slots and retries in a simulated fleet under load."""

from __future__ import annotations

import unittest

from tests.requests import builders
from tests.requests.load import fleets
from tests.requests.load import simulations

_LOOKUP = builders.build_plan(
    "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
)
_LENGTH_S = 8.0
# Five backend servers with 12 slots each. Compared to the others, one has half
# the speed and one has one and a half times the speed.
_UNEVEN = [fleets.Server(work_s) for work_s in (0.24, 0.12, 0.12, 0.08, 0.12)]
_BROKEN = [fleets.Server(0.12, 0.4)] * 2 + [fleets.Server(0.12)] * 3


def _simulate(
    servers: list[fleets.Server], load: float
) -> fleets.FleetSimulation:
    """Simulates callers at a load, as a fraction of the fleet's capacity."""
    capacity = sum(12 / server.work_s for server in servers)
    callers = simulations.Callers(_LOOKUP, load * capacity, 0.12, 2.5, 2)
    return fleets.simulate(servers, callers, _LENGTH_S)


class FleetsTest(unittest.TestCase):
    """Eleven daemons, each of which only knows its own calls.

    Figures in parentheses are those of the run for which a bound was set.
    """

    def test_high_load(self) -> None:
        """At 0.8 of the capacity nearly no call is refused (0.987 in time).

        The slow backend server gets about half as many calls as the others. If
        only the calls in flight were compared, it would get as many calls as
        the others and answer them late.
        """
        fleet = _simulate(_UNEVEN, 0.8)
        self.assertGreater(fleet.get_ratio("in time"), 0.95)
        self.assertLess(fleet.get_ratio("refused"), 0.005)
        slow, normal = fleet.count_calls_per_server()[:2]
        self.assertLess(slow, 0.7 * normal)

    def test_overload(self) -> None:
        """At 1.1 times the capacity most calls are in time (0.77).

        At most 0.91 of the calls can be answered, and most of these are in time
        (0.85).
        """
        fleet = _simulate(_UNEVEN, 1.1)
        self.assertGreater(fleet.get_ratio("in time"), 0.7)
        self.assertLess(fleet.get_ratio("refused"), 0.2)

    def test_many_daemons_without_recent_load_reports(self) -> None:
        """At 0.9 of the capacity no call is refused (0.993 in time).

        Each of 120 daemons sends a call to each of 60 backend servers about
        every ten seconds, so most load reports are too old to show where a slot
        is free. With random placement most calls reached a full backend server
        and waited there although others were idle: 0.950 were in time and 0.016
        were refused. One of four slots is reserved for more important calls.
        """
        servers = [fleets.Server(work_s) for work_s in (0.2, 0.3, 0.4)] * 20
        capacity = sum(3 / server.work_s for server in servers)
        lookup = _LOOKUP._replace(latency_s=1.0)
        callers = simulations.Callers(lookup, 0.9 * capacity, 0.3, 3.0, 1)
        fleet = fleets.simulate(servers, callers, _LENGTH_S, 120, 4)
        self.assertGreater(fleet.get_ratio("in time"), 0.98)
        self.assertEqual(fleet.get_ratio("refused"), 0.0)

    def test_backend_servers_that_fail_some_calls(self) -> None:
        """Few calls fail if two of five servers fail two in five calls (0.03).

        These two get about half as many calls as the others, and failed calls
        are retried while the budget allows it. With random placement one call
        in six would fail.
        """
        fleet = _simulate(_BROKEN, 0.5)
        self.assertLess(fleet.get_ratio("failed"), 0.06)
        calls = fleet.count_calls_per_server()
        self.assertLess(sum(calls[:2]) / 2, 0.75 * sum(calls[2:]) / 3)
