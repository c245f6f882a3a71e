"""Daemons without sockets or clocks, for tests of what may run."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.members import links as links_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import floor as floor_lib
from merlintrestle.versions import holder as holder_lib
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


class Contact:
    """Stands in for `membership.Membership`.

    Attributes:
        links: Links to peers; none is open.
        searches: How often it was told to look for others.
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
        self.searches = 0

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Needs no wait."""
        return True

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Knows everyone."""

    async def contact_stored_seeds(self) -> None:
        """Counts; there are no others."""
        self.searches += 1

    def is_isolated(self) -> bool:
        """Hears the others."""
        return False


class Model:
    """The version part of one process at one address."""

    def __init__(self, fleet: Fleet, number: int, incarnation: int):
        own = member_builders.build_member(number, incarnation)
        self.id = own.id
        self.table = table_lib.MemberTable(own, fleet.get_time)
        contact: Any = Contact(
            self.table, member_builders.FakePeerClient(fleet.network, own.id)
        )
        self.contact = contact
        self.archive = archive_lib.Archive()
        self.holder = holder_lib.Holder()
        self.witness = marks_lib.Witness(self.table, fleet.get_time)
        self.marker = marks_lib.Marker(self.table, contact.peers, TIMING)
        self.watcher = watcher_lib.Watcher(
            contact, fleet.configuration, self.hold, fleet.get_time
        )
        self.floor = floor_lib.Floor(
            contact, self.marker, self.watcher, fleet.get_time
        )
        fleet.network.handlers[own.id] = {
            "Mark": self.witness.record,
            "Floor": self._answer_floor,
        }

    def hold(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Keeps a version."""
        self.archive.add(snapshot)

    async def step(self) -> None:
        """Learns the floor if it is not known, then runs what may run.

        The same steps as `Distribution`, one at a time.
        """
        if self.floor.version is None and not await self.floor.try_learn(6):
            return
        newest = self.archive.newest
        if newest is None or newest.version < (self.floor.version or 0):
            return
        if await self.marker.mark(newest.version):
            self.holder.take(newest)
            self.witness.open()

    async def _answer_floor(
        self, request: control_pb2.FloorRequest
    ) -> control_pb2.FloorReply:
        known = max(
            self.archive.version,
            self.floor.version or 0,
            self.witness.get_highest(),
        )
        reply = self.witness.answer(request, known)
        await self.watcher.add_head(reply, request.uptime_ms)
        return reply


class Fleet:
    """Some models, the network between them and the store.

    Attributes:
        now: Time in seconds.
        configuration: The store.
        network: Calls between the models.
        models: The processes that run now, by number.
        highest: The highest version that ever ran, by number.
    """

    def __init__(self, size: int):
        self.now = 1000.0
        self.configuration = builders.FakeConfiguration()
        self.network = member_builders.FakeNetwork()
        self.models: dict[int, Model] = {}
        self.highest: dict[int, int] = {}
        self._incarnation = 0
        self._version = 0
        for number in range(1, size + 1):
            self.start(number)

    def get_time(self) -> float:
        """Returns the time of the test."""
        return self.now

    async def accept(self) -> None:
        """Accepts the next version, unless the store is down."""
        if not self.configuration.down:
            self._version += 1
            await self.configuration.accept(self._version, ["balie"])

    def start(self, number: int) -> None:
        """Starts a process, at the address of an earlier one or anew."""
        self._incarnation += 1
        self.models[number] = Model(self, number, self._incarnation)
        for one in self.models.values():
            for other in self.models.values():
                if one is not other:
                    one.table.merge(other.table.local_member)

    def kill(self, number: int) -> None:
        """Ends a process; others find out that it is dead."""
        model = self.models.pop(number)
        del self.network.handlers[model.id]
        for other in self.models.values():
            other.table.set_state(model.id, control_pb2.DEAD)

    async def step(self, number: int) -> int:
        """Lets one process work; returns the version that it runs."""
        model = self.models[number]
        await model.step()
        running = model.holder.version
        self.highest[number] = max(self.highest.get(number, 0), running)
        return running

    async def settle(self) -> None:
        """Spreads everything, then lets more time pass than is remembered.

        This is what the memory of a witness relies on: in that time every
        version reaches every daemon and every mark is made again.
        """
        for model in self.models.values():
            if not self.configuration.down:
                await model.watcher.refresh()
        for _ in range(2):
            for one in self.models.values():
                for other in self.models.values():
                    if one.archive.newest is not None:
                        other.hold(one.archive.newest)
            for number in self.models:
                await self.step(number)
        self.now += TIMING.min_witness_uptime_s + 1


async def read_store(model: Model) -> None:
    """Lets a process read the head, as a watcher does."""
    try:
        await model.watcher.refresh()
    except errors.MerlintrestleError:
        return
