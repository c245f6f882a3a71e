"""Tests for the polls for proofs of freshness, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle.members import links as links_lib
from tests.versions import freshness_fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_SEEDS = strategies.integers(0, 10**6)


def _run(
    seed: int, play: Callable[[freshness_fleets.Fleet], Awaitable[None]]
) -> None:
    async def scenario() -> None:
        fleet = freshness_fleets.Fleet()
        await fleet.start()
        try:
            await play(fleet)
        finally:
            await fleet.close()

    freshness_fleets.run(seed, scenario)


class FreshnessPollerTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, max_examples=10)
    @hypothesis.given(_SEEDS)
    def test_proofs_are_recent_at_few_reads(self, seed: int) -> None:
        """Guards against proofs that leave no time for an outage.

        The reads of the store must not grow with the daemons that ask.
        """

        async def play(fleet: freshness_fleets.Fleet) -> None:
            reads_before = len(fleet.read_times)
            self.assertLessEqual(await fleet.watch_ages(20.0), 2.0)
            reads = len(fleet.read_times) - reads_before
            self.assertLessEqual(reads / 20 / len(fleet.list_watchers()), 1.3)

        _run(seed, play)

    @hypothesis.settings(deadline=None, max_examples=30)
    @hypothesis.given(
        _SEEDS, strategies.floats(0.0, 2.0), strategies.sampled_from([0.0, 1.2])
    )
    def test_an_outage_of_a_second_makes_no_daemon_stale(
        self, seed: int, phase_s: float, blind_s: float
    ) -> None:
        """Guards against refusals while the store is away for a moment.

        Also where other keys are written, so that reads rest on the history.
        """

        async def play(fleet: freshness_fleets.Fleet) -> None:
            fleet.blind_s = blind_s
            await fleet.watch_ages(5.0 + phase_s)
            fleet.store_down = True
            highest = await fleet.watch_ages(1.0)
            fleet.store_down = False
            highest = max(highest, await fleet.watch_ages(5.0))
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)

        _run(seed, play)

    @hypothesis.settings(deadline=None, max_examples=10)
    @hypothesis.given(_SEEDS)
    def test_a_cut_of_all_daemons_for_a_second_makes_none_stale(
        self, seed: int
    ) -> None:
        """Guards against refusals while the network is away for a moment."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            for daemon in fleet.daemons:
                fleet.cut(daemon)
            highest = await fleet.watch_ages(1.0)
            fleet.network.cut.clear()
            highest = max(highest, await fleet.watch_ages(5.0))
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)

        _run(seed, play)

    @hypothesis.settings(deadline=None, max_examples=10)
    @hypothesis.given(_SEEDS)
    def test_a_daemon_with_one_neighbour_stays_fresh(self, seed: int) -> None:
        """Guards against refusals where any way to the store remains.

        The daemon reaches neither the store nor a watcher, but a neighbour.
        """

        async def play(fleet: freshness_fleets.Fleet) -> None:
            watchers = fleet.list_watchers()
            daemon, neighbour = [
                daemon for daemon in fleet.daemons if daemon not in watchers
            ][:2]
            fleet.cut(daemon, (neighbour,))
            daemon.store.down = True
            link = links_lib.Link(neighbour.id, outgoing=True)
            with mock.patch.object(
                daemon.membership.links, "get_links", lambda: [link]
            ):
                highest = await fleet.watch_ages(20.0)
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)

        _run(seed, play)

    @hypothesis.settings(deadline=None, max_examples=10)
    @hypothesis.given(_SEEDS)
    def test_watchers_cut_from_the_store_ask_others(self, seed: int) -> None:
        """Guards against a zone that refuses because its watchers are cut."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            watchers = fleet.list_watchers()
            for daemon in watchers[:2]:
                daemon.store.down = True
            highest = await fleet.watch_ages(20.0)
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)

        _run(seed, play)

    @hypothesis.settings(deadline=None, max_examples=10)
    @hypothesis.given(_SEEDS)
    def test_a_daemon_that_hears_of_nobody_reads_the_store(
        self, seed: int
    ) -> None:
        """Guards against refusals of a daemon that reaches only the store."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            watchers = fleet.list_watchers()
            alone = [d for d in fleet.daemons if d not in watchers][0]
            fleet.cut(alone)
            reads_before = alone.store.reads
            highest = await fleet.watch_ages(20.0)
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)
            self.assertLessEqual(alone.store.reads - reads_before, 20)

        _run(seed, play)

    def test_a_daemon_is_fresh_soon_after_its_start(self) -> None:
        """Guards against a restart that refuses calls for an interval."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            for daemon in fleet.daemons:
                with self.subTest(daemon=daemon.id):
                    await daemon.close()
                    restarted = freshness_fleets.Daemon(
                        fleet, int(daemon.id.rpartition(":")[2]) - 9000
                    )
                    for peer in fleet.daemons:
                        restarted.table.merge(peer.table.local_member)
                    await restarted.start()
                    await asyncio.sleep(0.1)
                    self.assertTrue(restarted.freshness.is_fresh())
                    fleet.daemons[fleet.daemons.index(daemon)] = restarted

        _run(1, play)

    def test_a_refused_request_ends_the_wait_after_a_freeze(self) -> None:
        """Guards against refusals for an interval after a freeze.

        The clock of the event loop does not count the time of the freeze.
        """

        async def play(fleet: freshness_fleets.Fleet) -> None:
            watchers = fleet.list_watchers()
            daemon = next(d for d in fleet.daemons if d not in watchers)
            daemon.freshness._get_time = lambda: (
                freshness_fleets.get_time() + 10.0
            )
            self.assertFalse(daemon.freshness.is_fresh())
            await asyncio.sleep(0.3)
            self.assertTrue(daemon.freshness.is_fresh())

        _run(1, play)

    def test_a_store_that_is_down_gets_few_calls(self) -> None:
        """Guards against a fleet that keeps a failing store from returning."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            fleet.store_down = True
            await fleet.watch_ages(5.0)
            reads_before = len(fleet.read_times)
            await fleet.watch_ages(20.0)
            reads = len(fleet.read_times) - reads_before
            watchers = len(fleet.list_watchers())
            others = len(fleet.daemons) - watchers
            # A watcher retries every 0.6 s at most to see the next version.
            self.assertLessEqual(reads / 20, 3.2 * watchers + 1.0 * others)
            for daemon in fleet.daemons:
                self.assertFalse(daemon.freshness.is_fresh())

        _run(1, play)

    def test_nothing_is_polled_without_workspaces(self) -> None:
        """Guards against costs of deployments that have no API keys."""

        async def play(fleet: freshness_fleets.Fleet) -> None:
            for daemon in fleet.daemons:
                snapshot = daemon.active_version.active_snapshot
                assert snapshot is not None
                snapshot.workspaces = {}
            await fleet.watch_ages(1.0)
            fleet.network.calls.clear()
            await fleet.watch_ages(5.0)
            self.assertEqual(fleet.network.calls, [])

        _run(1, play)
