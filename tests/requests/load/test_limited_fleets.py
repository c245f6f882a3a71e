"""Tests of rate limits of backend servers in a simulated fleet.

All calls of the callers to a service are simulated, and the daemons decide as
the product does. They learn of a limit from answers alone.
"""

from __future__ import annotations

import bisect
import unittest

from tests.requests import builders
from tools import model
from tools import model_records

_ZONES = ("a", "b", "c")
_WINDOW_S = 4.0
# Share by which a backend server may get more than its limit allows, and the
# number of calls that it may get in addition, in any window.
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# Least share of the limit that is used while there is demand.
_MIN_USED_SHARE = 0.85
# Time from a notice until all daemons that got calls are told.
_TOLD_S = 0.5


class _Span:
    """A span of time in which a backend server states one limit."""

    def __init__(self, sends: list[float], begin_s: float, end_s: float):
        self.sends = [at for at in sends if begin_s <= at < end_s]
        self.duration_s = end_s - begin_s

    def find_most_calls(self) -> int:
        """Returns the greatest number of calls in any window of the span."""
        return max(
            (
                index + 1 - bisect.bisect_right(self.sends, at - _WINDOW_S)
                for index, at in enumerate(self.sends)
            ),
            default=0,
        )


def _build_servers(
    daemons: int,
    servers: int,
    limits: dict[int, tuple[tuple[float, float | None], ...]],
    slots: int,
) -> list[model_records.Server]:
    """Builds backend servers, of which the first ones serve "desk"."""
    return [
        model_records.Server(
            "desk" if number < servers else "other",
            _ZONES[number % len(_ZONES)],
            slots,
            rate_limits=limits.get(number, ()),
        )
        for number in range(daemons)
    ]


def _build_lookups(
    rate: float, work_s: float, latency_s: float
) -> model_records.WorkClass:
    plan = builders.build_plan("lookup", latency_s=latency_s, work_s=0.0)
    plan = plan._replace(service="desk", deadline_s=2.5)
    return model_records.WorkClass(plan, rate, work_s, 2.5, max_retries=2)


def _build_restarts(
    at_s: float, *numbers: int
) -> list[model_records.ServerChange]:
    return [
        model_records.ServerChange(at_s, number, restarts_daemon=True)
        for number in numbers
    ]


class LimitedFleetTest(unittest.TestCase):
    def check(self, span: _Span, limit: float) -> None:
        """Checks that a limit is kept and used."""
        self.assertLessEqual(
            span.find_most_calls(),
            _LIMIT_FACTOR * limit * _WINDOW_S + _LIMIT_SLACK,
        )
        self.assertGreaterEqual(
            len(span.sends), _MIN_USED_SHARE * limit * span.duration_s
        )

    def test_two_limited_servers_of_five(self) -> None:
        """Guards against limits that aren't kept or used, amid restarts."""
        limits = {0: 19.5, 1: 15.4}
        servers = _build_servers(
            11, 5, {number: ((1.0, limits[number]),) for number in limits}, 12
        )
        restarts = _build_restarts(6.0, 0) + _build_restarts(8.0, 0, 1, 6, 7)
        result = model.simulate(
            servers, [_build_lookups(227.0, 0.12, 0.4)], 14.0, 1, restarts
        )
        for number, limit in limits.items():
            with self.subTest(limit=limit):
                self.check(
                    _Span(result.sends[number], 1.0 + _TOLD_S, 14.0), limit
                )
        self.assertGreater(result.served, 0.999)

    def test_all_servers_are_limited(self) -> None:
        """Guards against limits that are exceeded when calls have no choice."""
        limits = {number: 2.0 + 5.0 * number for number in range(5)}
        servers = _build_servers(
            11, 5, {number: ((0.0, limits[number]),) for number in limits}, 12
        )
        restarts = _build_restarts(5.0, *range(11))
        result = model.simulate(
            servers, [_build_lookups(150.0, 0.12, 0.4)], 10.0, 1, restarts
        )
        for number, limit in limits.items():
            with self.subTest(limit=limit):
                self.check(_Span(result.sends[number], _TOLD_S, 10.0), limit)
        self.assertEqual(result.compute_fraction("lookup", "failed"), 0.0)

    def test_limit_is_dropped_and_named_lower(self) -> None:
        """Guards against a lower limit that is missed by a restarted daemon."""
        schedule = ((2.0, 19.5), (6.0, None), (7.0, 6.0))
        servers = _build_servers(11, 5, {0: schedule}, 12)
        restarts = _build_restarts(8.0, 0) + _build_restarts(9.0, *range(5, 11))
        result = model.simulate(
            servers, [_build_lookups(227.0, 0.12, 0.4)], 15.0, 1, restarts
        )
        sends = result.sends[0]
        self.check(_Span(sends, 2.0 + _TOLD_S, 6.0), 19.5)
        self.assertGreater(len(_Span(sends, 6.0 + _TOLD_S, 7.0).sends), 15)
        self.check(_Span(sends, 7.0 + _TOLD_S, 15.0), 6.0)

    def test_three_hundred_daemons(self) -> None:
        """Guards against limits that many daemons together exceed."""
        limited = range(0, 60, 3)
        servers = _build_servers(
            300, 60, dict.fromkeys(limited, ((0.0, 4.0),)), 4
        )
        restarts = _build_restarts(4.0, *range(0, 300, 4))
        result = model.simulate(
            servers, [_build_lookups(600.0, 0.2, 1.0)], 9.0, 1, restarts
        )
        for number in limited:
            with self.subTest(server=number):
                self.check(_Span(result.sends[number], _TOLD_S, 9.0), 4.0)
        self.assertGreater(result.served, 0.999)
