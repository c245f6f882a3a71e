"""What callers get of a fleet under load, by picking, slots and retries."""

from __future__ import annotations

import unittest

from tests.requests import builders
from tests.requests.load import fleets
from tests.requests.load import simulations

_LOOKUP = builders.build_plan(
    "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
)
_LENGTH_S = 8.0
# Five backend servers with 12 slots each, of which one is half and one is one
# and a half times as fast as the others.
_UNEVEN = [fleets.Server(work_s) for work_s in (0.24, 0.12, 0.12, 0.08, 0.12)]
_BROKEN = [fleets.Server(0.12, 0.4)] * 2 + [fleets.Server(0.12)] * 3


def _play(servers: list[fleets.Server], load: float) -> fleets.FleetSimulation:
    """Plays callers that ask for a part of what the backend servers can do."""
    capacity = sum(12 / server.work_s for server in servers)
    callers = simulations.Callers(_LOOKUP, load * capacity, 0.12, 2.5, 2)
    return fleets.simulate(servers, callers, _LENGTH_S)


class FleetsTest(unittest.TestCase):
    """Eleven daemons, each of which sees its own calls alone.

    Figures in brackets are those of the run for which a bound was set.
    """

    def test_much_to_do(self) -> None:
        """At 0.8 of the capacity nobody is refused (0.987 in time).

        The slow backend server gets about half of the calls of the others: by
        the calls in flight alone it would get as many, and answer them late.
        """
        played = _play(_UNEVEN, 0.8)
        self.assertGreater(played.get_ratio("in time"), 0.95)
        self.assertLess(played.get_ratio("refused"), 0.005)
        slow, usual = played.list_calls()[:2]
        self.assertLess(slow, 0.7 * usual)

    def test_too_much_to_do(self) -> None:
        """At 1.1 times the capacity most calls are in time (0.77).

        Of what can be served at all, 0.91, nearly all is (0.85).
        """
        played = _play(_UNEVEN, 1.1)
        self.assertGreater(played.get_ratio("in time"), 0.7)
        self.assertLess(played.get_ratio("refused"), 0.2)

    def test_many_daemons_that_know_little_of_each_upstream(self) -> None:
        """At 0.9 of the capacity nobody is refused (0.993 in time).

        Each of 120 daemons sends each of 60 backend servers a call every ten
        seconds, so what it knows of most is too old to say where a slot is
        free. Placed by chance, most calls meet a full backend server and wait
        there, though others are idle: 0.950 were in time and 0.016 refused.
        One slot of four is left to more important calls.
        """
        servers = [fleets.Server(work_s) for work_s in (0.2, 0.3, 0.4)] * 20
        capacity = sum(3 / server.work_s for server in servers)
        lookup = _LOOKUP._replace(latency_s=1.0)
        callers = simulations.Callers(lookup, 0.9 * capacity, 0.3, 3.0, 1)
        played = fleets.simulate(servers, callers, _LENGTH_S, 120, 4)
        self.assertGreater(played.get_ratio("in time"), 0.98)
        self.assertEqual(played.get_ratio("refused"), 0.0)

    def test_backend_servers_that_break_some_calls(self) -> None:
        """Two of five break two calls in five; few callers notice (0.03).

        They get about half of the calls of the others, and the calls that
        break are sent again while the budget allows. Left to chance, one call
        in six would fail.
        """
        played = _play(_BROKEN, 0.5)
        self.assertLess(played.get_ratio("failed"), 0.06)
        calls = played.list_calls()
        self.assertLess(sum(calls[:2]) / 2, 0.75 * sum(calls[2:]) / 3)
