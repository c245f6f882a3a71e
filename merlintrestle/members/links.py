"""Links: long-lived streams between neighbours."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, TYPE_CHECKING

import grpc.aio

from merlintrestle.members import accounting
from merlintrestle.members import outbox
from merlintrestle.members import timing as timing_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import table as table_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import document_pb2

logger = logging.getLogger(__name__)

_KIND = "Link"


class Link:
    """One stream with one peer, opened by either side.

    Attributes:
        peer_id: Id of the peer; empty until its first message.
        outgoing: True if this daemon opened it.
        box: What the peer is to be told.
        peer_offer: The newest version that the peer is known to hold.
        heard_at: Monotonic time of its last message, in seconds.
    """

    def __init__(self, peer_id: str, outgoing: bool):
        self.peer_id = peer_id
        self.outgoing = outgoing
        self.box = outbox.Outbox()
        self.peer_offer: control_pb2.Offer | None = None
        self.heard_at = time.monotonic()


class Links:
    """All links of this daemon.

    Attributes:
        on_message: Called with each message and its link.
        on_open: Called with a link whose peer has become known.
        on_strike: Called with each strike that a peer sends.
        get_offer: Returns the newest version held, for heartbeats.
    """

    def __init__(self, table: table_lib.MemberTable, timing: timing_lib.Timing):
        self.on_message: list[
            Callable[[Link, control_pb2.LinkMessage], None]
        ] = []
        self.on_open: list[Callable[[Link], None]] = []
        self.on_strike: list[Callable[[control_pb2.Strike], None]] = []
        self.get_offer: Callable[[], control_pb2.Offer | None] = lambda: None
        self._table = table
        self._timing = timing
        self._links: list[Link] = []

    def get_links(self) -> list[Link]:
        """Returns the links whose peer has been heard."""
        return [link for link in self._links if link.peer_id]

    def get_last_heard(self) -> float:
        """Returns the monotonic time at which any peer was last heard."""
        return max((link.heard_at for link in self._links), default=0.0)

    def forgive_silence(self, seconds: float) -> None:
        """Counts time in which this daemon was paused as no silence."""
        for link in self._links:
            link.heard_at += seconds

    def send_member(
        self, member: control_pb2.Member, besides: Link | None = None
    ) -> None:
        """Tells every neighbour of a record, but the one it came from."""
        for link in self._links:
            if link is not besides:
                link.box.add_member(member)

    def send_strike(
        self, strike: control_pb2.Strike, besides: Link | None = None
    ) -> None:
        """Tells every neighbour of a strike, but the one it came from."""
        for link in self._links:
            if link is not besides:
                link.box.add_strike(strike)

    def send_offer(
        self,
        offer: control_pb2.Offer,
        make_delta: Callable[
            [control_pb2.Offer | None], document_pb2.Delta | None
        ],
    ) -> None:
        """Offers a version to the neighbours not known to hold it.

        Args:
            offer: The version.
            make_delta: Returns the delta from what a peer holds, or None
                where the offer alone is to be sent.
        """
        for link in self._links:
            held = link.peer_offer
            if held is None or held.version < offer.version:
                link.box.set_offer(offer, make_delta(held))

    async def run_link(
        self,
        link: Link,
        read: Callable[[], Any],
        write: Callable[[Any], Any],
    ) -> None:
        """Serves one link until either side ends it or falls silent.

        Args:
            link: The link.
            read: Returns the next message or `grpc.aio.EOF`.
            write: Sends one message.

        Raises:
            TimeoutError: The peer was silent, or took nothing more.
            grpc.aio.AioRpcError: The stream broke.
        """
        self._links.append(link)
        sender = asyncio.create_task(self._send(link, write))
        receiver = asyncio.create_task(self._receive(link, read))
        try:
            done, _ = await asyncio.wait(
                (sender, receiver), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            self._links.remove(link)
            sender.cancel()
            receiver.cancel()
            await asyncio.gather(sender, receiver, return_exceptions=True)

    async def _receive(self, link: Link, read: Callable[[], Any]) -> None:
        while True:
            message = await self._read(link, read)
            if message is grpc.aio.EOF:
                return
            link.heard_at = time.monotonic()
            accounting.count_received(_KIND, message)
            if not link.peer_id or message.sequence == 1:
                link.peer_id = message.sender
                for notify in self.on_open:
                    notify(link)
            self._handle(link, message)

    async def _read(self, link: Link, read: Callable[[], Any]) -> Any:
        """Waits for a message; gives a silent link up.

        A connection that something between the two ends has lost track of
        stays open for ever and delivers nothing. Heartbeats make silence
        proof of that; the pause of this very process is forgiven.
        """
        reading = asyncio.ensure_future(read())
        try:
            while True:
                left = link.heard_at + self._timing.silence - time.monotonic()
                if left <= 0:
                    raise TimeoutError(f"{link.peer_id} is silent")
                done, _ = await asyncio.wait((reading,), timeout=left)
                if done:
                    return reading.result()
        finally:
            reading.cancel()

    def _handle(self, link: Link, message: control_pb2.LinkMessage) -> None:
        if message.HasField("offer"):
            link.peer_offer = message.offer
        for member in message.members:
            link.box.drop_known(member)
        for notify in self.on_message:
            notify(link, message)
        for strike in message.strikes:
            for receive in self.on_strike:
                receive(strike)

    async def _send(self, link: Link, write: Callable[[Any], Any]) -> None:
        sequence = 0
        while True:
            sequence += 1
            message = link.box.take_message()
            message.sequence = sequence
            if sequence == 1:
                message.sender = self._table.own_id
            self._fill_heartbeat(message)
            accounting.count_sent(_KIND, message)
            async with asyncio.timeout(self._timing.silence):
                await write(message)
            await self._wait_for_work(link)

    def _fill_heartbeat(self, message: control_pb2.LinkMessage) -> None:
        message.members_digest = self._table.digest
        if not message.HasField("offer"):
            offer = self.get_offer()
            if offer is not None:
                message.offer.CopyFrom(offer)

    async def _wait_for_work(self, link: Link) -> None:
        """Waits until the next heartbeat is due or something is to be told."""
        try:
            async with asyncio.timeout(
                timing_lib.jitter(self._timing.heartbeat)
            ):
                await link.box.filled.wait()
        except TimeoutError:
            return
        try:
            async with asyncio.timeout(self._timing.flush):
                await link.box.urgent.wait()
        except TimeoutError:
            return
