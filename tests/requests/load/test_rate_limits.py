"""Tests of the rate limit of a backend server, in simulated time."""

from __future__ import annotations

import asyncio
import bisect
import unittest

from merlintrestle.requests.load import rate_limits
from tests.requests import builders
from tests.requests import fakes
from tests.requests.load import simulations
from tools import model

_LOOKUP = builders.build_plan("lookup", work_s=0.0, latency_s=0.4)
_PAYOUT = builders.build_plan("payout", work_s=0.0, latency_s=0.4, importance=5)
_WINDOW_S = 4.0
# Share by which a backend server may get more than its limit allows, and the
# number of calls that it may get in addition, in any window.
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# Least share of the limit that is used while there is demand.
_MIN_USED_SHARE = 0.85
_DURATION_S = 20.0


def count_most_calls(times: list[float]) -> int:
    """Returns the greatest number of calls in any window."""
    return max(
        (
            index + 1 - bisect.bisect_right(times, at - _WINDOW_S)
            for index, at in enumerate(times)
        ),
        default=0,
    )


class RateLimitTest(unittest.TestCase):
    def test_limit_is_kept_and_used_at_any_rate_and_demand(self) -> None:
        """Guards against limits that are exceeded, or starve the server."""
        for rate in (1.0, 2.5, 7.3, 19.5, 60.0):
            for demand in (1.1, 2.0, 8.0):
                with self.subTest(rate=rate, demand=demand):
                    callers = simulations.Callers(
                        _LOOKUP, rate * demand, 0.05, 2.5, 2
                    )
                    run = simulations.simulate(
                        12, _DURATION_S, callers, rate_limit=rate
                    )
                    self.assertLessEqual(
                        count_most_calls(run.started_at),
                        _LIMIT_FACTOR * rate * _WINDOW_S + _LIMIT_SLACK,
                    )
                    self.assertGreaterEqual(
                        len(run.started_at),
                        _MIN_USED_SHARE * rate * _DURATION_S,
                    )

    def test_important_calls_get_the_limit_first(self) -> None:
        """Guards against payouts that are refused while lookups are sent."""
        run = simulations.simulate(
            12,
            _DURATION_S,
            simulations.Callers(_LOOKUP, 40.0, 0.05, 2.5, 2),
            simulations.Callers(_PAYOUT, 5.0, 0.05, 2.5, 2),
            rate_limit=10.0,
        )
        self.assertLess(run.get_ratio("payout", "refused"), 0.02)

    def test_refused_calls_are_told_when_the_limit_allows_them(self) -> None:
        """Guards against retry delays after which calls are refused again."""

        async def run() -> None:
            simulation = simulations.Simulation(12, rate_limit=4.0)
            waits = [
                asyncio.create_task(simulation.request_slot(_LOOKUP, 0.4))
                for _ in range(6)
            ]
            results = await asyncio.gather(*waits)
            refusals = [refusal for refusal in results if refusal is not None]
            self.assertTrue(refusals)
            self.assertTrue(all(refusal.rate_limited for refusal in refusals))
            delays_s = [refusal.retry_after_s or 0.0 for refusal in refusals]
            await asyncio.sleep(max(delays_s))
            self.assertIsNone(await simulation.request_slot(_LOOKUP, 0.4))

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            runner.run(run())

    def test_refused_callers_that_return_as_told_are_served(self) -> None:
        """Guards against refused callers that all return at the same time."""

        async def run() -> None:
            simulation = simulations.Simulation(12, rate_limit=10.0)

            async def call() -> bool:
                refusal = await simulation.request_slot(_LOOKUP, 0.4)
                if refusal is None:
                    return True
                await asyncio.sleep(refusal.retry_after_s or 0.0)
                # The latency target has passed meanwhile.
                return await simulation.request_slot(_LOOKUP, -0.1) is None

            simulation.set_slots(100)
            served = await asyncio.gather(*(call() for _ in range(40)))
            self.assertEqual(served.count(True), 40)

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            runner.run(run())

    def test_a_lifted_limit_frees_waiting_calls_at_once(self) -> None:
        """Guards against calls that wait for a limit that is gone."""

        async def run() -> None:
            simulation = simulations.Simulation(12, rate_limit=1.0)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            waiting = asyncio.create_task(
                simulation.request_slot(_LOOKUP._replace(latency_s=2.0), 2.0)
            )
            await asyncio.sleep(0.1)
            simulation.set_rate_limit(None)
            self.assertIsNone(await waiting)
            self.assertAlmostEqual(loop.time() - began_at, 0.1)

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            runner.run(run())


class RateLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.limiter = rate_limits.RateLimiter(self.clock.get_time)

    def test_new_limit_starts_without_saved_calls(self) -> None:
        """Guards against a burst at a server that has just named its need."""
        self.limiter.set_rate(10.0)
        self.assertFalse(self.limiter.may_send())
        self.assertAlmostEqual(self.limiter.get_delay(), 0.1)
        self.assertAlmostEqual(self.limiter.get_delay(5), 0.5)

    def test_resends_delay_later_calls(self) -> None:
        """Guards against resends that aren't counted against the limit."""
        self.limiter.set_rate(10.0)
        self.clock.now += 0.1
        self.limiter.record_send()
        self.limiter.record_send()
        self.assertAlmostEqual(self.limiter.get_delay(), 0.2)

    def test_calls_that_were_not_sent_are_returned(self) -> None:
        """Guards against refused calls that use up the limit."""
        self.limiter.set_rate(10.0)
        self.clock.now += 0.1
        self.limiter.record_send()
        self.limiter.cancel_send()
        self.assertTrue(self.limiter.may_send())

    def test_limit_of_nothing_still_lets_a_call_through_now_and_then(
        self,
    ) -> None:
        """Guards against a limit that no answer can lift any more."""
        self.limiter.set_rate(0.0)
        self.clock.now += 2.0
        self.assertTrue(self.limiter.may_send())
        self.limiter.record_send()
        self.clock.now += 1.0
        self.assertFalse(self.limiter.may_send())
