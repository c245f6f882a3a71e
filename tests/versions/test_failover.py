"""Tests of the takeover of the watch from watchers without the store."""

from __future__ import annotations

import unittest

from merlintrestle.members import links as links_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import failover as failover_lib
from merlintrestle.versions import store_reads as store_reads_lib
from tests.members import builders as member_builders
from tests.requests import fakes
from tests.versions import builders
from tests.versions import simulations
from tests.versions import test_fleet

_READ_INTERVAL_S = simulations.TIMING.head_refresh_interval_s
_ZONE_SIZE = 6


class CutWatchersTest(test_fleet.FleetCase):
    """Daemons over loopback, each with a path of its own to the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.views: dict[str, builders.ConfigurationView] = {}
        await self.configuration.accept(1, ["balie"])
        for _ in range(_ZONE_SIZE):
            view = builders.ConfigurationView(self.configuration)
            seeds = [daemon.id for daemon in self.daemons[:1]]
            daemon = builders.Daemon(view, seeds=seeds)
            self.daemons.append(daemon)
            self.views[daemon.id] = view
            await daemon.start()
        await self.wait_for_version(1)
        await builders.wait_until(
            lambda: (
                all(
                    len(daemon.table.list_usable_ids()) == _ZONE_SIZE
                    for daemon in self.daemons
                )
                and len(self.list_watchers()) == 2
            )
        )

    def list_watchers(self) -> list[str]:
        """Returns the ids of the daemons that watch the store."""
        return [
            daemon.id
            for daemon in self.daemons
            if daemon.distribution.watcher.selection.is_watcher()
        ]

    async def test_change_arrives_while_the_watchers_are_cut_off(self) -> None:
        """Guards against a stale fleet whose watchers alone lose the store."""
        watchers = self.list_watchers()
        for member_id in watchers:
            self.views[member_id].cut = True
        await self.configuration.accept(2, ["balie"])
        await self.wait_for_version(2)
        for member_id in watchers:
            self.views[member_id].cut = False
        await builders.wait_until(
            lambda: set(self.list_watchers()) == set(watchers)
        )

    async def test_change_arrives_if_one_daemon_reaches_the_store(self) -> None:
        """Guards against a takeover that fails and is not tried again."""
        for view in list(self.views.values())[1:]:
            view.cut = True
        await self.configuration.accept(2, ["balie"])
        await self.wait_for_version(2)


class FailoverTest(unittest.TestCase):
    """The takeover alone, in simulated time."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()

    def build(
        self, number: int, size: int
    ) -> tuple[failover_lib.Failover, links_lib.Links]:
        """Builds the failover of a daemon of a fleet; 1 and 2 watch."""
        table = table_lib.MemberTable(
            member_builders.build_member(number), self.clock.get_time
        )
        for other in range(1, size + 1):
            table.merge(member_builders.build_member(other))
        membership = simulations.FakeMembership(
            table,
            member_builders.FakePeerClient(None, ""),  # type: ignore[arg-type]
        )
        reads = store_reads_lib.StoreReads(
            membership.links, membership.timing, self.clock.get_time
        )
        watchers = [member_builders.build_member(i).id for i in (1, 2)]
        failover = failover_lib.Failover(
            membership,  # type: ignore[arg-type]
            reads,
            lambda: watchers,
            self.clock.get_time,
        )
        return failover, membership.links

    def tell(self, links: links_lib.Links, number: int, age_s: float) -> None:
        """Tells a daemon of a watcher's read."""
        message = control_pb2.LinkMessage()
        message.store_reads.add(
            reader=1, number=number, by_watcher=True, age_ms=int(1000 * age_s)
        )
        for receive in links.on_message:
            receive(links_lib.Link("peer", outgoing=True), message)

    def count_attempts(self, size: int, duration_s: float) -> int:
        """Returns the attempts of a fleet in which nobody gets an answer."""
        fleet = [self.build(number, size) for number in range(3, size + 1)]
        for _, links in fleet:
            self.tell(links, 1, 0.0)
        attempts = 0
        until = self.clock.get_time() + duration_s
        while self.clock.get_time() < until:
            self.clock.now += _READ_INTERVAL_S / 10
            for failover, _ in fleet:
                if failover.get_delay() <= 0:
                    failover.begin()
                    failover.end()
                    attempts += 1
        return attempts

    def test_attempts_in_an_outage_do_not_grow_with_the_fleet(self) -> None:
        """Guards against a store that all daemons call once it fails."""
        duration_s = 10 * _READ_INTERVAL_S
        for size in (6, 60):
            attempts = self.count_attempts(size, duration_s)
            self.assertLessEqual(attempts, 3 * duration_s / _READ_INTERVAL_S)
            self.assertGreater(attempts, 0)

    def test_starting_daemon_does_not_take_over(self) -> None:
        """Guards against a restarted fleet whose daemons all watch."""
        failover, _ = self.build(3, 6)
        self.clock.now += 100 * _READ_INTERVAL_S
        failover.begin()
        self.assertFalse(failover.is_active())

    def test_late_message_does_not_renew_a_read(self) -> None:
        """Guards against a lost store that looks read in delayed messages."""
        failover, links = self.build(3, 3)
        self.tell(links, 1, 0.0)
        self.clock.now += 2 * _READ_INTERVAL_S
        self.tell(links, 1, 0.0)
        self.assertLessEqual(failover.get_delay(), 0)

    def test_watcher_that_reads_again_ends_the_takeover(self) -> None:
        """Guards against more and more daemons that watch."""
        failover, links = self.build(3, 3)
        self.tell(links, 1, 0.0)
        self.clock.now += 2 * _READ_INTERVAL_S
        failover.begin()
        self.assertTrue(failover.is_active())
        self.tell(links, 2, 0.0)
        self.assertFalse(failover.is_active())
