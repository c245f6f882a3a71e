"""Tests of the order of service on a full backend server, and of overload."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.requests.load import slots
from tests.requests import builders
from tests.requests.load import simulations
from tools import model

_LOOKUP = builders.build_plan(
    "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
)
_SLOTS = 12


class ServiceOrderTest(unittest.TestCase):
    """Calls that wait for one of two slots."""

    def simulate(self, *latency_deadlines_s: float) -> list[float]:
        """Simulates calls that wait for a slot.

        Args:
            *latency_deadlines_s: The latency deadline of each call, in seconds
                from now.

        Returns:
            The latency deadlines in the order in which the calls get a slot.
        """

        async def run() -> list[float]:
            simulation = simulations.Simulation(2)
            held = [await simulation.occupy(_LOOKUP, 0.4) for _ in range(2)]
            granted: list[float] = []
            waiting = [
                asyncio.create_task(
                    simulation.wait_for_slot(
                        _LOOKUP, latency_deadline_s, granted
                    )
                )
                for latency_deadline_s in latency_deadlines_s
            ]
            await asyncio.sleep(0)
            for call in held:
                simulation.release(call)
            await asyncio.gather(*waiting)
            return granted

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            return runner.run(run())

    def test_caller_that_retries_is_served_first(self) -> None:
        """A refused caller and another caller are both answered in time.

        Two calls wait for a slot. The call that arrived later is the retry of a
        caller that was refused 0.1 s ago, so its latency deadline is earlier.
        """
        self.assertEqual(self.simulate(0.4, 0.3), [0.3, 0.4])

    def test_late_call_is_served_last(self) -> None:
        """A call that is late already does not make the next call late.

        It gets a slot after a call that can still be answered in time, although
        that call arrived later.
        """
        self.assertEqual(self.simulate(0.0, 0.4), [0.4, 0.0])

    def test_late_calls_are_refused_at_once_while_others_are(self) -> None:
        """A late call does not wait for a slot that it will not get.

        There are so many calls in time that some are refused, so all slots are
        granted to calls in time for a while. A late call would wait in vain.
        """

        async def run() -> None:
            simulation = simulations.Simulation(1)
            await simulation.occupy(_LOOKUP, 0.4)
            granted: list[float] = []
            in_time_calls = [
                asyncio.create_task(
                    simulation.wait_for_slot(_LOOKUP, 0.4, granted)
                )
                for _ in range(slots.MAX_WAITING_PER_SLOT * 2)
            ]
            await asyncio.sleep(0)
            self.assertIsNotNone(await simulation.request_slot(_LOOKUP, 0.0))
            for in_time_call in in_time_calls:
                in_time_call.cancel()

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            runner.run(run())


class OverloadTest(unittest.TestCase):
    """Callers demand more slots than a backend server has."""

    def test_more_calls_than_slots(self) -> None:
        """Nearly all slots serve calls in time, and few answers are late.

        Callers demand 1.1 times the capacity of the backend server, wait 2.5 s
        and retry twice after refusals. If the latency deadline counted from
        each attempt and twice the mean hold time were kept free before it, 0.63
        of the calls would be in time and 0.19 late, instead of 0.74 and 0.09
        (means over these work times).
        """
        in_time, late = [], []
        for work_s in (0.08, 0.13, 0.2):
            simulation = simulations.simulate(
                _SLOTS,
                30.0,
                simulations.Callers(
                    _LOOKUP, 1.1 * _SLOTS / work_s, work_s, 2.5, 2
                ),
            )
            in_time.append(simulation.get_ratio("lookup", "in time"))
            late.append(simulation.get_ratio("lookup", "late"))
        self.assertGreater(sum(in_time) / 3, 0.7)
        self.assertLess(sum(late) / 3, 0.12)

    def test_checks_are_not_refused_while_payouts_overload(self) -> None:
        """Parent calls of checks do not fail because a check is refused.

        Payouts alone demand 1.2 times the capacity. Checks are as important and
        have about a fifth of the work time, so they are served first.
        """
        payout = _LOOKUP._replace(name="payout", latency_s=0.5, importance=4)
        check = payout._replace(name="check", latency_s=0.12)
        simulation = simulations.simulate(
            _SLOTS,
            30.0,
            simulations.Callers(payout, 1.2 * _SLOTS / 0.16, 0.16, 1.2, 1),
            simulations.Callers(check, 0.3 * _SLOTS / 0.03, 0.03, 0.4, 0),
        )
        self.assertLess(simulation.get_ratio("check", "refused"), 0.01)
