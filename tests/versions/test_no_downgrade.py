"""Tests that no daemon runs a lower version than ran at its address before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle.members import rendezvous
from merlintrestle.schema import control_pb2
from merlintrestle.versions import floor
from merlintrestle.versions import marks
from tests.versions import simulations

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZE = 5
numbers = strategies.integers(1, SIZE)
# Kind, daemon and peer of each action; only "offer" uses the peer. After each
# action the daemon takes a step, and "work" is this step alone. "offer" occurs
# twice to be more frequent.
steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("work"), numbers, numbers),
        strategies.tuples(strategies.just("offer"), numbers, numbers),
        strategies.tuples(strategies.just("offer"), numbers, numbers),
        strategies.tuples(strategies.just("read"), numbers, numbers),
        strategies.tuples(strategies.just("restart"), numbers, numbers),
        strategies.tuples(strategies.just("accept"), numbers, numbers),
        strategies.tuples(strategies.just("outage"), numbers, numbers),
        strategies.tuples(strategies.just("settle"), numbers, numbers),
        strategies.tuples(strategies.just("tick"), numbers, numbers),
    ),
    max_size=40,
)


async def run_history(history: Sequence[tuple[str, int, int]]) -> None:
    """Simulates the actions and checks the daemon concerned after each."""
    fleet = simulations.SimulatedFleet(SIZE)
    await fleet.accept()
    await fleet.settle()
    for action, number, peer_number in history:
        await act(fleet, action, number, peer_number)
        highest_version = fleet.highest_versions.get(number, 0)
        version = await fleet.step(number)
        assert version == 0 or version >= highest_version, (
            f"daemon {number} ran {highest_version} and then {version}"
        )


async def act(
    fleet: simulations.SimulatedFleet,
    action: str,
    number: int,
    peer_number: int,
) -> None:
    """Simulates an action."""
    match action:
        case "accept":
            await fleet.accept()
        case "outage":
            fleet.configuration.down = not fleet.configuration.down
        case "restart":
            fleet.start(number)
        case "settle":
            await fleet.settle()
        case "tick":
            fleet.now += 1.0
        case "read":
            await simulations.read_store(fleet.daemons[number])
        case "offer":
            newest = fleet.daemons[peer_number].archive.newest
            if newest is not None:
                fleet.daemons[number].add_snapshot(newest)


class NoDowngradeTest(unittest.IsolatedAsyncioTestCase):
    """Daemons restart, the store fails, and answers are stale."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(steps)
    def test_no_history_downgrades_a_daemon(
        self, history: list[tuple[str, int, int]]
    ) -> None:
        """Versions are accepted, daemons restart and the store fails.

        Offers arrive late and in any order. A daemon may stay closed, but it
        never runs a lower version than ran at its address before.
        """
        asyncio.run(run_history(history))

    async def build_running(
        self, size: int, version: int
    ) -> simulations.SimulatedFleet:
        fleet = simulations.SimulatedFleet(size)
        await fleet.configuration.accept(version, ["balie"])
        await fleet.settle()
        for number in fleet.daemons:
            self.assertEqual(await fleet.step(number), version)
        return fleet

    async def check_stale_store(
        self, fleet: simulations.SimulatedFleet
    ) -> None:
        """A daemon that ran version 7 restarts and reads head 5."""
        await fleet.configuration.accept(7, ["balie"])
        await simulations.read_store(fleet.daemons[1])
        self.assertEqual(await fleet.step(1), 7)
        fleet.configuration.stale_version = 5
        fleet.start(1)
        await simulations.read_store(fleet.daemons[1])
        self.assertEqual(await fleet.step(1), 0)
        self.assertEqual(fleet.daemons[1].floor_resolver.floor, 7)

    async def test_stale_store_downgrades_no_daemon(self) -> None:
        """The store returns data from before an outage.

        A daemon that ran version 7 restarts and reads head 5. Its witnesses
        know of version 7, so it stays closed until it holds version 7.
        """
        fleet = await self.build_running(5, 5)
        await self.check_stale_store(fleet)

    async def test_stale_store_and_recently_opened_witnesses(self) -> None:
        """The store is stale and the witnesses opened only recently.

        They cannot confirm the floor, so the answer of the store counts; the
        mark that they keep must count as well.
        """
        fleet = simulations.SimulatedFleet(5)
        await fleet.configuration.accept(5, ["balie"])
        for daemon in fleet.daemons.values():
            await simulations.read_store(daemon)
        for number in fleet.daemons:
            self.assertEqual(await fleet.step(number), 5)
        await self.check_stale_store(fleet)

    async def test_head_read_before_startup_is_not_used(self) -> None:
        """A watcher answers with a head that it read before the restart.

        The previous process may have run versions accepted since that read.
        """
        fleet = simulations.SimulatedFleet(3)
        fleet.configuration.down = True
        daemon = fleet.daemons[1]
        fleet.now += 1.0
        for number in (2, 3):
            fleet.network.handlers[fleet.daemons[number].id]["Floor"] = (
                lambda request: control_pb2.FloorReply(
                    head_read=True, head_version=3, head_age_ms=1500
                )
            )
        # The first attempt in which the daemon does not wait for watchers.
        self.assertFalse(await daemon.floor_resolver.try_resolve(6))
        fleet.now += 1.0
        self.assertTrue(await daemon.floor_resolver.try_resolve(6))

    async def test_mass_restart_without_watchers_limits_reads(self) -> None:
        """Thousands of daemons restart and no watcher answers.

        If each daemon read the head itself in each round, all of them would
        read at the moment the store recovers. Only a fraction does.
        """
        fleet = simulations.SimulatedFleet(3)
        daemon = fleet.daemons[1]
        daemon.watcher.selection.is_watcher = lambda: False  # type: ignore[method-assign]
        with mock.patch.object(floor, "MAX_FLEET_READS_PER_S", 0.1):
            with mock.patch("random.random", return_value=0.0):
                first_rounds = [
                    daemon.floor_resolver._may_read_head(number)
                    for number in range(6)
                ]
            self.assertFalse(any(first_rounds))
            rounds = 4000
            reads = sum(
                daemon.floor_resolver._may_read_head(100) for _ in range(rounds)
            )
        # The reads that the fleet may make per second, times the shortest delay
        # between two rounds, divided by the number of daemons.
        expected = (
            rounds * 0.1 * simulations.TIMING.max_floor_retry_delay_s / 2 / 3
        )
        self.assertLess(reads, 3 * expected + 10)

    async def test_all_restart_with_the_store_down(self) -> None:
        """All daemons restart at once while the store is down.

        No daemon knows which version ran. All stay closed until the store
        recovers; then its head is the floor.
        """
        fleet = await self.build_running(5, 3)
        old_snapshot = fleet.daemons[1].archive.newest
        await fleet.configuration.accept(4, ["balie"])
        await fleet.settle()
        fleet.configuration.down = True
        for number in range(1, 6):
            fleet.start(number)
        assert old_snapshot is not None
        fleet.daemons[1].add_snapshot(old_snapshot)
        for _ in range(3):
            for number in fleet.daemons:
                self.assertEqual(await fleet.step(number), 0)
            fleet.now += simulations.TIMING.min_witness_uptime_s + 1
        fleet.configuration.down = False
        await fleet.settle()
        for number in fleet.daemons:
            self.assertEqual(await fleet.step(number), 4)

    async def test_half_restart_with_the_store_down(self) -> None:
        """Half of the daemons restart at once while the store is down.

        Those with two witnesses among the survivors run again. The others
        cannot determine which version ran, and stay closed until the store
        recovers.
        """
        fleet = await self.build_running(12, 3)
        fleet.configuration.down = True
        restarted = range(1, 7)
        survivors = {fleet.daemons[number].id for number in range(7, 13)}
        for number in restarted:
            fleet.start(number)
        snapshot = fleet.daemons[12].archive.newest
        assert snapshot is not None
        expected: dict[int, int] = {}
        for number in restarted:
            daemon = fleet.daemons[number]
            daemon.add_snapshot(snapshot)
            peer_ids = [
                peer.id for peer in fleet.daemons.values() if peer is not daemon
            ]
            key = rendezvous.build_neighbours_key(daemon.id)
            witnesses = rendezvous.choose(key, peer_ids, marks.WITNESS_COUNT)
            is_confirmed = (
                len(survivors.intersection(witnesses)) >= marks.QUORUM
            )
            expected[number] = 3 if is_confirmed else 0
        self.assertEqual(set(expected.values()), {0, 3})
        for _ in range(3):
            for number, version in expected.items():
                self.assertEqual(await fleet.step(number), version)
            fleet.now += simulations.TIMING.min_witness_uptime_s + 1
        fleet.configuration.down = False
        await fleet.settle()
        for number in restarted:
            self.assertEqual(await fleet.step(number), 3)

    async def test_dead_witnesses_count_as_missing(self) -> None:
        """A daemon and two of its witnesses die, and only the daemon restarts.

        The next candidates never recorded its last version. If they replaced
        the dead witnesses, they would confirm an earlier version.
        """
        fleet = await self.build_running(8, 3)
        await fleet.configuration.accept(4, ["balie"])
        daemon = fleet.daemons[1]
        await simulations.read_store(daemon)
        self.assertEqual(await fleet.step(1), 4)
        fleet.configuration.down = True
        dead_witnesses = daemon.marker.get_candidates()[: marks.WITNESS_COUNT]
        for number in [
            number
            for number, peer in fleet.daemons.items()
            if peer.id in dead_witnesses
        ]:
            fleet.kill(number)
        fleet.start(1)
        older_snapshot = fleet.daemons[max(fleet.daemons)].archive.newest
        assert older_snapshot is not None
        fleet.daemons[1].add_snapshot(older_snapshot)
        self.assertEqual(await fleet.step(1), 0)

    async def test_version_does_not_run_before_two_witnesses_recorded_it(
        self,
    ) -> None:
        """Two of three witnesses are silent when a version arrives.

        If it ran and the daemon restarted, the only mark might be missed.
        """
        fleet = await self.build_running(6, 1)
        await fleet.configuration.accept(2, ["balie"])
        daemon = fleet.daemons[1]
        await simulations.read_store(daemon)
        witnesses = daemon.marker.get_candidates()[: marks.WITNESS_COUNT]
        fleet.network.silent.update(witnesses[:2])
        self.assertEqual(await fleet.step(1), 1)
        fleet.network.silent.discard(witnesses[0])
        self.assertEqual(await fleet.step(1), 2)

    async def test_refused_witness_is_replaced_at_once(self) -> None:
        fleet = await self.build_running(6, 1)
        await fleet.configuration.accept(2, ["balie"])
        daemon = fleet.daemons[1]
        await simulations.read_store(daemon)
        witnesses = daemon.marker.get_candidates()[: marks.WITNESS_COUNT]
        fleet.network.refused.update(witnesses[:2])
        self.assertEqual(await fleet.step(1), 2)

    async def test_restarted_witness_records_the_version_again(self) -> None:
        """A witness restarts and has lost its marks.

        The daemon records its active version there again; otherwise,
        after enough restarts, no witness would know which version it ran.
        """
        fleet = await self.build_running(4, 3)
        daemon = fleet.daemons[1]
        for number in (2, 3, 4):
            fleet.start(number)
        await fleet.step(1)
        recorded_versions = [
            peer.witness._versions_by_member.get(daemon.id, 0)
            for number, peer in fleet.daemons.items()
            if number != 1
        ]
        self.assertGreaterEqual(recorded_versions.count(3), marks.QUORUM)

    async def test_witness_that_was_only_late_keeps_its_mark(self) -> None:
        """A busy daemon opens though its witnesses are sometimes declared dead.

        Each refutes this with a higher incarnation, which all daemons pass on.
        If this were treated as a restart, an existing mark would be discarded.
        On a busy machine marks would be discarded faster than they are
        recorded: all eight daemons of a fleet would hold the version, but three
        of them would never have two marks and would stay closed.
        """
        fleet = await self.build_running(4, 1)
        daemon = fleet.daemons[1]
        for number in (2, 3, 4):
            late_table = fleet.daemons[number].table
            declared_dead = control_pb2.Member()
            declared_dead.CopyFrom(late_table.local_member)
            declared_dead.state = control_pb2.DEAD
            late_table.merge(declared_dead)
            self.assertTrue(daemon.table.merge(late_table.local_member))
        fleet.network.calls.clear()
        await fleet.step(1)
        self.assertEqual(fleet.network.calls, [])

    async def test_paused_watcher_is_harmless(self) -> None:
        """A watcher is paused after it read a head, and resumes much later.

        It compiles the old version and offers it as new. No daemon activates
        it, including the resumed one.
        """
        fleet = await self.build_running(4, 2)
        paused = fleet.daemons[1]
        old_snapshot = paused.archive.newest
        await fleet.configuration.accept(3, ["balie"])
        await fleet.settle()
        assert old_snapshot is not None
        for number, daemon in fleet.daemons.items():
            daemon.add_snapshot(old_snapshot)
            self.assertEqual(await fleet.step(number), 3)
            self.assertFalse(daemon.active_version.activate(old_snapshot))

    async def test_only_daemon_relies_on_the_store(self) -> None:
        fleet = await self.build_running(1, 3)
        fleet.configuration.down = True
        fleet.start(1)
        self.assertEqual(await fleet.step(1), 0)
        fleet.configuration.down = False
        await simulations.read_store(fleet.daemons[1])
        self.assertEqual(await fleet.step(1), 3)


if __name__ == "__main__":
    unittest.main()
