"""Fetching versions from the peers that offer them."""

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

# Peers that are asked at once for one version.
_MAX_FETCHES = 3


class Fetcher:
    """Fetches what peers offer, the highest version first."""

    def __init__(
        self,
        archive: archive_lib.Archive,
        peers: peers_lib.PeerClient,
        timing: timing_lib.Timing,
        hold: Callable[[snapshot_lib.Snapshot], object],
    ):
        """Connects the parts.

        Args:
            archive: What this daemon holds.
            peers: Calls peers.
            timing: Intervals.
            hold: Takes each version that was fetched.
        """
        self._archive = archive
        self._peers = peers
        self._timing = timing
        self._hold = hold
        self._offers: dict[str, int] = {}
        self._wanted = 0
        self._came = False
        self._wake = asyncio.Event()

    def note_offer(self, peer_id: str, version: int) -> None:
        """Notes that a peer holds a version which this daemon lacks."""
        self._offers[peer_id] = version
        self._wake.set()

    async def run(self) -> None:
        """Fetches for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._fetch_offers()

    async def _fetch_offers(self) -> None:
        """Asks one peer after the other until no newer version is offered.

        A peer that takes long is not waited for alone: the next one is asked
        as well once nothing has come for the hedge time. A peer whose parts
        keep coming behind a thin link is: the bytes of a second one would make
        both take twice as long.
        """
        self._came = False
        fetches: set[asyncio.Task[None]] = set()
        try:
            while True:
                room = len(fetches) < _MAX_FETCHES and not self._came
                peer_id = self._take_best() if room else None
                self._came = False
                if peer_id is not None:
                    fetches.add(asyncio.create_task(self._fetch(peer_id)))
                if not fetches:
                    return
                done, fetches = await asyncio.wait(
                    fetches,
                    timeout=self._timing.hedge_delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not self._has_news():
                    return
                if done:
                    self._came = False
        finally:
            for fetch in fetches:
                fetch.cancel()
            await asyncio.gather(*fetches, return_exceptions=True)

    def _take_best(self) -> str | None:
        """Returns the peer with the highest offer that is still news."""
        self._offers = {
            peer_id: version
            for peer_id, version in self._offers.items()
            if version > self._archive.version
        }
        if not self._offers:
            return None
        peer_id = max(self._offers, key=lambda name: self._offers[name])
        self._wanted = self._offers.pop(peer_id)
        return peer_id

    def _has_news(self) -> bool:
        """Tells whether what is fetched or offered is still news."""
        highest = max([self._wanted, *self._offers.values()])
        return highest > self._archive.version

    async def _fetch(self, peer_id: str) -> None:
        """Fetches from one peer: a delta where it can be, else the whole."""
        if not await self._try_fetch(peer_id, whole=False):
            await self._try_fetch(peer_id, whole=True)

    async def _try_fetch(self, peer_id: str, whole: bool) -> bool:
        """Fetches from one peer; False if asking for the whole may help."""
        request = control_pb2.FetchRequest(whole=whole)
        offer = self._archive.get_offer()
        if offer is not None:
            request.held.CopyFrom(offer)
        try:
            reply = await self._peers.fetch(
                peer_id, request, self._timing.fetch_timeout_s, self._note_part
            )
        except peers_lib.PeerError as error:
            events.note("not fetched", member=peer_id, error=str(error))
            return True
        try:
            self._take(reply)
        except errors.SnapshotError as error:
            events.warn("fetch malformed", member=peer_id, error=str(error))
            return False
        return True

    def _note_part(self) -> None:
        self._came = True

    def _take(self, reply: control_pb2.FetchReply) -> None:
        if reply.HasField("snapshot"):
            digest = reply.offer.digest
            self._hold(deltas.unpack_snapshot(reply.snapshot, digest))
        elif reply.HasField("delta"):
            base = self._archive.get(reply.delta.base_version)
            self._hold(deltas.apply_delta(base, reply.delta))
