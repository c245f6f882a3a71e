"""Simulated daemons without sockets or clocks, for tests of the floor."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.members import links as links_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import floor as floor_lib
from merlintrestle.versions import marks as marks_lib
from merlintrestle.versions import watcher as watcher_lib
from tests.members import builders as member_builders
from tests.versions import builders

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.documents import snapshot as snapshot_lib

TIMING = member_builders.FAST_TIMING._replace(
    min_witness_uptime_s=60.0, watcher_settling_time_s=0.0, flush_delay_s=0.0
)


class FakeMembership:
    """Replaces `membership.Membership`.

    Attributes:
        links: Links to peers; none is open.
        seed_searches: Number of calls of `contact_stored_seeds`.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: member_builders.FakePeerClient,
    ):
        self.table = table
        self.peers = peers
        self.timing = TIMING
        self.links = links_lib.Links(table, TIMING)
        self.seed_searches = 0

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Returns at once."""
        return True

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Does nothing, as all members are known."""

    async def contact_stored_seeds(self) -> None:
        """Counts the call; there are no other members."""
        self.seed_searches += 1

    def is_isolated(self) -> bool:
        """Returns False."""
        return False


class SimulatedDaemon:
    """Version distribution of a process at an address."""

    def __init__(self, fleet: SimulatedFleet, number: int, incarnation: int):
        local_member = member_builders.build_member(number, incarnation)
        self.id = local_member.id
        self.table = table_lib.MemberTable(local_member, fleet.get_time)
        membership: Any = FakeMembership(
            self.table,
            member_builders.FakePeerClient(fleet.network, local_member.id),
        )
        self.membership = membership
        self.archive = archive_lib.Archive()
        self.active_version = active_version_lib.ActiveVersion()
        self.witness = marks_lib.Witness(self.table, fleet.get_time)
        self.marker = marks_lib.Marker(self.table, membership.peers, TIMING)
        self.watcher = watcher_lib.Watcher(
            membership, fleet.configuration, self.add_snapshot, fleet.get_time
        )
        self.floor_resolver = floor_lib.FloorResolver(
            membership, self.marker, self.watcher, fleet.get_time
        )
        fleet.network.handlers[local_member.id] = {
            "Mark": self.witness.record,
            "Floor": self._answer_floor,
        }

    def add_snapshot(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Archives a version."""
        self.archive.add(snapshot)

    async def step(self) -> None:
        """Resolves the floor if unknown, then activates the newest version.

        These are the steps of `Distribution`, one at a time. The floor is
        resolved as in attempt 6, the first in which the daemon does not wait
        for watchers and witnesses.
        """
        if (
            self.floor_resolver.floor is None
            and not await self.floor_resolver.try_resolve(6)
        ):
            return
        newest = self.archive.newest
        if newest is None or newest.version < (self.floor_resolver.floor or 0):
            return
        if await self.marker.mark(newest.version):
            self.active_version.activate(newest)
            self.witness.set_open()

    async def _answer_floor(
        self, request: control_pb2.FloorRequest
    ) -> control_pb2.FloorReply:
        highest_known = max(
            self.archive.version,
            self.floor_resolver.floor or 0,
            self.witness.get_highest_version(),
        )
        reply = self.witness.answer_floor(request, highest_known)
        await self.watcher.add_head(reply, request.uptime_ms)
        return reply


class SimulatedFleet:
    """Simulated daemons, the network between them and the store.

    Attributes:
        now: Simulated time in seconds.
        configuration: The configuration in the store.
        network: Network for calls between the daemons.
        daemons: The running daemons by number.
        highest_versions: The highest version that ever ran, by number.
    """

    def __init__(self, size: int):
        self.now = 1000.0
        self.configuration = builders.FakeConfiguration()
        self.network = member_builders.FakeNetwork()
        self.daemons: dict[int, SimulatedDaemon] = {}
        self.highest_versions: dict[int, int] = {}
        self._incarnation = 0
        self._version = 0
        for number in range(1, size + 1):
            self.start(number)

    def get_time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    async def accept(self) -> None:
        """Accepts the next version, unless the store is down."""
        if not self.configuration.down:
            self._version += 1
            await self.configuration.accept(self._version, ["balie"])

    def start(self, number: int) -> None:
        """Starts a daemon, at the address of its predecessor if any."""
        self._incarnation += 1
        self.daemons[number] = SimulatedDaemon(self, number, self._incarnation)
        for daemon in self.daemons.values():
            for peer in self.daemons.values():
                if daemon is not peer:
                    daemon.table.merge(peer.table.local_member)

    def kill(self, number: int) -> None:
        """Ends a daemon; the others detect that it is dead."""
        daemon = self.daemons.pop(number)
        del self.network.handlers[daemon.id]
        for peer in self.daemons.values():
            peer.table.set_state(daemon.id, control_pb2.DEAD)

    async def step(self, number: int) -> int:
        """Runs a step of a daemon; returns its active version."""
        daemon = self.daemons[number]
        await daemon.step()
        version = daemon.active_version.version
        self.highest_versions[number] = max(
            self.highest_versions.get(number, 0), version
        )
        return version

    async def settle(self) -> None:
        """Distributes all versions, then skips the minimum witness uptime.

        Witnesses rely on this: within that time every version reaches every
        daemon, and every version is recorded again.
        """
        for daemon in self.daemons.values():
            if not self.configuration.down:
                await daemon.watcher.read_and_compile_head()
        for _ in range(2):
            for daemon in self.daemons.values():
                for peer in self.daemons.values():
                    if daemon.archive.newest is not None:
                        peer.add_snapshot(daemon.archive.newest)
            for number in self.daemons:
                await self.step(number)
        self.now += TIMING.min_witness_uptime_s + 1


async def read_store(daemon: SimulatedDaemon) -> None:
    """Makes a daemon read the head, as a watcher does."""
    try:
        await daemon.watcher.read_and_compile_head()
    except errors.MerlintrestleError:
        return
