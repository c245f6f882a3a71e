"""Long-lived message streams between neighbours."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from typing import Any, TYPE_CHECKING

import grpc.aio

from merlintrestle import supervision
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
# Maximum number of strikes remembered to avoid forwarding one twice.
_MAX_REMEMBERED_STRIKES = 10_000


class Link:
    """A stream with a peer, opened by either side.

    Attributes:
        peer_id: Id of the peer; empty until its first message.
        outgoing: Whether this daemon opened the link.
        outbox: Updates queued for the peer.
        peer_offer: Offer of the version that the peer is known to hold; None
            if its digest is unknown.
        silence_factor: Multiple of `Timing.silence_timeout_s` after which the
            link ends if its peer is silent.
        last_received_at: Monotonic time of the peer's last message, in seconds.
        is_writing: Whether a message is being sent.
        messages_written: Number of messages sent.
    """

    def __init__(self, peer_id: str, outgoing: bool, silence_factor: int = 1):
        self.peer_id = peer_id
        self.outgoing = outgoing
        self.silence_factor = silence_factor
        self.outbox = outbox.Outbox()
        self.peer_offer: control_pb2.Offer | None = None
        self.last_received_at = time.monotonic()
        self.is_writing = False
        self.messages_written = 0


class Links:
    """All links of this daemon.

    Attributes:
        on_message: Called with each link and the message received on it.
        on_open: Called with each link when its peer has sent its id.
        on_strike: Called with each new strike from a peer.
        get_offer: Returns the offer of the newest version held by this daemon,
            which every message contains; None if it holds none.
        extend_message: Callbacks that may add to each message before it is
            sent.
        last_received_at: Monotonic time of the last message from any peer, in
            seconds.
    """

    def __init__(self, table: table_lib.MemberTable, timing: timing_lib.Timing):
        self.on_message: list[
            Callable[[Link, control_pb2.LinkMessage], None]
        ] = []
        self.on_open: list[Callable[[Link], None]] = []
        self.on_strike: list[Callable[[control_pb2.Strike], None]] = []
        self.get_offer: Callable[[], control_pb2.Offer | None] = lambda: None
        self.extend_message: list[
            Callable[[control_pb2.LinkMessage], None]
        ] = []
        self.last_received_at = 0.0
        self._table = table
        self._timing = timing
        self._links: list[Link] = []
        # Expiry in ms since 1970, by request digest and crash id.
        self._remembered_strikes: dict[tuple[bytes, str], int] = {}

    def get_links(self) -> list[Link]:
        """Returns the links whose peer is known."""
        return [link for link in self._links if link.peer_id]

    def has_sent(self, peer_id: str, since: float) -> bool:
        """Returns whether a peer has sent a message since the given time.

        Args:
            peer_id: The peer.
            since: Monotonic time in seconds.
        """
        return any(
            link.peer_id == peer_id and link.last_received_at > since
            for link in self._links
        )

    def send_member(
        self, member: control_pb2.Member, exclude: Link | None = None
    ) -> None:
        """Queues a record on all links except `exclude`, its origin."""
        for link in self._links:
            if link is not exclude:
                link.outbox.add_member(member)

    def send_strike(self, strike: control_pb2.Strike) -> None:
        """Sends a strike to the fleet; each daemon forwards it once."""
        self._forward_strike(strike, None)

    def send_order(
        self, rollout: control_pb2.Rollout, exclude: Link | None = None
    ) -> None:
        """Queues a roll-out order on all links except `exclude`, its origin."""
        for link in self._links:
            if link is not exclude:
                link.outbox.add_order(rollout)

    def send_report(
        self, trial: control_pb2.Trial, exclude: Link | None = None
    ) -> None:
        """Queues a roll-out report on all links except `exclude`, its origin.

        Such a report is about one backend server; see `rollouts.observer`.
        """
        for link in self._links:
            if link is not exclude:
                link.outbox.add_report(trial)

    def send_offer(
        self,
        offer: control_pb2.Offer,
        build_delta: Callable[
            [control_pb2.Offer | None], document_pb2.Delta | None
        ],
    ) -> None:
        """Offers a version to the neighbours that are not known to hold it.

        Args:
            offer: The offered version.
            build_delta: Returns the delta from the version held by a peer, or
                None if only the offer should be sent. Its argument is None if
                that version is unknown.
        """
        for link in self._links:
            peer_offer = link.peer_offer
            if peer_offer is None or peer_offer.version < offer.version:
                delta = build_delta(peer_offer)
                link.outbox.set_delta(delta)
                if delta is not None:
                    # If the delta is lost, the next heartbeat still announces
                    # the version, and the peer's heartbeats report the version
                    # that it holds.
                    link.peer_offer = offer

    def send_now(self) -> None:
        """Sends a message on all links at once, with or without updates."""
        for link in self._links:
            link.outbox.request_message()

    def send_soon(self, exclude: Link | None = None) -> None:
        """Sends a message within `Timing.flush_delay_s` on all other links."""
        for link in self._links:
            if link is not exclude:
                link.outbox.request_batched_message()

    async def flush(self, timeout_s: float) -> bool:
        """Waits until all queued updates have been sent.

        When a daemon stops, its links end and gRPC discards messages that the
        peer has not read yet. Therefore this waits for `Timing.flush_delay_s`
        after the last message was sent.

        Args:
            timeout_s: Maximum wait in seconds, as a neighbour may be silent.

        Returns:
            Whether a neighbour was sent all updates.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while any(map(_has_unsent, self._links)):
                    await asyncio.sleep(self._timing.flush_delay_s / 4)
                await asyncio.sleep(self._timing.flush_delay_s)
        return not all(map(_has_unsent, self._links))

    async def run_link(
        self,
        link: Link,
        read: Callable[[], Any],
        write: Callable[[Any], Any],
    ) -> None:
        """Serves a link until either side ends it or makes no progress.

        Args:
            link: The link.
            read: Returns the next message or `grpc.aio.EOF`.
            write: Sends a message.

        Raises:
            TimeoutError: The peer was silent or stopped reading.
            peers.PeerError: The channel was closed.
            grpc.aio.AioRpcError: The stream failed.
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
                    # gRPC cancels the streams of a closed channel. Propagated,
                    # the cancellation would end the task that reopens the link.
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
            self.last_received_at = link.last_received_at = time.monotonic()
            accounting.count_received(_KIND, message)
            if message.sender:
                link.peer_id = message.sender
                for callback in self.on_open:
                    callback(link)
            try:
                self._handle(link, message)
            except MemoryError:
                raise
            except Exception as error:
                # The messages of this peer and of all others go on.
                supervision.record_failure("link message", error)

    def _update_peer_offer(self, link: Link, offer: control_pb2.Offer) -> None:
        """Records the version that a peer reports in a message.

        An offer without a digest repeats the version of the previous offer (see
        `_add_offer`). If it has another version, the digest is unknown.
        """
        if offer.digest:
            link.peer_offer = offer
        elif link.peer_offer and link.peer_offer.version != offer.version:
            link.peer_offer = None

    def _handle(self, link: Link, message: control_pb2.LinkMessage) -> None:
        self._update_peer_offer(link, message.offer)
        for member in message.members:
            link.outbox.drop_known(member)
        for callback in self.on_message:
            callback(link, message)
        for strike in message.strikes:
            if self._forward_strike(strike, link):
                for on_strike in self.on_strike:
                    on_strike(strike)

    def _forward_strike(
        self, strike: control_pb2.Strike, exclude: Link | None
    ) -> bool:
        """Forwards a strike unless it is known or has expired.

        Returns:
            Whether the strike was forwarded.
        """
        key = (strike.request_digest, strike.crash_id)
        if (
            key in self._remembered_strikes
            or len(self._remembered_strikes) >= _MAX_REMEMBERED_STRIKES
        ):
            self._prune_strikes()
        now_ms = time.time_ns() // 10**6
        if key in self._remembered_strikes or strike.until_ms <= now_ms:
            return False
        self._remembered_strikes[key] = strike.until_ms
        for link in self._links:
            if link is not exclude:
                link.outbox.add_strike(strike)
        return True

    def _prune_strikes(self) -> None:
        """Removes expired strikes, and the oldest ones above the maximum."""
        now_ms = time.time_ns() // 10**6
        unexpired = [
            item
            for item in self._remembered_strikes.items()
            if item[1] > now_ms
        ]
        self._remembered_strikes = dict(unexpired[-_MAX_REMEMBERED_STRIKES:])

    async def _send(self, link: Link, write: Callable[[Any], Any]) -> None:
        sender = self._table.local_id
        sent_version = 0
        while True:
            message = link.outbox.pop_message()
            message.sender = sender
            message.members_digest = self._table.digest
            # Only the first message contains the sender.
            sender = ""
            sent_version = self._add_offer(message, sent_version)
            for extend in self.extend_message:
                extend(message)
            accounting.count_sent(_KIND, message)
            link.is_writing = True
            await _write(link, message, write)
            link.is_writing = False
            link.messages_written += 1
            await self._wait_for_update(link)

    def _add_offer(
        self, message: control_pb2.LinkMessage, sent_version: int
    ) -> int:
        """Adds the offer of the newest version to a message.

        Every message contains the offer, so that a peer that missed a delta
        learns of the version from the next heartbeat. A repeated offer omits
        the digest; an empty digest means that the version is unchanged.

        Args:
            message: The message.
            sent_version: Version of the previous offer on the link; 0 if none.

        Returns:
            The version of the last offer on the link.
        """
        offer = self.get_offer()
        if offer is None:
            return sent_version
        message.offer.CopyFrom(offer)
        if offer.version == sent_version:
            message.offer.ClearField("digest")
        return offer.version

    async def _wait_for_update(self, link: Link) -> None:
        """Waits until the next heartbeat is due or updates should be sent.

        After an update is queued, further updates are batched for
        `Timing.flush_delay_s` unless one of them is urgent.
        """
        wait_s = timing_lib.jitter(self._timing.heartbeat_interval_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await link.outbox.pending_event.wait()
            async with asyncio.timeout(self._timing.flush_delay_s):
                await link.outbox.urgent_event.wait()

    async def _watch_progress(self, link: Link) -> None:
        """Ends a link whose peer is silent or has stopped reading.

        A NAT device or firewall may drop the state of a connection without
        notifying either end. The connection then stays open and delivers
        nothing. Silence despite heartbeats suggests such a connection but does
        not prove it, because the peer may only be busy. Therefore
        `Membership._keep_link` reopens the link with a longer silence timeout,
        and the calls that use the channel continue.

        The timeout counts ticks, the iterations of this loop, instead of using
        the clock, so that a daemon that was paused first reads the messages
        that arrived during the pause. With the clock, it would end all its
        links, and the calls that use them, before it had read these messages.
        Reopening the links would delay it further, without end.

        Raises:
            TimeoutError: No progress for `silence_factor` times the silence
                timeout.
        """
        tick_s = self._timing.heartbeat_interval_s / 2
        max_ticks = math.ceil(
            link.silence_factor * self._timing.silence_timeout_s / tick_s
        )
        silent_ticks = stalled_ticks = 0
        while max(silent_ticks, stalled_ticks) < max_ticks:
            received_at, written = link.last_received_at, link.messages_written
            await asyncio.sleep(tick_s)
            received = link.last_received_at != received_at
            progressed = not link.is_writing or link.messages_written != written
            silent_ticks = 0 if received else silent_ticks + 1
            stalled_ticks = 0 if progressed else stalled_ticks + 1
        problem = (
            "silent" if silent_ticks >= max_ticks else "taking nothing more"
        )
        raise TimeoutError(f"{link.peer_id} is {problem}")


async def _write(
    link: Link,
    message: control_pb2.LinkMessage,
    write: Callable[[Any], Any],
) -> None:
    """Sends a message.

    Raises:
        peers.PeerError: The stream has ended. As the end was not read yet, gRPC
            raises `InvalidStateError`; propagated, it would end the task that
            reopens the link, and the neighbour would be lost for good.
    """
    try:
        await write(message)
    except asyncio.InvalidStateError as error:
        raise peers.PeerError(f"link to {link.peer_id} has ended") from error


def _has_unsent(link: Link) -> bool:
    return link.is_writing or link.outbox.pending_event.is_set()
