"""Distribution: from the head in the store to the running snapshot."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import deltas
from merlintrestle.versions import floor as floor_lib
from merlintrestle.versions import holder as holder_lib
from merlintrestle.versions import marks as marks_lib
from merlintrestle.versions import watcher as watcher_lib

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import document_pb2
    from merlintrestle.versions import source as source_lib

logger = logging.getLogger(__name__)

FAST = "fast"
LEAN = "lean"


class Distribution(mode.Service):
    """Brings every accepted version to this daemon, and passes it on.

    Attributes:
        holder: What the proxy runs.
        archive: The newest versions held.
        witness: Marks of other daemons.
    """

    def __init__(
        self,
        holder: holder_lib.Holder,
        membership: membership_lib.Membership,
        source: source_lib.Source,
        spread: str = FAST,
    ):
        """Sets up the parts.

        Args:
            holder: Takes what this service decides to run.
            membership: Gives table, links, peers and intervals.
            source: The store's configuration.
            spread: `FAST` pushes deltas, `LEAN` offers alone.
        """
        super().__init__()
        self.holder = holder
        self.archive = archive_lib.Archive()
        self.witness = marks_lib.Witness()
        self._membership = membership
        self._timing = membership.timing
        self._spread = spread
        self._marker = marks_lib.Marker(
            membership.table, membership.peers, self._timing
        )
        self._watcher = watcher_lib.Watcher(membership, source, self.hold)
        self._floor = floor_lib.Floor(membership, self._marker, self._watcher)
        self._wanted: dict[str, control_pb2.Offer] = {}
        self._wake_fetch = asyncio.Event()
        self._wake_run = asyncio.Event()
        membership.links.on_message.append(self._receive)
        membership.links.get_offer = self.archive.get_offer

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the store by this daemon succeeded."""
        return self._watcher.store_reachable

    def hold(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Keeps a checked snapshot, passes it on and prepares to run it."""
        if not self.archive.add(snapshot):
            return
        logger.info("versions: hold version %d", snapshot.version)
        self._membership.links.send_offer(
            deltas.make_offer(snapshot), self._choose_delta
        )
        self._wake_run.set()

    def answer_floor(
        self, request: control_pb2.FloorRequest
    ) -> control_pb2.FloorReply:
        """Says what this daemon knows of versions another one ran."""
        known = max(self.archive.version, self._floor.version or 0)
        return self.witness.answer(request, known)

    @mode.Service.task
    async def _watch(self) -> None:
        await self._watcher.run()

    @mode.Service.task
    async def _run_versions(self) -> None:
        """Takes the newest version into use once it may be run."""
        self.holder.closed_reason = holder_lib.NO_FLOOR
        await self._floor.learn()
        while not self.should_stop:
            await self._run_newest()
            await self._wait_for_work()

    @mode.Service.task
    async def _fetch_versions(self) -> None:
        while not self.should_stop:
            await self._wake_fetch.wait()
            self._wake_fetch.clear()
            await self._fetch_wanted()

    async def _run_newest(self) -> None:
        """Marks the newest version, then runs it.

        The mark comes first: a daemon that restarts right after it ran a
        version must find someone who knows that it did.
        """
        newest = self.archive.newest
        floor = self._floor.version or 0
        if newest is None or newest.version < floor:
            self._explain_closed(floor)
            return
        if not await self._marker.mark(newest.version):
            return
        if self.holder.take(newest):
            logger.info("versions: run version %d", newest.version)
        self.holder.closed_reason = ""
        self.witness.open()

    def _explain_closed(self, floor: int) -> None:
        if self.holder.running is not None:
            return
        if floor == 0:
            self.holder.closed_reason = holder_lib.NO_VERSION
        else:
            self.holder.closed_reason = f"version {floor} has not arrived yet"

    async def _wait_for_work(self) -> None:
        """Waits for a new version, or for the time to look at the marks."""
        try:
            async with asyncio.timeout(
                timing_lib.jitter(self._timing.heartbeat)
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
        return self.archive.get_delta(held)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        if message.offer.version <= self.archive.version:
            return
        newest = self.archive.newest
        if message.HasField("delta") and newest is not None:
            try:
                self.hold(deltas.apply_delta(newest, message.delta))
                return
            except errors.SnapshotError as error:
                logger.info("versions: delta of %s: %s", link.peer_id, error)
        self._wanted[link.peer_id] = message.offer
        self._wake_fetch.set()

    async def _fetch_wanted(self) -> None:
        """Fetches from the peers that offered, the newest offer first."""
        while self._wanted:
            peer_id = max(
                self._wanted, key=lambda name: self._wanted[name].version
            )
            offer = self._wanted.pop(peer_id)
            if offer.version <= self.archive.version:
                continue
            for whole in (False, True):
                if await self._fetch(peer_id, whole):
                    break

    async def _fetch(self, peer_id: str, whole: bool) -> bool:
        """Fetches from one peer; False if asking for the whole may help."""
        request = control_pb2.FetchRequest(whole=whole)
        offer = self.archive.get_offer()
        if offer is not None:
            request.held.CopyFrom(offer)
        try:
            reply = await self._membership.peers.call(
                peer_id, "Fetch", request, self._timing.fetch
            )
        except peers_lib.PeerError as error:
            logger.info("versions: not fetched: %s", error)
            return True
        try:
            self._take_reply(reply)
        except errors.SnapshotError as error:
            logger.warning("versions: fetch from %s: %s", peer_id, error)
            return False
        return True

    def _take_reply(self, reply: control_pb2.FetchReply) -> None:
        if reply.HasField("snapshot"):
            self.hold(
                deltas.unpack_snapshot(reply.snapshot, reply.offer.digest)
            )
        elif reply.HasField("delta"):
            newest = self.archive.newest
            if newest is None:
                raise errors.SnapshotError("delta without a base")
            self.hold(deltas.apply_delta(newest, reply.delta))
