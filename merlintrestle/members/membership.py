"""Membership: finding the fleet, keeping links, and telling who failed."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import grpc.aio
import mode

from merlintrestle import events as event_logs
from merlintrestle.members import anti_entropy
from merlintrestle.members import links as links_lib
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import rendezvous
from merlintrestle.members import selection
from merlintrestle.members import suspicion
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from merlintrestle.store import client

events = event_logs.EventLog("members")

NEIGHBOURS = 4

# Name under which who opens a link says how patient both ends are with it.
_PATIENCE_KEY = "patience"
_MOST_PATIENCE = 8
_LINK_ERRORS = (grpc.aio.AioRpcError, peers_lib.PeerError, TimeoutError)


class Membership(mode.Service):
    """Keeps this daemon in touch with the fleet.

    Attributes:
        table: All members known.
        links: The links to neighbours, and those that others opened.
        peers: Channels for single calls.
        anti_entropy: Compares the table with other daemons.
        timing: Intervals.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        store: client.StoreClient | None,
        seeds: Sequence[str] = (),
        timing: timing_lib.Timing | None = None,
    ):
        """Sets up the parts.

        Args:
            table: The table; this daemon is in it.
            store: Gives first contact where no seed does.
            seeds: Control addresses of daemons to contact first.
            timing: Intervals.
        """
        super().__init__()
        self.table = table
        self.timing = timing or timing_lib.Timing()
        self.links = links_lib.Links(table, self.timing)
        self.peers = peers_lib.PeerClient()
        self.anti_entropy = anti_entropy.AntiEntropy(
            table, self.peers, store, seeds, self.timing
        )
        self._judge = suspicion.Judge(
            table, self.peers, self.links, self.timing
        )
        key = rendezvous.build_neighbours_key(table.local_id)
        self._choice = selection.MemberSelection(table, key, NEIGHBOURS)
        self._neighbours: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._source: links_lib.Link | None = None
        self.links.on_message.append(self._receive)
        self.links.on_open.append(self._greet)
        table.on_change.append(self._spread)

    async def on_start(self) -> None:
        """Begins with no neighbours; tasks find them."""
        self._changed.set()

    async def on_stop(self) -> None:
        """Ends all links of this daemon."""
        for task in self._neighbours.values():
            task.cancel()
        await asyncio.gather(*self._neighbours.values(), return_exceptions=True)
        await self.peers.close()

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Waits for the first answer of another daemon; False: none came."""
        return await self.anti_entropy.wait_for_contact(timeout_s)

    def is_isolated(self) -> bool:
        """Tells whether no peer has said anything for a while.

        A daemon that is cut from its peers, or whose zone has just lost its
        watchers, hears of no version but from the store.
        """
        heard_at = self.links.heard_at
        silent_s = time.monotonic() - heard_at
        return (
            bool(heard_at) and silent_s > 2 * self.timing.heartbeat_interval_s
        )

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Contacts daemons that the table does not have yet."""
        await self.anti_entropy.contact_unknown(addresses)

    async def contact_stored_seeds(self) -> None:
        """Contacts daemons that the store names and the table does not."""
        await self.anti_entropy.find_others()

    async def serve_link(self, stream: grpc.aio.ServicerContext) -> None:
        """Serves a link that a peer opened, until it ends."""
        patience = _read_patience(stream.invocation_metadata())
        link = links_lib.Link("", outgoing=False, patience=patience)
        try:
            await self.links.run_link(link, stream.read, stream.write)
        except _LINK_ERRORS as error:
            events.note("link from lost", member=link.peer_id, error=str(error))
        finally:
            # gRPC cancels this coroutine when the connection breaks.
            if link.peer_id and not self.should_stop:
                self._judge.check_soon(link.peer_id)

    async def probe(self, member_id: str) -> bool:
        """Reaches a member on behalf of another daemon."""
        return await self._judge.reach(member_id)

    def answer_members(
        self, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        """Takes in and gives members by bucket."""
        return self.anti_entropy.answer(request)

    @mode.Service.task
    async def _choose_neighbours(self) -> None:
        # Looked at before each wait as well: `sleep` may return for the stop
        # and swallow the cancellation that comes with it.
        while not self.should_stop:
            await self._changed.wait()
            if self.should_stop:
                # News that come while the links are being ended would open
                # one that nobody ends; over it this daemon would go on saying
                # that it is alive.
                return
            self._changed.clear()
            self._update_neighbours()
            await self.sleep(self.timing.flush_delay_s)

    @mode.Service.task
    async def _watch_states(self) -> None:
        tick = self.timing.heartbeat_interval_s / 2
        while not self.should_stop:
            before = time.monotonic()
            await self.sleep(tick)
            elapsed = time.monotonic() - before
            self.peers.note_lateness(max(0.0, elapsed - tick))
            self._judge.tick(elapsed, tick)

    @mode.Service.task
    async def _join(self) -> None:
        await self.anti_entropy.join()

    @mode.Service.task
    async def _exchange_members(self) -> None:
        while not self.should_stop:
            await self.sleep(
                timing_lib.jitter(self.timing.anti_entropy_interval_s)
            )
            member_id = await self.anti_entropy.run_round()
            if member_id is not None:
                self._judge.check_soon(member_id)
            self.table.forget_gone()
            await self.peers.trim()

    def _update_neighbours(self) -> None:
        wanted = self._choice.get()
        for member_id in set(self._neighbours) - set(wanted):
            self._neighbours.pop(member_id).cancel()
        for member_id in wanted:
            if member_id not in self._neighbours:
                self._neighbours[member_id] = asyncio.create_task(
                    self._keep_link(member_id)
                )

    async def _keep_link(self, member_id: str) -> None:
        """Keeps one link open while the peer is a neighbour."""
        backoff = timing_lib.Backoff(
            self.timing.reconnect_delay_s, self.timing.max_reconnect_delay_s
        )
        patience = 1
        while True:
            began = time.monotonic()
            link = links_lib.Link(member_id, outgoing=True, patience=patience)
            try:
                await self._run_outgoing(link)
            except _LINK_ERRORS as error:
                events.note("link to lost", member=member_id, error=str(error))
                if isinstance(error, TimeoutError):
                    patience = min(2 * patience, _MOST_PATIENCE)
            if link.heard_at - began > self.timing.silence_timeout_s:
                patience = max(1, patience // 2)
            if time.monotonic() - began > self.timing.silence_timeout_s:
                backoff.reset()
            self._judge.check_soon(member_id)
            await asyncio.sleep(backoff.get_next_delay())

    async def _run_outgoing(self, link: links_lib.Link) -> None:
        channel = peers_lib.open_channel(link.peer_id)
        stream = control_pb2_grpc.ControlStub(channel).Link(
            metadata=((_PATIENCE_KEY, str(link.patience)),)
        )
        self.peers.lend(link.peer_id, channel, lambda: link.heard_at)
        try:
            await self.links.run_link(link, stream.read, stream.write)
        finally:
            stream.cancel()
            self.peers.retire(link.peer_id, channel)

    def _greet(self, link: links_lib.Link) -> None:
        """Tells a peer about itself and this daemon when a link opens.

        A peer that was held for dead learns it from here and refutes.
        """
        events.note("link open", member=link.peer_id, outgoing=link.outgoing)
        link.outbox.add_member(self.table.local_member)
        held = self.table.get(link.peer_id)
        if held is not None:
            link.outbox.add_member(held)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        self._source = link
        try:
            for member in message.members:
                self.table.merge(member)
        finally:
            self._source = None
        if message.members_digest != self.table.digest:
            self.anti_entropy.note_difference(link.peer_id)

    def _spread(self, member: control_pb2.Member) -> None:
        """Passes a record on to the neighbours, and chooses them anew."""
        besides = None if member.id == self.table.local_id else self._source
        self.links.send_member(member, besides)
        self._changed.set()


def _read_patience(metadata: Iterable[tuple[str, str | bytes]]) -> int:
    """Returns how patient a peer wants a link of its own to be treated."""
    for key, value in metadata:
        if key == _PATIENCE_KEY and str(value).isdecimal():
            return max(1, min(int(value), _MOST_PATIENCE))
    return 1
