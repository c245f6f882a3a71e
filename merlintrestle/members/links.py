"""Links: long-lived streams between neighbours."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from typing import Any, TYPE_CHECKING

import grpc.aio

from merlintrestle.members import accounting
from merlintrestle.members import outbox
from merlintrestle.members import peers
from merlintrestle.members import timing as timing_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import table as table_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import document_pb2

_KIND = "Link"
# Strikes remembered so that none goes round for ever.
_MAX_STRIKES = 10_000


class Link:
    """One stream with one peer, opened by either side.

    Attributes:
        peer_id: Id of the peer; empty until its first message.
        outgoing: True if this daemon opened it.
        outbox: What the peer is to be told.
        peer_offer: The newest version that the peer is known to hold.
        patience: Times `Timing.silence` that it may be silent.
        heard_at: Monotonic time of its last message, in seconds.
        writing: True while a message is being sent.
        written: Messages sent.
    """

    def __init__(self, peer_id: str, outgoing: bool, patience: int = 1):
        self.peer_id = peer_id
        self.outgoing = outgoing
        self.patience = patience
        self.outbox = outbox.Outbox()
        self.peer_offer: control_pb2.Offer | None = None
        self.heard_at = time.monotonic()
        self.writing = False
        self.written = 0


class Links:
    """All links of this daemon.

    Attributes:
        on_message: Called with each message and its link.
        on_open: Called with a link whose peer has become known.
        on_strike: Called with each strike that a peer sends.
        get_offer: Returns the newest version held, for heartbeats.
        heard_at: Monotonic time of the last message of any peer, in seconds.
    """

    def __init__(self, table: table_lib.MemberTable, timing: timing_lib.Timing):
        self.on_message: list[
            Callable[[Link, control_pb2.LinkMessage], None]
        ] = []
        self.on_open: list[Callable[[Link], None]] = []
        self.on_strike: list[Callable[[control_pb2.Strike], None]] = []
        self.get_offer: Callable[[], control_pb2.Offer | None] = lambda: None
        self.heard_at = 0.0
        self._table = table
        self._timing = timing
        self._links: list[Link] = []
        self._strikes: dict[tuple[bytes, str], int] = {}

    def get_links(self) -> list[Link]:
        """Returns the links whose peer has been heard."""
        return [link for link in self._links if link.peer_id]

    def is_heard(self, peer_id: str, since: float) -> bool:
        """Tells whether a peer was heard after a monotonic time in seconds."""
        return any(
            link.peer_id == peer_id and link.heard_at > since
            for link in self._links
        )

    def send_member(
        self, member: control_pb2.Member, besides: Link | None = None
    ) -> None:
        """Tells every neighbour of a record, but the one it came from."""
        for link in self._links:
            if link is not besides:
                link.outbox.add_member(member)

    def send_strike(self, strike: control_pb2.Strike) -> None:
        """Tells the fleet of a strike; each daemon passes it on once."""
        self._spread_strike(strike, None)

    def send_rollout(
        self, rollout: control_pb2.Rollout, besides: Link | None = None
    ) -> None:
        """Tells every neighbour of a roll-out, but the one it came from."""
        for link in self._links:
            if link is not besides:
                link.outbox.add_rollout(rollout)

    def send_trial(
        self, trial: control_pb2.Trial, besides: Link | None = None
    ) -> None:
        """Tells every neighbour what was seen, but the one it came from."""
        for link in self._links:
            if link is not besides:
                link.outbox.add_trial(trial)

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
                delta = make_delta(held)
                link.outbox.set_delta(delta)
                if delta is not None:
                    # If the delta is lost the peer hears of the version by
                    # heartbeat, and says what it holds in its own.
                    link.peer_offer = offer

    async def flush(self, limit_s: float) -> None:
        """Waits until all neighbours were sent what they are to be told.

        A daemon that ends cuts its links, and gRPC drops what the other side
        has not read yet; so it lets one more interval pass.

        Args:
            limit_s: Longest wait, in seconds; a neighbour may be silent.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while any(map(_has_work, self._links)):
                    await asyncio.sleep(self._timing.flush_delay_s / 4)
                await asyncio.sleep(self._timing.flush_delay_s)

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
            peers.PeerError: The channel was closed.
            grpc.aio.AioRpcError: The stream broke.
        """
        self._links.append(link)
        tasks = (
            asyncio.create_task(self._send(link, write)),
            asyncio.create_task(self._receive(link, read)),
            asyncio.create_task(self._watch_progress(link)),
        )
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.cancelled():
                    # gRPC does this to a stream whose channel is closed; let
                    # through, it would end the task that keeps the link.
                    raise peers.PeerError(f"link to {link.peer_id} dropped")
                task.result()
        finally:
            self._links.remove(link)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive(self, link: Link, read: Callable[[], Any]) -> None:
        while True:
            message = await read()
            if message is grpc.aio.EOF:
                return
            self.heard_at = link.heard_at = time.monotonic()
            accounting.count_received(_KIND, message)
            if message.sender:
                link.peer_id = message.sender
                for notify in self.on_open:
                    notify(link)
            self._handle(link, message)

    def _note_offer(self, link: Link, offer: control_pb2.Offer) -> None:
        if offer.digest:
            link.peer_offer = offer
        elif link.peer_offer and link.peer_offer.version != offer.version:
            link.peer_offer = None

    def _handle(self, link: Link, message: control_pb2.LinkMessage) -> None:
        self._note_offer(link, message.offer)
        for member in message.members:
            link.outbox.drop_known(member)
        for notify in self.on_message:
            notify(link, message)
        for strike in message.strikes:
            if self._spread_strike(strike, link):
                for receive in self.on_strike:
                    receive(strike)

    def _spread_strike(
        self, strike: control_pb2.Strike, besides: Link | None
    ) -> bool:
        """Passes a strike on once; False if it was seen before."""
        key = (strike.request_digest, strike.crash_id)
        if key in self._strikes or len(self._strikes) >= _MAX_STRIKES:
            self._forget_strikes()
        now_ms = time.time_ns() // 10**6
        if key in self._strikes or strike.until_ms <= now_ms:
            return False
        self._strikes[key] = strike.until_ms
        for link in self._links:
            if link is not besides:
                link.outbox.add_strike(strike)
        return True

    def _forget_strikes(self) -> None:
        now_ms = time.time_ns() // 10**6
        kept = [item for item in self._strikes.items() if item[1] > now_ms]
        self._strikes = dict(kept[-_MAX_STRIKES:])

    async def _send(self, link: Link, write: Callable[[Any], Any]) -> None:
        sender = self._table.local_id
        told = 0
        while True:
            message = link.outbox.take_message()
            message.sender = sender
            message.members_digest = self._table.digest
            sender = ""
            told = self._fill_offer(message, told)
            accounting.count_sent(_KIND, message)
            link.writing = True
            await _write(link, message, write)
            link.writing = False
            link.written += 1
            await self._wait_for_work(link)

    def _fill_offer(self, message: control_pb2.LinkMessage, told: int) -> int:
        """Puts the newest offer into a message; returns its version.

        The offer in every heartbeat makes up for pushes that were lost.
        """
        offer = self.get_offer()
        if offer is None:
            return told
        message.offer.CopyFrom(offer)
        if offer.version == told:
            message.offer.ClearField("digest")
        return offer.version

    async def _wait_for_work(self, link: Link) -> None:
        """Waits until the next heartbeat is due or something is to be told."""
        wait = timing_lib.jitter(self._timing.heartbeat_interval_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await link.outbox.filled.wait()
            async with asyncio.timeout(self._timing.flush_delay_s):
                await link.outbox.urgent.wait()

    async def _watch_progress(self, link: Link) -> None:
        """Gives up a link whose peer says nothing or takes nothing more.

        A connection that something between the two ends has lost track of
        stays open for ever and delivers nothing. Silence in spite of
        heartbeats makes that likely and proves nothing: the peer may be as
        busy as this daemon. So the link is opened anew and the next one may be
        silent for longer, and calls over this one go on.

        What counts is rounds of this loop, however late they come. By the
        clock, a daemon that stood still would give up all its links before it
        has read what they brought, with the calls they carry. To open them
        anew is work that makes it later still, and it would never end. In as
        many rounds of the loop what had arrived is read.

        Raises:
            TimeoutError: No progress for `Timing.silence`, times the patience.
        """
        tick = self._timing.heartbeat_interval_s / 2
        rounds = math.ceil(
            link.patience * self._timing.silence_timeout_s / tick
        )
        unheard = unwritten = 0
        while max(unheard, unwritten) < rounds:
            heard_at, written = link.heard_at, link.written
            await asyncio.sleep(tick)
            heard = link.heard_at != heard_at
            wrote = not link.writing or link.written != written
            unheard = 0 if heard else unheard + 1
            unwritten = 0 if wrote else unwritten + 1
        fault = "silent" if unheard >= rounds else "taking nothing more"
        raise TimeoutError(f"{link.peer_id} is {fault}")


async def _write(
    link: Link,
    message: control_pb2.LinkMessage,
    write: Callable[[Any], Any],
) -> None:
    """Sends one message.

    Raises:
        peers.PeerError: The stream has ended. gRPC raises the error of a wrong
            use, for the end was not read yet; let through, it would end the
            task that keeps the link, and the neighbour would be lost for good.
    """
    try:
        await write(message)
    except asyncio.InvalidStateError as error:
        raise peers.PeerError(f"link to {link.peer_id} has ended") from error


def _has_work(link: Link) -> bool:
    return link.writing or link.outbox.filled.is_set()
