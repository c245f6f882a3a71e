"""Tests of quotas over many daemons, with failures, in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from tests.quotas import builders

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents import snapshot

_SETTINGS = hypothesis.settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


def _kill_many(fleet: builders.Fleet, rng: random.Random) -> None:
    for daemon in rng.sample(fleet.daemons, len(fleet.daemons) // 2):
        fleet.kill(daemon)


def _partition(fleet: builders.Fleet, rng: random.Random) -> None:
    for daemon in rng.sample(fleet.daemons, len(fleet.daemons) // 3):
        daemon.group = 1


def _heal(fleet: builders.Fleet, rng: random.Random) -> None:
    del rng
    for daemon in fleet.daemons:
        daemon.group, daemon.is_cut_from_store = 0, False
    fleet.loss = fleet.repetition = 0.0
    store = fleet.store
    store.is_down, store.delay_s, store.lost = False, 0.005, 0.0


def _freeze(fleet: builders.Fleet, rng: random.Random) -> None:
    daemon = rng.choice(fleet.daemons)
    fleet.spawn(fleet.freeze(daemon, rng.uniform(0.1, 4)))


def _freeze_coordinator(fleet: builders.Fleet, rng: random.Random) -> None:
    daemon = _get_coordinator(fleet)
    fleet.spawn(fleet.freeze(daemon, rng.uniform(0.1, 4)))


def _cut_coordinator(fleet: builders.Fleet, rng: random.Random) -> None:
    del rng
    _get_coordinator(fleet).is_cut_from_store = True


def _release(fleet: builders.Fleet, rng: random.Random) -> None:
    del rng
    fleet.spawn(_get_coordinator(fleet).quotas.election.release())


def _lose_messages(fleet: builders.Fleet, rng: random.Random) -> None:
    fleet.loss, fleet.repetition = rng.uniform(0, 0.3), rng.uniform(0, 0.5)


def _return_from_copy(fleet: builders.Fleet, rng: random.Random) -> None:
    del rng
    fleet.store.return_from_copy(fleet.store_copy)
    fleet.store_copy = fleet.store.copy()


def _stop_store(fleet: builders.Fleet, rng: random.Random) -> None:
    del rng
    fleet.store.is_down = True


def _slow_store(fleet: builders.Fleet, rng: random.Random) -> None:
    fleet.store.delay_s = rng.uniform(0.1, 0.8)


def _lose_answers(fleet: builders.Fleet, rng: random.Random) -> None:
    fleet.store.lost = rng.uniform(0, 0.5)


def _get_coordinator(fleet: builders.Fleet) -> builders.Daemon:
    return fleet.get_coordinator() or fleet.daemons[0]


_FAILURES: list[Callable[[builders.Fleet, random.Random], None]] = [
    lambda fleet, rng: fleet.kill(rng.choice(fleet.daemons)),
    lambda fleet, rng: fleet.kill(_get_coordinator(fleet)),
    _kill_many,
    _partition,
    _heal,
    _freeze,
    _freeze_coordinator,
    _cut_coordinator,
    _release,
    _lose_messages,
    _return_from_copy,
    _stop_store,
    _slow_store,
    _lose_answers,
]


class BoundTest(unittest.TestCase):
    """No window exceeds the limit, whatever fails."""

    @_SETTINGS
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.integers(0, len(_FAILURES) - 1), max_size=14
        ),
    )
    def test_no_window_exceeds_the_limit(
        self, seed: int, failures: list[int]
    ) -> None:
        """Guards against tokens that are granted or spent twice."""
        workspaces = [
            builders.build_workspace("large", 60),
            builders.build_workspace("small", 1.6, 8),
            builders.build_workspace("bursting", 5, 40),
        ]
        rng = random.Random(seed)

        async def play() -> builders.Fleet:
            fleet = builders.Fleet(10, workspaces, seed)
            fleet.store_copy = fleet.store.copy()
            await fleet.start()
            loads = [
                fleet.send_calls(
                    item, range(10), 4 * item.rate + 15, 3.0 * len(failures) + 8
                )
                for item in workspaces
            ]
            load = asyncio.ensure_future(fleet.gather(*loads))
            await asyncio.sleep(4)
            for failure in failures:
                await asyncio.sleep(rng.expovariate(0.5))
                _FAILURES[failure](fleet, rng)
            await load
            return fleet

        fleet = builders.run(play)
        for workspace in workspaces:
            excess = fleet.find_excess(workspace)
            self.assertLessEqual(excess, 0, (workspace.name, failures))


class AdmissionTest(unittest.TestCase):
    """Calls within the quota are admitted wherever they arrive."""

    def play(
        self,
        fleet_size: int,
        loads: list[tuple[snapshot.Workspace, list[int], float]],
        duration_s: float = 20.0,
    ) -> tuple[builders.Fleet, list[int]]:
        """Plays loads of workspaces on daemons; returns the calls sent."""

        async def play() -> tuple[builders.Fleet, list[int]]:
            fleet = builders.Fleet(fleet_size, [load[0] for load in loads])
            await fleet.start()
            counts = await fleet.gather(
                *(
                    fleet.send_calls(workspace, daemons, rate, duration_s)
                    for workspace, daemons, rate in loads
                )
            )
            return fleet, counts

        result: tuple[builders.Fleet, list[int]] = builders.run(play)
        return result

    def test_callers_on_different_daemons(self) -> None:
        """Guards against fixed shares, which would be 0.03 calls per second."""
        workspace = builders.build_workspace("w", 1.6, 5)
        fleet, (sent,) = self.play(58, [(workspace, list(range(58)), 1.2)], 60)
        self.assertEqual(len(fleet.ran["w"]), sent)

    def test_all_callers_on_one_daemon(self) -> None:
        """Guards against shares that one daemon cannot exceed."""
        workspace = builders.build_workspace("w", 100, 50)
        fleet, (sent,) = self.play(20, [(workspace, [17], 80)])
        self.assertGreaterEqual(len(fleet.ran["w"]), 0.995 * sent)

    def test_large_rate_without_burst(self) -> None:
        """Guards against a cap that holds back the refill."""
        workspace = builders.build_workspace("w", 300)
        fleet, (sent,) = self.play(30, [(workspace, list(range(30)), 240)])
        self.assertGreaterEqual(len(fleet.ran["w"]), 0.98 * sent)

    def test_greedy_workspace_takes_nothing_from_others(self) -> None:
        """Guards against requests that one workspace delays for others."""
        modest = builders.build_workspace("modest", 10, 10)
        greedy = builders.build_workspace("greedy", 10, 10)
        everywhere = list(range(20))
        fleet, (sent, _) = self.play(
            20, [(modest, everywhere, 7), (greedy, everywhere, 200)]
        )
        self.assertGreaterEqual(len(fleet.ran["modest"]), 0.99 * sent)
        # Of the quota, nothing is lost to competition between the daemons.
        self.assertGreaterEqual(len(fleet.ran["greedy"]), 0.97 * (20 * 10 + 10))
        self.assertLessEqual(fleet.find_excess(greedy), 0)

    def test_callers_that_move_to_other_daemons(self) -> None:
        """Guards against tokens that stay where nobody uses them any more."""
        workspace = builders.build_workspace("w", 40, 10)

        async def play() -> tuple[builders.Fleet, int]:
            fleet = builders.Fleet(20, [workspace])
            await fleet.start()
            sent = 0
            for daemons in (range(10), range(10, 20)) * 2:
                sent += await fleet.send_calls(workspace, daemons, 32, 6)
            await asyncio.sleep(0.5)
            return fleet, sent

        fleet, sent = builders.run(play)
        self.assertGreaterEqual(len(fleet.ran["w"]), 0.99 * sent)

    def test_killed_coordinator_is_replaced_within_seconds(self) -> None:
        """Guards against calls that are refused until an operator acts."""
        workspace = builders.build_workspace("w", 40, 40)

        async def play() -> builders.Fleet:
            fleet = builders.Fleet(10, [workspace])
            # A whole window, as in a fleet that has run for a while.
            await fleet.start(8)
            coordinator = fleet.get_coordinator()
            assert coordinator is not None
            fleet.kill(coordinator)
            await asyncio.sleep(3)
            fleet.refusals.clear()
            await fleet.send_calls(workspace, range(10), 30, 5)
            await asyncio.sleep(0.5)
            return fleet

        self.assertEqual(sum(builders.run(play).refusals.values()), 0)

    def test_released_lease_interrupts_nothing(self) -> None:
        """Guards against refusals during a rolling restart."""
        workspace = builders.build_workspace("w", 40, 40)

        async def play() -> tuple[builders.Fleet, int]:
            fleet = builders.Fleet(10, [workspace])
            await fleet.start()
            load = asyncio.ensure_future(
                fleet.send_calls(workspace, range(10), 20, 12)
            )
            for _ in range(2):
                await asyncio.sleep(5)
                coordinator = fleet.get_coordinator()
                assert coordinator is not None
                await coordinator.quotas.retire()
            sent = await load
            await asyncio.sleep(0.5)
            return fleet, sent

        fleet, sent = builders.run(play)
        self.assertGreaterEqual(len(fleet.ran["w"]), 0.95 * sent)

    def test_lowered_rate_holds_one_window_later(self) -> None:
        """Guards against tokens of the earlier rate that are kept."""
        before = builders.build_workspace("w", 100, 100)
        after = builders.build_workspace("w", 5)

        async def play() -> builders.Fleet:
            fleet = builders.Fleet(10, [before])
            await fleet.start()
            load = asyncio.ensure_future(
                fleet.send_calls(before, range(10), 200, 20)
            )
            await asyncio.sleep(8)
            fleet.set_workspaces([after])
            await asyncio.sleep(5)
            fleet.ran.clear()
            await load
            return fleet

        self.assertLessEqual(builders.run(play).find_excess(after), 0)


class CostTest(unittest.TestCase):
    def count_calls(self, daemons: int, workspaces: int) -> float:
        """Returns the calls to the store per second."""
        items = [
            builders.build_workspace(f"w{index}", 5)
            for index in range(workspaces)
        ]

        async def play() -> float:
            fleet = builders.Fleet(daemons, items)
            await fleet.start(5)
            before = fleet.store.calls
            await fleet.gather(
                *(
                    fleet.send_calls(item, range(daemons), 2, 10)
                    for item in items[:20]
                )
            )
            return (fleet.store.calls - before) / 10.5

        result: float = builders.run(play)
        return result

    def test_store_calls_do_not_grow(self) -> None:
        """Guards against a store that many daemons or workspaces overload."""
        few = self.count_calls(5, 3)
        many = self.count_calls(60, 200)
        self.assertLess(few, 4)
        self.assertLessEqual(many, few + 0.5)

    def test_nothing_runs_without_rates(self) -> None:
        """Guards against costs for deployments without quotas."""

        async def play() -> builders.Fleet:
            fleet = builders.Fleet(5, [builders.build_workspace("w", 0)])
            await fleet.start(10)
            await fleet.send_calls(
                builders.build_workspace("w", 0), range(5), 20, 3
            )
            await asyncio.sleep(0.5)
            return fleet

        fleet = builders.run(play)
        self.assertEqual(fleet.store.calls, 0)
        self.assertEqual(sum(daemon.requests for daemon in fleet.daemons), 0)
        self.assertEqual(sum(fleet.refusals.values()), 0)
