"""Distribution: from the head in the store to the running snapshot."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import timing as timing_lib
from merlintrestle.versions import active_version as holder_lib
from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import deltas
from merlintrestle.versions import fetcher as fetcher_lib
from merlintrestle.versions import floor as floor_lib
from merlintrestle.versions import marks as marks_lib
from merlintrestle.versions import watcher as watcher_lib

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import document_pb2
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")

FAST = "fast"
LEAN = "lean"
# A larger delta is offered and fetched: a push goes to each neighbour, most of
# whom already have it, and holds up the heartbeats behind it.
_MAX_PUSH_BYTES = 64 * 1024


class Distribution(mode.Service):
    """Brings every accepted version to this daemon, and passes it on.

    Attributes:
        active_version: What the proxy runs.
        archive: The newest versions held.
        witness: Marks of other daemons.
        watcher: Reads the store while this daemon is chosen to.
    """

    def __init__(
        self,
        holder: holder_lib.ActiveVersion,
        membership: membership_lib.Membership,
        source: source_lib.Source,
        spread: str = FAST,
        witnessed: bool = True,
        watch_directly: bool = False,
    ):
        """Sets up the parts.

        Args:
            holder: Takes what this service decides to run.
            membership: Gives table, links, peers and intervals.
            source: The store's configuration.
            spread: `FAST` pushes deltas, `LEAN` offers alone.
            witnessed: Whether versions are recorded by other daemons before
                they run, and the floor is asked of these at the start.
            watch_directly: Whether to ask the store before meeting a peer.
        """
        super().__init__()
        self.active_version = holder
        self.archive = archive_lib.Archive()
        self.witness = marks_lib.Witness(membership.table)
        self._membership = membership
        self._timing = membership.timing
        self._spread = spread
        self._witnessed = witnessed
        self._marker = marks_lib.Marker(
            membership.table, membership.peers, self._timing
        )
        self.watcher = watcher_lib.Watcher(
            membership, source, self.hold, directly=watch_directly
        )
        self._floor = floor_lib.Floor(membership, self._marker, self.watcher)
        self._fetcher = fetcher_lib.Fetcher(
            self.archive, membership.peers, self._timing, self.hold
        )
        self._wake_run = asyncio.Event()
        self._read_at = 0.0
        membership.links.on_message.append(self._receive)
        membership.links.get_offer = self.archive.get_offer

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the store by this daemon succeeded."""
        return self.watcher.store_reachable

    def hold(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Keeps a checked snapshot, passes it on and prepares to run it."""
        if not self.archive.add(snapshot):
            return
        events.note("version held", version=snapshot.version)
        self._membership.links.send_offer(
            deltas.make_offer(snapshot), self._choose_delta
        )
        self._wake_run.set()

    def hold_from_operator(self, request: control_pb2.HoldRequest) -> bool:
        """Holds a version that an operator hands over; False: it is not whole.

        The store may fail as it accepts a head, before any watcher hears of
        it. The operator has been told "accepted", and without this the
        version would wait for the store to come back.
        """
        try:
            snapshot = deltas.unpack_snapshot(
                request.snapshot, request.offer.digest
            )
        except errors.SnapshotError as error:
            events.warn("version handed over refused", error=str(error))
            return False
        self.hold(snapshot)
        return True

    async def answer_floor(
        self, request: control_pb2.FloorRequest
    ) -> control_pb2.FloorReply:
        """Says what this daemon knows of versions another one ran."""
        known = max(
            self.archive.version,
            self._floor.version or 0,
            self.witness.get_highest(),
        )
        reply = self.witness.answer(request, known)
        await self.watcher.add_head(reply, request.uptime_ms)
        return reply

    async def on_stop(self) -> None:
        """Ends the calls under way."""
        await self._marker.close()

    @mode.Service.task
    async def _watch(self) -> None:
        await self.watcher.run()

    @mode.Service.task
    async def _run_versions(self) -> None:
        """Takes the newest version into use once it may be run."""
        self.active_version.closed_reason = holder_lib.NO_FLOOR
        if self._witnessed:
            await self._floor.learn()
        self._read_at = time.monotonic() + timing_lib.jitter(
            self._timing.store_fallback_delay_s
        )
        while not self.should_stop:
            await self._run_newest()
            await self._wait_for_work()

    @mode.Service.task
    async def _fetch_versions(self) -> None:
        await self._fetcher.run()

    async def _run_newest(self) -> None:
        """Marks the newest version, then runs it.

        The mark comes first: a daemon that restarts right after it ran a
        version must find someone who knows that it did. Running versions are
        marked again with witnesses that are new or were restarted.
        """
        newest = self.archive.newest
        floor = self._floor.version or 0
        if newest is None or newest.version < floor:
            self._explain_closed(floor)
            if floor:
                await self._read_missing()
            return
        if self._witnessed and not await self._marker.mark(newest.version):
            events.note("too few witnesses", version=newest.version)
            return
        if self.active_version.activate(newest):
            events.note("version runs", version=newest.version)
        self.active_version.closed_reason = ""
        self.witness.open()

    def _explain_closed(self, floor: int) -> None:
        if self.active_version.running is not None:
            return
        if floor == 0:
            self.active_version.closed_reason = holder_lib.NO_VERSION
        else:
            self.active_version.closed_reason = (
                f"version {floor} has not arrived yet"
            )

    async def _read_missing(self) -> None:
        """Reads the missing version from the store where no peer has it."""
        if time.monotonic() < self._read_at:
            return
        self._read_at = time.monotonic() + timing_lib.jitter(
            self._timing.head_refresh_interval_s
        )
        try:
            await self.watcher.refresh()
        except errors.MerlintrestleError as error:
            events.note("store gave nothing", error=str(error))

    async def _wait_for_work(self) -> None:
        """Waits for a new version, or for the time to look at the marks."""
        try:
            async with asyncio.timeout(
                timing_lib.jitter(self._timing.heartbeat_interval_s)
            ):
                await self._wake_run.wait()
        except TimeoutError:
            return
        self._wake_run.clear()

    def _choose_delta(
        self, held: control_pb2.Offer | None
    ) -> document_pb2.Delta | None:
        if self._spread == LEAN:
            return None
        delta = self.archive.get_delta(held)
        if delta is None or delta.ByteSize() > _MAX_PUSH_BYTES:
            return None
        return delta

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        version = message.offer.version
        if version <= self.archive.version:
            return
        if message.HasField("delta") and self._apply(message.delta):
            return
        self._fetcher.note_offer(link.peer_id, version)

    def _apply(self, delta: document_pb2.Delta) -> bool:
        """Holds what a pushed delta leads to; False: it must be fetched."""
        base = self.archive.get(delta.base_version)
        try:
            self.hold(deltas.apply_delta(base, delta))
        except errors.SnapshotError as error:
            events.note(
                "delta refused", version=delta.version, error=str(error)
            )
            return False
        return True
