"""Whose turn it is at a full backend server, and what callers get of it."""

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


class TurnTest(unittest.TestCase):
    """Calls that wait for one of two slots."""

    def play(self, *dues: float) -> list[float]:
        """Has calls wait whose targets end at these times; returns the turns.

        Args:
            *dues: Seconds from now on until each call's target is over.
        """

        async def run() -> list[float]:
            played = simulations.Simulation(2)
            held = [await played.occupy(_LOOKUP, 0.4) for _ in range(2)]
            turns: list[float] = []
            waiting = [
                asyncio.create_task(played.wait_for_slot(_LOOKUP, due, turns))
                for due in dues
            ]
            await asyncio.sleep(0)
            for call in held:
                played.release(call)
            await asyncio.gather(*waiting)
            return turns

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            return runner.run(run())

    def test_a_caller_that_comes_back_goes_first(self) -> None:
        """Who was refused before is answered in time, and so is the other.

        Two calls wait for a slot. One came later, but its caller was refused
        0.1 s ago and came back: its target ends sooner.
        """
        self.assertEqual(self.play(0.4, 0.3), [0.3, 0.4])

    def test_a_late_call_yields(self) -> None:
        """A call that is late already does not make the next one late too.

        It waits behind one that can still be answered in time, though it came
        before, and gets what that one leaves.
        """
        self.assertEqual(self.play(0.0, 0.4), [0.4, 0.0])

    def test_late_calls_are_refused_at_once_while_others_are(self) -> None:
        """A caller isn't kept waiting for a slot that it will not get.

        Calls in time are refused, so all free slots go to such calls for some
        time to come. A late one would wait in vain.
        """

        async def run() -> None:
            played = simulations.Simulation(1)
            await played.occupy(_LOOKUP, 0.4)
            turns: list[float] = []
            rivals = [
                asyncio.create_task(played.wait_for_slot(_LOOKUP, 0.4, turns))
                for _ in range(slots.WAITING_PER_SLOT * 2)
            ]
            await asyncio.sleep(0)
            self.assertIsNotNone(await played.request_slot(_LOOKUP, 0.0))
            for rival in rivals:
                rival.cancel()

        with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
            runner.run(run())


class LoadTest(unittest.TestCase):
    """What callers get of a backend server with too much to do."""

    def test_more_calls_than_slots(self) -> None:
        """Nearly all slots serve calls in time, and few callers come late.

        Callers ask for 1.1 times what the backend server can do and come back
        when refused. With each attempt taken for a first one, and twice the
        usual time left for it, 0.63 were answered in time and 0.19 late (mean
        of these loads); now 0.74 and 0.09.
        """
        in_time, late = [], []
        for work_s in (0.08, 0.13, 0.2):
            played = simulations.simulate(
                _SLOTS,
                30.0,
                simulations.Callers(
                    _LOOKUP, 1.1 * _SLOTS / work_s, work_s, 2.5, 2
                ),
            )
            in_time.append(played.get_ratio("lookup", "in time"))
            late.append(played.get_ratio("lookup", "late"))
        self.assertGreater(sum(in_time) / 3, 0.7)
        self.assertLess(sum(late) / 3, 0.12)

    def test_checks_are_not_refused_beside_payouts(self) -> None:
        """Calls on whose behalf a check is made do not fail for want of it.

        Payouts alone ask for 1.2 times the slots. Checks are as important and
        take a fifth of their time, so they go first.
        """
        payout = _LOOKUP._replace(name="payout", latency_s=0.5, importance=4)
        check = payout._replace(name="check", latency_s=0.12)
        played = simulations.simulate(
            _SLOTS,
            30.0,
            simulations.Callers(payout, 1.2 * _SLOTS / 0.16, 0.16, 1.2, 1),
            simulations.Callers(check, 0.3 * _SLOTS / 0.03, 0.03, 0.4, 0),
        )
        self.assertLess(played.get_ratio("check", "refused"), 0.01)
