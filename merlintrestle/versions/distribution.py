"""Distribution of versions from the store to the active snapshot."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.members import timing as timing_lib
from merlintrestle.versions import active_version as active_version_lib
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
    from merlintrestle.versions import freshness as freshness_lib
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")

# What a daemon pushes to its neighbours when it receives a new version.
PUSH_DELTAS = "fast"
PUSH_OFFERS = "lean"
# Larger deltas are only offered, and fetched on demand: a push goes to every
# neighbour, most of which already have it, and delays the heartbeats behind it.
_MAX_PUSH_BYTES = 64 * 1024


class Distribution(mode.Service):
    """Obtains and activates new versions, and passes them on to peers.

    Attributes:
        active_version: The snapshot that the proxy uses.
        archive: The newest snapshots of this daemon.
        witness: Keeps the marks of other daemons.
        watcher: Watches the store while this daemon is a watcher.
    """

    def __init__(
        self,
        active_version: active_version_lib.ActiveVersion,
        membership: membership_lib.Membership,
        source: source_lib.ConfigurationSource,
        spread: str = PUSH_DELTAS,
        use_witnesses: bool = True,
        read_before_contact: bool = False,
        freshness: freshness_lib.Freshness | None = None,
    ):
        """Creates the components.

        Args:
            active_version: Activates the versions that may run.
            membership: Provides the table, links, peers and intervals.
            source: The configuration in the store.
            spread: `PUSH_DELTAS` pushes new versions to peers as deltas;
                `PUSH_OFFERS` pushes only offers, and peers fetch the versions.
            use_witnesses: Whether other daemons record each version before it
                runs, and are queried for the floor at startup.
            read_before_contact: Whether to read the store before the first
                contact with a peer.
            freshness: Records what reads of the store prove; None if nobody
                needs it.
        """
        super().__init__()
        self.active_version = active_version
        self.archive = archive_lib.Archive()
        self.witness = marks_lib.Witness(membership.table)
        self._membership = membership
        self._timing = membership.timing
        self._spread = spread
        self._use_witnesses = use_witnesses
        self._marker = marks_lib.Marker(
            membership.table, membership.peers, self._timing
        )
        self.watcher = watcher_lib.Watcher(
            membership,
            source,
            self.add_snapshot,
            read_before_contact=read_before_contact,
            freshness=freshness,
        )
        self._floor_resolver = floor_lib.FloorResolver(
            membership, self._marker, self.watcher
        )
        self._fetcher = fetcher_lib.Fetcher(
            self.archive, membership.peers, self._timing, self.add_snapshot
        )
        self._new_version = asyncio.Event()
        self._next_read_at = 0.0
        membership.links.on_message.append(self._handle_message)
        membership.links.get_offer = self.archive.get_offer

    @property
    def store_reachable(self) -> bool:
        """Whether the last call of this daemon to the store succeeded."""
        return self.watcher.store_reachable

    def add_snapshot(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Archives a checked snapshot, offers it and starts its activation."""
        if not self.archive.add(snapshot):
            return
        events.note("version held", version=snapshot.version)
        self._membership.links.send_offer(
            deltas.build_offer(snapshot), self._choose_delta
        )
        self._new_version.set()

    def hold_from_operator(self, request: control_pb2.HoldRequest) -> bool:
        """Adds a snapshot sent by an operator; returns False if it is invalid.

        The store may fail right after it accepted a head, before any watcher
        receives it. The operator's command has already reported the change as
        accepted; without this call the version would not run until the store
        recovers.
        """
        try:
            snapshot = deltas.load_snapshot_message(
                request.snapshot, request.offer.digest
            )
        except errors.SnapshotError as error:
            events.warn("version handed over refused", error=str(error))
            return False
        self.add_snapshot(snapshot)
        return True

    async def answer_floor(
        self, request: control_pb2.FloorRequest
    ) -> control_pb2.FloorReply:
        """Answers a starting daemon that determines its floor."""
        highest_known = max(
            self.archive.version,
            self._floor_resolver.floor or 0,
            self.witness.get_highest_version(),
        )
        reply = self.witness.answer_floor(request, highest_known)
        await self.watcher.add_head(reply, request.uptime_ms)
        return reply

    async def on_stop(self) -> None:
        """Cancels the calls in flight."""
        await self._marker.close()
        await self.watcher.close()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _watch(self) -> None:
        await self.watcher.run()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _activate_versions(self) -> None:
        """Resolves the floor, then activates each new version that may run."""
        if self.active_version.active_snapshot is None:
            self.active_version.closed_reason = active_version_lib.NO_FLOOR
        if self._use_witnesses and self._floor_resolver.floor is None:
            await self._floor_resolver.resolve()
        self._next_read_at = time.monotonic() + timing_lib.jitter(
            self._timing.store_fallback_delay_s
        )
        while not self.should_stop:
            await self._activate_newest()
            await self._wait_for_version_or_check()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _fetch_versions(self) -> None:
        await self._fetcher.run()

    async def _activate_newest(self) -> None:
        """Records the newest version with the witnesses, then activates it.

        It is recorded first: a daemon that restarts right after it ran a
        version must find a witness that knows of it. The active version is
        recorded again with witnesses that are new or were restarted. While the
        newest version is below the floor, the missing version is read from the
        store instead.
        """
        newest = self.archive.newest
        floor = self._floor_resolver.floor or 0
        if newest is None or newest.version < floor:
            self._update_closed_reason(floor)
            if floor:
                await self._read_missing_version()
            return
        if self._use_witnesses and not await self._marker.mark(newest.version):
            events.note("too few witnesses", version=newest.version)
            return
        if self.active_version.activate(newest):
            events.note("version runs", version=newest.version)
        self.active_version.closed_reason = ""
        self.witness.set_open()

    def _update_closed_reason(self, floor: int) -> None:
        """Sets why the daemon is closed, unless a version is active."""
        if self.active_version.active_snapshot is not None:
            return
        if floor == 0:
            self.active_version.closed_reason = active_version_lib.NO_VERSION
        else:
            self.active_version.closed_reason = (
                f"version {floor} has not arrived yet"
            )

    async def _read_missing_version(self) -> None:
        """Reads the head and its version if no peer delivers the version."""
        if time.monotonic() < self._next_read_at:
            return
        self._next_read_at = time.monotonic() + timing_lib.jitter(
            self._timing.head_refresh_interval_s
        )
        try:
            await self.watcher.read_and_compile_head()
        except errors.MerlintrestleError as error:
            events.note("store gave nothing", error=str(error))

    async def _wait_for_version_or_check(self) -> None:
        """Waits for a new version or until the witnesses are checked again."""
        try:
            async with asyncio.timeout(
                timing_lib.jitter(self._timing.heartbeat_interval_s)
            ):
                await self._new_version.wait()
        except TimeoutError:
            return
        self._new_version.clear()

    def _choose_delta(
        self, peer_offer: control_pb2.Offer | None
    ) -> document_pb2.Delta | None:
        """Returns the delta to push to a peer; None to push only the offer."""
        if self._spread == PUSH_OFFERS:
            return None
        delta = self.archive.get_delta(peer_offer)
        if delta is None or delta.ByteSize() > _MAX_PUSH_BYTES:
            return None
        return delta

    def _handle_message(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        version = message.offer.version
        if version <= self.archive.version:
            return
        if message.HasField("delta") and self._apply_delta(message.delta):
            return
        self._fetcher.add_offer(link.peer_id, version)

    def _apply_delta(self, delta: document_pb2.Delta) -> bool:
        """Applies a pushed delta; returns False if a fetch is needed."""
        base = self.archive.get(delta.base_version)
        try:
            self.add_snapshot(deltas.apply_delta(base, delta))
        except errors.SnapshotError as error:
            events.note(
                "delta refused", version=delta.version, error=str(error)
            )
            return False
        return True
