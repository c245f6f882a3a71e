"""Tests of load balancing, admission and retries in a simulated fleet."""

from __future__ import annotations

import unittest

from tests.requests import builders
from tests.requests.load import fleets
from tests.requests.load import simulations

_LOOKUP = builders.build_plan(
    "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
)
_DURATION_S = 8.0
# Five backend servers with 12 slots each. Three have the same speed, the first
# has half of it, and the fourth has one and a half times this speed.
_UNEVEN = [fleets.Server(work_s) for work_s in (0.24, 0.12, 0.12, 0.08, 0.12)]
# Five equally fast backend servers, of which two fail two in five calls.
_BROKEN = [fleets.Server(0.12, 0.4)] * 2 + [fleets.Server(0.12)] * 3


def _simulate(
    servers: list[fleets.Server], load: float
) -> fleets.FleetSimulation:
    """Simulates callers that wait 2.5 s and retry twice.

    Args:
        servers: The backend servers.
        load: Ratio of the demand to the capacity of the fleet.
    """
    capacity = sum(12 / server.work_s for server in servers)
    callers = simulations.Callers(_LOOKUP, load * capacity, 0.12, 2.5, 2)
    return fleets.simulate(servers, callers, _DURATION_S)


class FleetsTest(unittest.TestCase):
    """Eleven daemons, each of which only knows its own calls."""

    def test_high_load(self) -> None:
        """At 0.8 of the capacity, nearly all calls are in time.

        The slow backend server gets about half as many calls as the others. If
        only the numbers of calls in flight were compared, it would get as many
        calls as the others and answer them late.
        """
        fleet = _simulate(_UNEVEN, 0.8)
        self.assertGreater(fleet.get_ratio("in time"), 0.95)
        self.assertLess(fleet.get_ratio("refused"), 0.005)
        slow, normal = fleet.count_calls_per_server()[:2]
        self.assertLess(slow, 0.7 * normal)

    def test_overload(self) -> None:
        """At 1.1 times the capacity, most calls are in time.

        At most 0.91 of the calls can be answered.
        """
        fleet = _simulate(_UNEVEN, 1.1)
        self.assertGreater(fleet.get_ratio("in time"), 0.7)
        self.assertLess(fleet.get_ratio("refused"), 0.2)

    def test_many_daemons_without_recent_load_reports(self) -> None:
        """At 0.9 of the capacity, no call is refused.

        Each of 120 daemons sends a call to each of 60 backend servers about
        every ten seconds, so most load reports are too old to show where a slot
        is free. If upstreams were picked at random, most calls would reach a
        full backend server and wait there although others are idle: 0.950 of
        the calls would be in time, and 0.016 refused. One of the four slots is
        kept free for more important calls, so the capacity is that of three.
        """
        servers = [fleets.Server(work_s) for work_s in (0.2, 0.3, 0.4)] * 20
        capacity = sum(3 / server.work_s for server in servers)
        lookup = _LOOKUP._replace(latency_s=1.0)
        callers = simulations.Callers(lookup, 0.9 * capacity, 0.3, 3.0, 1)
        fleet = fleets.simulate(servers, callers, _DURATION_S, 120, 4)
        self.assertGreater(fleet.get_ratio("in time"), 0.98)
        self.assertEqual(fleet.get_ratio("refused"), 0.0)

    def test_backend_servers_that_fail_some_calls(self) -> None:
        """Few calls fail if two of five servers fail two in five calls.

        These two get about half as many calls as the others, and failed calls
        are retried while the budget allows it. If upstreams were picked at
        random, one call in six would fail.
        """
        fleet = _simulate(_BROKEN, 0.5)
        self.assertLess(fleet.get_ratio("failed"), 0.06)
        calls = fleet.count_calls_per_server()
        self.assertLess(sum(calls[:2]) / 2, 0.75 * sum(calls[2:]) / 3)
