"""Fetching of versions from the peers that offer them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import deltas

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import timing as timing_lib
    from merlintrestle.versions import archive as archive_lib

events = event_logs.EventLog("versions")

_MAX_CONCURRENT_FETCHES = 3


class Fetcher:
    """Fetches the versions that peers offer, the highest version first."""

    def __init__(
        self,
        archive: archive_lib.Archive,
        peers: peers_lib.PeerClient,
        timing: timing_lib.Timing,
        on_snapshot: Callable[[snapshot_lib.Snapshot], object],
    ):
        """Connects the components.

        Args:
            archive: Snapshots of this daemon.
            peers: Client for calls to peers.
            timing: Intervals.
            on_snapshot: Called with each snapshot that was fetched.
        """
        self._archive = archive
        self._peers = peers
        self._timing = timing
        self._on_snapshot = on_snapshot
        self._offers: dict[str, int] = {}
        self._requested_version = 0
        self._part_received = False
        self._offer_added = asyncio.Event()

    def add_offer(self, peer_id: str, version: int) -> None:
        """Adds the offer of a version that is not in the archive."""
        self._offers[peer_id] = version
        self._offer_added.set()

    async def run(self) -> None:
        """Fetches offered versions until cancelled."""
        while True:
            await self._offer_added.wait()
            self._offer_added.clear()
            await self._fetch_offers()

    async def _fetch_offers(self) -> None:
        """Fetches from peers in turn until no newer version is offered.

        Fetches are hedged: if nothing has arrived for the hedge delay, the
        next peer is called as well. A peer whose parts keep arriving over a
        slow link is not hedged, because the bytes of a second peer would make
        both fetches take twice as long.
        """
        self._part_received = False
        fetches: set[asyncio.Task[None]] = set()
        try:
            while True:
                may_start = (
                    len(fetches) < _MAX_CONCURRENT_FETCHES
                    and not self._part_received
                )
                peer_id = self._pop_highest_offer() if may_start else None
                self._part_received = False
                if peer_id is not None:
                    fetches.add(asyncio.create_task(self._fetch(peer_id)))
                if not fetches:
                    return
                done, fetches = await asyncio.wait(
                    fetches,
                    timeout=self._timing.hedge_delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not self._is_newer_available():
                    return
                if done:
                    self._part_received = False
        finally:
            for fetch in fetches:
                fetch.cancel()
            await asyncio.gather(*fetches, return_exceptions=True)

    def _pop_highest_offer(self) -> str | None:
        """Removes the highest offer that is newer and returns its peer."""
        self._offers = {
            peer_id: version
            for peer_id, version in self._offers.items()
            if version > self._archive.version
        }
        if not self._offers:
            return None
        peer_id = max(self._offers, key=lambda peer: self._offers[peer])
        self._requested_version = self._offers.pop(peer_id)
        return peer_id

    def _is_newer_available(self) -> bool:
        """Returns whether a requested or offered version is newer."""
        highest = max([self._requested_version, *self._offers.values()])
        return highest > self._archive.version

    async def _fetch(self, peer_id: str) -> None:
        """Fetches from a peer; after an invalid reply, the whole snapshot."""
        if not await self._try_fetch(peer_id, whole=False):
            await self._try_fetch(peer_id, whole=True)

    async def _try_fetch(self, peer_id: str, whole: bool) -> bool:
        """Fetches the newest version of a peer.

        Returns:
            False if the reply was invalid, so that the whole snapshot should
            be fetched; True if it was valid or the peer did not reply.
        """
        request = control_pb2.FetchRequest(whole=whole)
        offer = self._archive.get_offer()
        if offer is not None:
            request.held.CopyFrom(offer)
        try:
            reply = await self._peers.fetch(
                peer_id,
                request,
                self._timing.fetch_timeout_s,
                self._record_part,
            )
        except peers_lib.PeerError as error:
            events.note("not fetched", member=peer_id, error=str(error))
            return True
        try:
            self._handle_reply(reply)
        except errors.SnapshotError as error:
            events.warn("fetch malformed", member=peer_id, error=str(error))
            return False
        return True

    def _record_part(self) -> None:
        """Records that a part (`control_pb2.FetchPart`) has arrived."""
        self._part_received = True

    def _handle_reply(self, reply: control_pb2.FetchReply) -> None:
        if reply.HasField("snapshot"):
            digest = reply.offer.digest
            self._on_snapshot(
                deltas.load_snapshot_message(reply.snapshot, digest)
            )
        elif reply.HasField("delta"):
            base = self._archive.get(reply.delta.base_version)
            self._on_snapshot(deltas.apply_delta(base, reply.delta))
