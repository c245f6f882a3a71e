"""No daemon runs a version below one that ran at its address before."""

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
from tests.versions import models

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZE = 5
numbers = strategies.integers(1, SIZE)
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
    """Plays steps on a fleet and checks every daemon after each."""
    fleet = models.Fleet(SIZE)
    await fleet.accept()
    await fleet.settle()
    for action, number, other in history:
        await act(fleet, action, number, other)
        before = fleet.highest.get(number, 0)
        running = await fleet.step(number)
        assert running == 0 or running >= before, (
            f"daemon {number} ran {before} and then {running}"
        )


async def act(
    fleet: models.Fleet, action: str, number: int, other: int
) -> None:
    """Plays one step."""
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
            await models.read_store(fleet.models[number])
        case "offer":
            newest = fleet.models[other].archive.newest
            if newest is not None:
                fleet.models[number].hold(newest)


class NeverBackTest(unittest.IsolatedAsyncioTestCase):
    """Restarts, outages and stale answers."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(steps)
    def test_no_history_takes_a_daemon_back(
        self, history: list[tuple[str, int, int]]
    ) -> None:
        """Versions are accepted, daemons restart, the store fails.

        Offers arrive late and in any order. A daemon may stay closed, but if
        it runs a version, it is none below one that ran there before.
        """
        asyncio.run(run_history(history))

    async def build_running(self, size: int, version: int) -> models.Fleet:
        fleet = models.Fleet(size)
        await fleet.configuration.accept(version, ["balie"])
        await fleet.settle()
        for number in fleet.models:
            self.assertEqual(await fleet.step(number), version)
        return fleet

    async def check_stale_store(self, fleet: models.Fleet) -> None:
        """A daemon that ran version 7 restarts and reads head 5."""
        await fleet.configuration.accept(7, ["balie"])
        await models.read_store(fleet.models[1])
        self.assertEqual(await fleet.step(1), 7)
        fleet.configuration.stale = 5
        fleet.start(1)
        await models.read_store(fleet.models[1])
        self.assertEqual(await fleet.step(1), 0)
        self.assertEqual(fleet.models[1].floor.version, 7)

    async def test_stale_store_takes_no_daemon_back(self) -> None:
        """The store answers reads from before an outage.

        A daemon that ran version 7 restarts and reads head 5. Its witnesses
        know of 7, so it stays closed until it holds 7.
        """
        fleet = await self.build_running(5, 5)
        await self.check_stale_store(fleet)

    async def test_stale_store_and_witnesses_without_memory(self) -> None:
        """As before, but the witnesses themselves opened a moment ago.

        They cannot vouch, so the store's answer counts; the mark that they
        hold must count as well.
        """
        fleet = models.Fleet(5)
        await fleet.configuration.accept(5, ["balie"])
        for model in fleet.models.values():
            await models.read_store(model)
        for number in fleet.models:
            self.assertEqual(await fleet.step(number), 5)
        await self.check_stale_store(fleet)

    async def test_head_read_before_the_start_is_no_floor(self) -> None:
        """A watcher answers with a head that it read a while ago.

        Versions accepted since then may have run here before the restart.
        """
        fleet = models.Fleet(3)
        fleet.configuration.down = True
        model = fleet.models[1]
        fleet.now += 1.0
        for number in (2, 3):
            fleet.network.handlers[fleet.models[number].id]["Floor"] = (
                lambda request: control_pb2.FloorReply(
                    head_read=True, head_version=3, head_age_ms=1500
                )
            )
        self.assertFalse(await model.floor.try_learn(6))
        fleet.now += 1.0
        self.assertTrue(await model.floor.try_learn(6))

    async def test_herd_without_watchers_keeps_the_read_budget(self) -> None:
        """Thousands of daemons restart and no watcher answers.

        Each would read the head itself in each round, all of them at the
        moment the store comes back. Only a share does.
        """
        fleet = models.Fleet(3)
        model = fleet.models[1]
        model.watcher.turns.is_chosen = lambda: False  # type: ignore[method-assign]
        with mock.patch.object(floor, "READ_BUDGET", 0.1):
            with mock.patch("random.random", return_value=0.0):
                first = [model.floor._may_read(number) for number in range(6)]
            self.assertFalse(any(first))
            rounds = 4000
            reads = sum(model.floor._may_read(100) for _ in range(rounds))
        expected = rounds * 0.1 * models.TIMING.max_floor_retry_delay_s / 2 / 3
        self.assertLess(reads, 3 * expected + 10)

    async def test_all_die_with_the_store_down(self) -> None:
        """All daemons restart at once while the store is down.

        Nobody is left who knows what ran. All stay closed until the store
        returns; then its head is the floor.
        """
        fleet = await self.build_running(5, 3)
        old = fleet.models[1].archive.newest
        await fleet.configuration.accept(4, ["balie"])
        await fleet.settle()
        fleet.configuration.down = True
        for number in range(1, 6):
            fleet.start(number)
        assert old is not None
        fleet.models[1].hold(old)
        for _ in range(3):
            for number in fleet.models:
                self.assertEqual(await fleet.step(number), 0)
            fleet.now += models.TIMING.min_witness_uptime_s + 1
        fleet.configuration.down = False
        await fleet.settle()
        for number in fleet.models:
            self.assertEqual(await fleet.step(number), 4)

    async def test_half_die_with_the_store_down(self) -> None:
        """Half of the daemons restart at once while the store is down.

        Those who have two witnesses among the survivors run again. The others
        cannot know what ran, and stay closed until the store returns.
        """
        fleet = await self.build_running(12, 3)
        fleet.configuration.down = True
        restarted = range(1, 7)
        survivors = {fleet.models[number].id for number in range(7, 13)}
        for number in restarted:
            fleet.start(number)
        snapshot = fleet.models[12].archive.newest
        assert snapshot is not None
        expected: dict[int, int] = {}
        for number in restarted:
            model = fleet.models[number]
            model.hold(snapshot)
            others = [m.id for m in fleet.models.values() if m is not model]
            key = rendezvous.build_neighbours_key(model.id)
            witnesses = rendezvous.choose(key, others, marks.WITNESSES)
            vouched = len(survivors.intersection(witnesses)) >= marks.QUORUM
            expected[number] = 3 if vouched else 0
        self.assertEqual(set(expected.values()), {0, 3})
        for _ in range(3):
            for number, version in expected.items():
                self.assertEqual(await fleet.step(number), version)
            fleet.now += models.TIMING.min_witness_uptime_s + 1
        fleet.configuration.down = False
        await fleet.settle()
        for number in restarted:
            self.assertEqual(await fleet.step(number), 3)

    async def test_witnesses_that_died_are_missed(self) -> None:
        """A daemon and two of its witnesses die; only it comes back.

        The next in line never recorded its last version. Were they taken for
        its witnesses, they would vouch for a version before that.
        """
        fleet = await self.build_running(8, 3)
        await fleet.configuration.accept(4, ["balie"])
        model = fleet.models[1]
        await models.read_store(model)
        self.assertEqual(await fleet.step(1), 4)
        fleet.configuration.down = True
        gone = model.marker.get_candidates()[: marks.WITNESSES]
        for number in [
            n for n, other in fleet.models.items() if other.id in gone
        ]:
            fleet.kill(number)
        fleet.start(1)
        older = fleet.models[max(fleet.models)].archive.newest
        assert older is not None
        fleet.models[1].hold(older)
        self.assertEqual(await fleet.step(1), 0)

    async def test_version_does_not_run_before_two_recorded_it(self) -> None:
        """Two of three witnesses are silent when a version arrives.

        If it ran now and the daemon restarted, the one mark might be missed.
        """
        fleet = await self.build_running(6, 1)
        await fleet.configuration.accept(2, ["balie"])
        model = fleet.models[1]
        await models.read_store(model)
        witnesses = model.marker.get_candidates()[: marks.WITNESSES]
        fleet.network.silent.update(witnesses[:2])
        self.assertEqual(await fleet.step(1), 1)
        fleet.network.silent.discard(witnesses[0])
        self.assertEqual(await fleet.step(1), 2)

    async def test_refused_witness_is_replaced_at_once(self) -> None:
        fleet = await self.build_running(6, 1)
        await fleet.configuration.accept(2, ["balie"])
        model = fleet.models[1]
        await models.read_store(model)
        witnesses = model.marker.get_candidates()[: marks.WITNESSES]
        fleet.network.refused.update(witnesses[:2])
        self.assertEqual(await fleet.step(1), 2)

    async def test_restarted_witness_is_marked_again(self) -> None:
        """A witness restarts and has forgotten its marks.

        The daemon marks its running version with it again, or after enough
        restarts nobody would know what it ran.
        """
        fleet = await self.build_running(4, 3)
        model = fleet.models[1]
        for number in (2, 3, 4):
            fleet.start(number)
        await fleet.step(1)
        held = [
            other.witness._marks.get(model.id, 0)
            for number, other in fleet.models.items()
            if number != 1
        ]
        self.assertGreaterEqual(held.count(3), marks.QUORUM)

    async def test_witness_that_was_only_late_keeps_its_mark(self) -> None:
        """A busy daemon opens, though its witnesses are held for dead at times.

        Each refutes that with a higher incarnation, which everybody passes on.
        Counted as a restart, it voids a mark that is there. On a busy machine
        marks were lost so faster than they were made: all eight daemons of a
        fleet held the version, and three lacked two marks for good.
        """
        fleet = await self.build_running(4, 1)
        model = fleet.models[1]
        for number in (2, 3, 4):
            late = fleet.models[number].table
            told = control_pb2.Member()
            told.CopyFrom(late.local_member)
            told.state = control_pb2.DEAD
            late.merge(told)
            self.assertTrue(model.table.merge(late.local_member))
        fleet.network.calls.clear()
        await fleet.step(1)
        self.assertEqual(fleet.network.calls, [])

    async def test_frozen_watcher_is_harmless(self) -> None:
        """A watcher is frozen with an old head in hand, then thawed.

        It compiles the old version and holds it out as news. Nobody takes
        it, and the thawed daemon itself does not either.
        """
        fleet = await self.build_running(4, 2)
        frozen = fleet.models[1]
        old = frozen.archive.newest
        await fleet.configuration.accept(3, ["balie"])
        await fleet.settle()
        assert old is not None
        for number, model in fleet.models.items():
            model.hold(old)
            self.assertEqual(await fleet.step(number), 3)
            self.assertFalse(model.holder.take(old))

    async def test_lone_daemon_relies_on_the_store(self) -> None:
        fleet = await self.build_running(1, 3)
        fleet.configuration.down = True
        fleet.start(1)
        self.assertEqual(await fleet.step(1), 0)
        fleet.configuration.down = False
        await models.read_store(fleet.models[1])
        self.assertEqual(await fleet.step(1), 3)


if __name__ == "__main__":
    unittest.main()
