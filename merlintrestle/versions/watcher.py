"""Watchers: the few daemons of a zone that watch the head in the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.versions import discovery as meeting_lib
from merlintrestle.versions import watcher_selection as turns_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import document_pb2
    from merlintrestle.store import client
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")

# Watchers whose reads of the head are enough for a whole fleet: what one reads
# is everywhere within some tenths of a second, and the store counts each call.
_READERS = 3


class Watcher:
    """Watches the head while this daemon is chosen to.

    There is no lease. Two watchers too many cost two watches; one that was
    frozen and does not know it compiles versions which are no news.

    Attributes:
        selection: Which daemons watch, and whether this one does.
        store_reachable: Whether the last call to the store succeeded.
        on_orders: Called with the orders of roll-outs that the store has.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        source: source_lib.Source,
        hold: Callable[[snapshot_lib.Snapshot], None],
        clock: Callable[[], float] = time.monotonic,
        directly: bool = False,
    ):
        """Connects the parts.

        Args:
            membership: Members.
            source: The store's configuration.
            hold: Takes each version that was compiled.
            clock: Monotonic time in seconds.
            directly: Whether to read the head before a peer was met.
        """
        self._directly = directly
        self.on_orders: list[
            Callable[[Sequence[client.Entry]], Awaitable[None]]
        ] = []
        self.store_reachable = False
        self._lost_at: float | None = None
        self._membership = membership
        self._timing = membership.timing
        self._source = source
        self._hold = hold
        self._clock = clock
        self._handled = 0
        self._head = 0
        self._head_at: float | None = None
        self._reading = asyncio.Lock()
        self.selection = turns_lib.WatcherSelection(membership, clock)
        self._meeting = meeting_lib.PeerDiscovery(membership, source, clock)

    async def run(self) -> None:
        """Watches while chosen, for ever."""
        backoff = timing_lib.Backoff(0.1, self._timing.max_watch_retry_delay_s)
        if self._directly:
            await self._read_first()
        await self._membership.wait_for_contact(self._timing.join_timeout_s)
        await self._meeting.meet_herd()
        while True:
            if not self.selection.is_watcher():
                await asyncio.sleep(
                    timing_lib.jitter(self._timing.watcher_settling_time_s)
                )
                continue
            began = self._clock()
            try:
                await self._watch()
            except errors.MerlintrestleError as error:
                self._note_store(False)
                events.warn("store lost", error=str(error))
                if self._clock() - began > self._timing.head_refresh_interval_s:
                    backoff.reset()
                await asyncio.sleep(backoff.get_next_delay())

    async def _read_first(self) -> None:
        """Reads the head until it is known, here or from a peer.

        A store that has no version yet answers at once, so success needs a
        pause as well, and a long one: nothing can be served before a version
        is there, and by then most have met a peer and need not ask at all.
        With short ones, a fleet of hundreds that starts as a whole would put
        most of its calls to the store in its first second.
        """
        backoff = timing_lib.Backoff(
            self._timing.first_read_retry_delay_s,
            self._timing.max_watch_retry_delay_s,
        )
        while not self._handled and not self._membership.links.get_links():
            wait_s = timing_lib.jitter(self._timing.max_watch_retry_delay_s)
            try:
                if await self.refresh():
                    return
            except errors.MerlintrestleError as error:
                events.warn("store silent", error=str(error))
                wait_s = backoff.get_next_delay()
            await asyncio.sleep(wait_s)

    def get_refresh_s(self) -> float:
        """Returns the mean time between two reads of the head, in seconds.

        Watchers share the reads, so that they do not grow with the number of
        zones: with one a second each, three zones made 300 of the 640 calls of
        a calm minute. One that hears of no peer reads for itself alone.
        """
        refresh_s = self._timing.head_refresh_interval_s
        if self._membership.is_isolated():
            return refresh_s
        zones = {
            member.zone
            for member in self._membership.table.list_members()
            if not table_lib.is_gone(member)
        }
        return refresh_s * max(
            1.0, len(zones) * turns_lib.WATCHERS_PER_ZONE / _READERS
        )

    async def refresh(self) -> int:
        """Reads the head and compiles it if it is news; returns its version.

        Raises:
            errors.MerlintrestleError: The store did not answer.
        """
        began = self._clock()
        try:
            head = await self._source.read_head()
        except errors.StoreError:
            self._note_store(False)
            raise
        self._note_store(True)
        self._head = head.version
        self._head_at = began
        await self._compile(head)
        await self._take_orders()
        return head.version

    async def _take_orders(self) -> None:
        """Takes in the orders of roll-outs; the version waits for none.

        Raises:
            errors.StoreError: The store did not answer.
        """
        orders = await self._source.read_orders()
        for take in self.on_orders:
            await take(orders)

    async def add_head(
        self, reply: control_pb2.FloorReply, uptime_ms: int
    ) -> None:
        """Adds the head to an answer, if this daemon is a watcher.

        One read serves all daemons that began before it, so a herd that
        restarts costs the store no more reads than its watchers allow.
        """
        if not self.selection.is_watcher():
            return
        try:
            async with asyncio.timeout(self._timing.call_timeout_s / 2):
                await self._read_since(uptime_ms / 1000)
        except (TimeoutError, errors.MerlintrestleError):
            return
        if self._head_at is not None:
            reply.head_read = True
            reply.head_version = self._head
            age_s = self._clock() - self._head_at
            reply.head_age_ms = int(1000 * age_s) + 1

    async def _read_since(self, age_s: float) -> None:
        """Reads the head unless the last read is younger than an age."""
        asked_at = self._clock()
        async with self._reading:
            if self._head_at is None or asked_at - self._head_at > age_s:
                await self._wait_for_budget()
                await self.refresh()

    async def _wait_for_budget(self) -> None:
        """Keeps reads on behalf of others apart by a flush interval."""
        if self._head_at is not None:
            age_s = self._clock() - self._head_at
            await asyncio.sleep(max(0.0, self._timing.flush_delay_s - age_s))

    async def _watch(self) -> None:
        """Watches until no longer chosen; the head is re-read meanwhile.

        A watch whose connection went silent delivers nothing and does not
        end, and neither does one that the store has stopped to tell of changes
        before it drops its history. The read has a deadline and finds that out.
        A read comes first: begun beside it, the watch would read the same.
        """
        await self.refresh()
        watching = asyncio.create_task(self._follow())
        refresh_at = self._clock() + timing_lib.jitter(self.get_refresh_s())
        try:
            await self._meeting.name_seeds()
            while self.selection.is_watcher():
                if self._clock() >= refresh_at:
                    await self.refresh()
                    await self._meeting.name_seeds()
                    refresh_at = self._clock() + timing_lib.jitter(
                        self.get_refresh_s()
                    )
                left_s = refresh_at - self._clock()
                done, _ = await asyncio.wait(
                    (watching,),
                    timeout=max(
                        0.0, min(left_s, self._timing.heartbeat_interval_s)
                    ),
                )
                if done:
                    return watching.result()
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

    async def _follow(self) -> None:
        async for head in self._source.watch_head():
            self._note_store(True)
            await self._compile(head)

    def _note_store(self, reachable: bool) -> None:
        """Notes whether a call to the store succeeded; logs its return."""
        if reachable and not self.store_reachable:
            lost_s = None
            if self._lost_at is not None:
                lost_s = round(self._clock() - self._lost_at, 1)
            events.note("store reached", lost_s=lost_s)
        if not reachable and (self.store_reachable or self._lost_at is None):
            self._lost_at = self._clock()
        self.store_reachable = reachable

    async def _compile(self, head: document_pb2.Head) -> None:
        """Compiles a head that is news; one that fails is refused whole."""
        if head.version <= self._handled:
            return
        try:
            snapshot = await self._source.compile_head(head)
        except errors.SnapshotError as error:
            events.fail(
                "version refused", version=head.version, error=str(error)
            )
            self._handled = max(self._handled, head.version)
            return
        self._handled = max(self._handled, head.version)
        self._hold(snapshot)
