"""Membership service for first contact, links and failure detection."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import grpc.aio
import mode

from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.members import anti_entropy
from merlintrestle.members import failure_detection
from merlintrestle.members import links as links_lib
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import rendezvous
from merlintrestle.members import selection
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from merlintrestle.store import client

events = event_logs.EventLog("members")

# Number of members to which this daemon opens links.
NEIGHBOUR_COUNT = 4

# Metadata key that the daemon that opens a link uses to tell the peer the
# silence factor, so that both ends use the same one.
_SILENCE_FACTOR_KEY = "patience"
_MAX_SILENCE_FACTOR = 8
_LINK_ERRORS = (grpc.aio.AioRpcError, peers_lib.PeerError, TimeoutError)


class Membership(mode.Service):
    """Keeps this daemon connected to the fleet.

    Attributes:
        table: All known members.
        links: The links opened by this daemon and by other daemons.
        peers: Client for control calls.
        anti_entropy: Compares the table with other daemons.
        timing: Intervals and timeouts.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        store: client.StoreClient | None,
        seeds: Sequence[str] = (),
        timing: timing_lib.Timing | None = None,
    ):
        """Initializes the service.

        Args:
            table: The member table, with this daemon in it.
            store: Holds the stored seeds, for first contact if no configured
                seed answers; None if there is no store.
            seeds: Configured control addresses of daemons to contact first.
            timing: Intervals and timeouts.
        """
        super().__init__()
        self.table = table
        self.timing = timing or timing_lib.Timing()
        self.links = links_lib.Links(table, self.timing)
        self.peers = peers_lib.PeerClient()
        self.anti_entropy = anti_entropy.AntiEntropy(
            table, self.peers, store, seeds, self.timing
        )
        self._detector = failure_detection.FailureDetector(
            table, self.peers, self.links, self.timing
        )
        key = rendezvous.build_neighbours_key(table.local_id)
        self._selection = selection.MemberSelection(table, key, NEIGHBOUR_COUNT)
        # Tasks that keep the links to the neighbours open, by member id.
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._reselect_event = asyncio.Event()
        # Link whose message is being merged. Records are not sent back over it.
        self._source_link: links_lib.Link | None = None
        self.links.on_message.append(self._receive)
        self.links.on_open.append(self._send_initial_records)
        table.on_change.append(self._forward)

    async def on_start(self) -> None:
        """Triggers the first selection of neighbours."""
        self._reselect_event.set()

    async def on_stop(self) -> None:
        """Ends all links opened by this daemon and closes its channels."""
        for task in self._link_tasks.values():
            task.cancel()
        await asyncio.gather(*self._link_tasks.values(), return_exceptions=True)
        await self.peers.close()

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Waits for the end of the first contact; False after the timeout."""
        return await self.anti_entropy.wait_for_contact(timeout_s)

    def is_isolated(self) -> bool:
        """Returns whether all peers were silent for two heartbeat intervals.

        A daemon that is cut off from its peers can get new versions only from
        the store. The same holds for a daemon whose zone has just lost its
        watchers. Before the first message from any peer, the result is False.
        """
        last_received_at = self.links.last_received_at
        silent_s = time.monotonic() - last_received_at
        return (
            bool(last_received_at)
            and silent_s > 2 * self.timing.heartbeat_interval_s
        )

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Contacts daemons that are not in the table until one answers."""
        await self.anti_entropy.contact_unknown(addresses)

    async def contact_stored_seeds(self) -> None:
        """Contacts stored seeds not in the table until one answers."""
        await self.anti_entropy.contact_stored_seeds()

    async def serve_link(self, stream: grpc.aio.ServicerContext) -> None:
        """Serves a link opened by a peer until it ends."""
        silence_factor = _read_silence_factor(stream.invocation_metadata())
        link = links_lib.Link("", outgoing=False, silence_factor=silence_factor)
        try:
            await self.links.run_link(link, stream.read, stream.write)
        except _LINK_ERRORS as error:
            events.note("link from lost", member=link.peer_id, error=str(error))
        finally:
            # gRPC cancels this coroutine when the connection breaks.
            if link.peer_id and not self.should_stop:
                self._detector.start_check(link.peer_id)

    async def probe(self, member_id: str) -> bool:
        """Probes a member on behalf of another daemon."""
        return await self._detector.probe(member_id)

    def answer_members(
        self, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        """Answers a request for member records by bucket."""
        return self.anti_entropy.answer(request)

    @mode.Service.task
    @supervision.restart_on_failure
    async def _choose_neighbours(self) -> None:
        # `mode`'s `sleep` may return early on a stop and suppress the
        # `CancelledError`, so `should_stop` is checked before each wait.
        while not self.should_stop:
            await self._reselect_event.wait()
            if self.should_stop:
                # If a change arrives while `on_stop` ends the links, a link
                # opened now would never be ended. On it, this daemon would
                # still announce that it is alive.
                return
            self._reselect_event.clear()
            self._update_neighbours()
            # All changes during this time cause a single selection.
            await self.sleep(self.timing.flush_delay_s)

    @mode.Service.task
    @supervision.restart_on_failure
    async def _run_failure_detector(self) -> None:
        tick_s = self.timing.heartbeat_interval_s / 2
        while not self.should_stop:
            before = time.monotonic()
            await self.sleep(tick_s)
            elapsed_s = time.monotonic() - before
            self.peers.record_loop_lag(max(0.0, elapsed_s - tick_s))
            self._detector.tick(elapsed_s, tick_s)

    @mode.Service.task
    @supervision.restart_on_failure
    async def _join(self) -> None:
        await self.anti_entropy.join()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _exchange_members(self) -> None:
        while not self.should_stop:
            await self.sleep(
                timing_lib.jitter(self.timing.anti_entropy_interval_s)
            )
            member_id = await self.anti_entropy.run_round()
            if member_id is not None:
                self._detector.start_check(member_id)
            self.table.remove_gone()
            await self.peers.close_idle_channels()

    def _update_neighbours(self) -> None:
        selected_ids = self._selection.get()
        for member_id in set(self._link_tasks) - set(selected_ids):
            self._link_tasks.pop(member_id).cancel()
        for member_id in selected_ids:
            if member_id not in self._link_tasks:
                self._link_tasks[member_id] = asyncio.create_task(
                    self._keep_link(member_id)
                )

    async def _keep_link(self, member_id: str) -> None:
        """Keeps the link to a neighbour open until cancelled.

        A lost link is reopened after a backoff.
        """
        backoff = timing_lib.Backoff(
            self.timing.reconnect_delay_s, self.timing.max_reconnect_delay_s
        )
        silence_factor = 1
        while True:
            started_at = time.monotonic()
            link = links_lib.Link(
                member_id, outgoing=True, silence_factor=silence_factor
            )
            try:
                await self._run_outgoing_link(link)
            except MemoryError:
                raise
            except _LINK_ERRORS as error:
                events.note("link to lost", member=member_id, error=str(error))
                if isinstance(error, TimeoutError):
                    silence_factor = min(
                        2 * silence_factor, _MAX_SILENCE_FACTOR
                    )
            except Exception as error:
                supervision.record_failure("link", error)
            # The link worked for longer than the normal timeout, so the path
            # may not need the longer one any more.
            if (
                link.last_received_at - started_at
                > self.timing.silence_timeout_s
            ):
                silence_factor = max(1, silence_factor // 2)
            # An attempt that lasted this long needs no backoff to limit the
            # rate of attempts.
            if time.monotonic() - started_at > self.timing.silence_timeout_s:
                backoff.reset()
            self._detector.start_check(member_id)
            await asyncio.sleep(backoff.get_next_delay())

    async def _run_outgoing_link(self, link: links_lib.Link) -> None:
        channel = peers_lib.open_channel(link.peer_id)
        stream = control_pb2_grpc.ControlStub(channel).Link(
            metadata=((_SILENCE_FACTOR_KEY, str(link.silence_factor)),)
        )
        self.peers.share_channel(
            link.peer_id, channel, lambda: link.last_received_at
        )
        try:
            await self.links.run_link(link, stream.read, stream.write)
        finally:
            stream.cancel()
            self.peers.close_channel_after_calls(link.peer_id, channel)

    def _send_initial_records(self, link: links_lib.Link) -> None:
        """Sends the local record and the stored record of the peer.

        If this daemon considers the peer dead, the peer learns this from its
        stored record and refutes it.
        """
        events.note("link open", member=link.peer_id, outgoing=link.outgoing)
        link.outbox.add_member(self.table.local_member)
        peer_record = self.table.get(link.peer_id)
        if peer_record is not None:
            link.outbox.add_member(peer_record)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        self._source_link = link
        try:
            for member in message.members:
                self.table.merge(member)
        finally:
            self._source_link = None
        if message.members_digest != self.table.digest:
            self.anti_entropy.record_difference(link.peer_id)

    def _forward(self, member: control_pb2.Member) -> None:
        """Forwards a changed record and triggers a selection of neighbours."""
        exclude = (
            None if member.id == self.table.local_id else self._source_link
        )
        self.links.send_member(member, exclude)
        self._reselect_event.set()


def _read_silence_factor(metadata: Iterable[tuple[str, str | bytes]]) -> int:
    """Returns the silence factor set by a peer for a link that it opens."""
    for key, value in metadata:
        if key == _SILENCE_FACTOR_KEY:
            stated = decoding.parse_whole_number(str(value)) or 1
            return min(stated, _MAX_SILENCE_FACTOR)
    return 1
