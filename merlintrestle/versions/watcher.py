"""Watching of the head in the store by a few daemons of each zone."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import prometheus_client

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import discovery as discovery_lib
from merlintrestle.versions import freshness as freshness_lib
from merlintrestle.versions import store_reads as store_reads_lib
from merlintrestle.versions import watcher_selection as watcher_selection_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import document_pb2
    from merlintrestle.store import client
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")

# All watchers together read as often as this many watchers would at the full
# rate. A version that one of them reads reaches the whole fleet within some
# tenths of a second, and the store counts each call.
_FULL_RATE_WATCHERS = 3
# Minimum time between the starts of two reads that prove freshness, in seconds,
# whoever asks for them.
_MIN_PROOF_READ_INTERVAL_S = 0.7
# The same after a failed call to the store. A watcher also retries by itself.
_FAILED_PROOF_READ_INTERVAL_S = 1.5
# Factor of the delay before a watcher's retry while other daemons try as well,
# so that all of them together call the store no more often than the watchers
# alone would.
_SHARED_ATTEMPTS_FACTOR = 2

_refused_counter = prometheus_client.Counter(
    "merlintrestle_versions_refused",
    "Confirmed versions that this daemon read and cannot use.",
)


class Watcher:
    """Watches the head while this daemon is selected as a watcher.

    Watchers are selected without a lease, so for a while there can be too many
    of them, or one that was paused without noticing it. This is harmless: each
    additional watcher costs only a watch, and a paused one compiles old
    versions, which no daemon activates.

    Attributes:
        selection: Selects the daemons that watch.
        store_reachable: Whether the last call to the store succeeded.
        on_orders: Callbacks that receive the roll-out orders in the store.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        source: source_lib.ConfigurationSource,
        on_snapshot: Callable[[snapshot_lib.Snapshot], None],
        get_time: Callable[[], float] = time.monotonic,
        read_before_contact: bool = False,
        freshness: freshness_lib.Freshness | None = None,
    ):
        """Connects the components.

        Args:
            membership: Members, links, peers and intervals.
            source: The configuration in the store.
            on_snapshot: Called with each snapshot that was compiled.
            get_time: Monotonic time in seconds.
            read_before_contact: Whether to read the head before the first
                contact with a peer.
            freshness: Records what the reads prove; None if nobody needs it.
        """
        self._freshness = freshness or freshness_lib.Freshness(
            0.0, active_version_lib.ActiveVersion()
        )
        self._proof_read: asyncio.Task[None] | None = None
        self._next_proof_read_at = 0.0
        # The newest version that was compiled, and the newest that was refused.
        self._compiled_version = 0
        self._refused_version = 0
        self._read_before_contact = read_before_contact
        self.on_orders: list[
            Callable[[Sequence[client.Entry]], Awaitable[None]]
        ] = []
        self.store_reachable = False
        self._store_lost_at: float | None = None
        self._membership = membership
        self._timing = membership.timing
        self._source = source
        self._on_snapshot = on_snapshot
        self._get_time = get_time
        self._handled_version = 0
        self._head_version = 0
        self._head_read_at: float | None = None
        self._read_lock = asyncio.Lock()
        self._store_reads = store_reads_lib.StoreReads(
            membership.links, membership.timing, get_time
        )
        self.selection = watcher_selection_lib.WatcherSelection(
            membership, self._store_reads, get_time
        )
        self._discovery = discovery_lib.PeerDiscovery(
            membership, source, get_time
        )

    async def run(self) -> None:
        """Watches while this daemon is a watcher, until cancelled."""
        backoff = timing_lib.Backoff(0.1, self._timing.max_watch_retry_delay_s)
        if self._read_before_contact:
            await self._read_first_version()
        await self._membership.wait_for_contact(self._timing.join_timeout_s)
        await self._discovery.contact_peers()
        while True:
            if not self.selection.is_watcher():
                await self._wait_for_selection()
                continue
            started_at = self._get_time()
            try:
                await self._watch()
            except errors.MerlintrestleError as error:
                self._record_store_call(False)
                self.selection.failover.end()
                events.warn("store lost", error=str(error))
                if self._has_watched(started_at):
                    backoff.reset()
                delay_s = backoff.get_next_delay()
                if self.selection.failover.shares_attempts():
                    delay_s *= _SHARED_ATTEMPTS_FACTOR
                await asyncio.sleep(delay_s)

    def _has_watched(self, started_at: float) -> bool:
        """Returns whether a watch that failed had worked for a while.

        An attempt that only waited for an answer has not, however long it took.
        """
        return (
            self._head_read_at is not None
            and self._head_read_at >= started_at
            and self._get_time() - started_at
            > self._timing.head_refresh_interval_s
        )

    async def _wait_for_selection(self) -> None:
        """Waits for a while, or until this daemon may take over the watch."""
        failover = self.selection.failover
        wait_s = timing_lib.jitter(self._timing.watcher_settling_time_s)
        takeover_s = failover.get_delay()
        if takeover_s > wait_s:
            await asyncio.sleep(wait_s)
            return
        await asyncio.sleep(max(0.0, takeover_s))
        # A daemon that was paused first handles the messages that tell it of
        # the reads meanwhile.
        await asyncio.sleep(self._timing.flush_delay_s)
        failover.begin()

    async def _read_first_version(self) -> None:
        """Reads the head until a version is known or a peer is linked.

        A store without a version answers at once, so a successful read is also
        followed by a delay. This delay is long: nothing can be served before
        there is a version, and after it most daemons have contacted a peer and
        need not read again. With short delays, a fleet of hundreds that starts
        at once would send most of its calls to the store in its first second.
        """
        backoff = timing_lib.Backoff(
            self._timing.first_read_retry_delay_s,
            self._timing.max_watch_retry_delay_s,
        )
        while (
            not self._handled_version and not self._membership.links.get_links()
        ):
            wait_s = timing_lib.jitter(self._timing.max_watch_retry_delay_s)
            try:
                if await self.read_and_compile_head():
                    return
            except errors.MerlintrestleError as error:
                events.warn("store silent", error=str(error))
                wait_s = backoff.get_next_delay()
            await asyncio.sleep(wait_s)

    def handle_new_era(self) -> None:
        """Handles that the store came back from a copy of its contents.

        Seeds that were written since the copy are gone. A daemon that starts
        would find no peer until they are checked, which is seldom.
        """
        self._discovery.forget_written()

    def get_refresh_interval_s(self) -> float:
        """Returns the mean time between two reads of the head, in seconds.

        Watchers share the reads, so that the load on the store does not grow
        with the number of zones: if each watcher read every second, those of
        three zones would make 300 of the 640 calls that the store gets in a
        minute without changes.
        An isolated watcher reads at the full rate, and so does one in place of
        the others.
        """
        refresh_s = self._timing.head_refresh_interval_s
        if (
            self._membership.is_isolated()
            or self.selection.failover.is_active()
        ):
            return refresh_s
        zones = {
            member.zone
            for member in self._membership.table.list_members()
            if not table_lib.is_gone(member)
        }
        return refresh_s * max(
            1.0,
            len(zones)
            * watcher_selection_lib.WATCHERS_PER_ZONE
            / _FULL_RATE_WATCHERS,
        )

    async def read_and_compile_head(self) -> int:
        """Reads the head and compiles it if it is new.

        Then reads the roll-out orders and passes them to `on_orders`.

        Returns:
            Its version; if that was refused, the newest compiled one.

        Raises:
            errors.MerlintrestleError: The store did not answer.
        """
        started_at = self._get_time()
        try:
            head = await self._source.read_head()
        except errors.StoreError:
            self._record_store_call(False)
            raise
        self._record_store_call(True)
        self._store_reads.record(started_at, self.selection.is_selected())
        self._head_version = head.version
        self._head_read_at = started_at
        proof = self._source.head_proof
        await self._compile(head)
        # A refused version counts, too: the keys that it took away must stop
        # working, although it changes nothing else.
        if proof is not None:
            self._freshness.record_read(*proof)
        await self._handle_orders()
        return self._get_usable_version(head.version)

    def _get_usable_version(self, version: int) -> int:
        """Returns the newest version up to one that this daemon can use.

        A daemon that starts must run at least this one. If it had to run one
        that was refused, it would serve nothing until the next version.
        """
        is_refused = version and version == self._refused_version
        return self._compiled_version if is_refused else version

    async def prove_freshness(self, max_age_s: float) -> None:
        """Reads the head if the proof of freshness is older than a maximum.

        A read in flight is shared by all who ask, and reads do not follow each
        other faster than at a minimum interval. So the proof may still be older
        afterwards.
        """
        if self._proof_read is None:
            now = self._freshness.get_time()
            proof = self._freshness.get_newest_proof()
            if proof is not None and now - proof.time <= max_age_s:
                return
            if now < self._next_proof_read_at:
                return
            self._next_proof_read_at = now + _MIN_PROOF_READ_INTERVAL_S
            self._proof_read = asyncio.create_task(self._read_for_proof())
        # A caller that is cancelled does not end the read of the others.
        await asyncio.shield(self._proof_read)

    async def _read_for_proof(self) -> None:
        try:
            await self.read_and_compile_head()
        except errors.MerlintrestleError as error:
            events.note("no proof of freshness", error=str(error))
            self._next_proof_read_at = (
                self._freshness.get_time()
                + timing_lib.jitter(_FAILED_PROOF_READ_INTERVAL_S)
            )
        finally:
            self._proof_read = None

    async def close(self) -> None:
        """Cancels a read in flight that others wait for."""
        if self._proof_read is not None:
            self._proof_read.cancel()
            await asyncio.gather(self._proof_read, return_exceptions=True)

    async def _handle_orders(self) -> None:
        """Reads the roll-out orders and passes them to `on_orders`.

        This follows the compilation, so that it does not delay the version.

        Raises:
            errors.StoreError: The store did not answer.
        """
        orders = await self._source.read_orders()
        for handle in self.on_orders:
            try:
                await handle(orders)
            except (errors.MerlintrestleError, MemoryError):
                raise
            except Exception as error:
                # The versions are followed, whatever is wrong with an order.
                supervision.record_failure("orders", error)

    async def add_head(
        self, reply: control_pb2.FloorReply, uptime_ms: int
    ) -> None:
        """Adds the head's version and age to a reply if this is a watcher.

        One read serves all daemons that started before it, and successive
        reads are at least `flush_delay_s` apart, so a mass restart causes only
        a few reads of the store.

        Args:
            reply: The reply to a daemon that is starting.
            uptime_ms: How long ago that daemon started, in ms.
        """
        if not self.selection.is_watcher():
            return
        try:
            # Half of the caller's timeout, so that the reply still arrives.
            async with asyncio.timeout(self._timing.call_timeout_s / 2):
                await self._read_if_older(uptime_ms / 1000)
        except (TimeoutError, errors.MerlintrestleError):
            return
        if self._head_read_at is not None:
            reply.head_read = True
            reply.head_version = self._get_usable_version(self._head_version)
            age_s = self._get_time() - self._head_read_at
            # Rounded up, so that the head never seems newer than it is.
            reply.head_age_ms = int(1000 * age_s) + 1

    async def _read_if_older(self, age_s: float) -> None:
        """Reads the head if the last read began more than `age_s` ago."""
        called_at = self._get_time()
        async with self._read_lock:
            if (
                self._head_read_at is None
                or called_at - self._head_read_at > age_s
            ):
                await self._wait_between_reads()
                await self.read_and_compile_head()

    async def _wait_between_reads(self) -> None:
        """Waits until the last read of the head is `flush_delay_s` old.

        This separates reads on behalf of other daemons by the delay with which
        member updates are batched.
        """
        if self._head_read_at is not None:
            age_s = self._get_time() - self._head_read_at
            await asyncio.sleep(max(0.0, self._timing.flush_delay_s - age_s))

    async def _watch(self) -> None:
        """Watches while selected, and also reads the head at intervals.

        A watch whose connection went silent delivers nothing and does not
        end. A store that is about to drop its history may also stop sending
        changes on an open watch without ending it. The read has a timeout and
        detects both. The first read precedes the watch; if they were started
        at the same time, both would transfer the same value.
        """
        await self.read_and_compile_head()
        if not self.selection.is_watcher():
            return None
        watch = asyncio.create_task(self._follow_head())
        refresh_at = self._get_time() + timing_lib.jitter(
            self.get_refresh_interval_s()
        )
        try:
            await self._discovery.update_seeds()
            while self.selection.is_watcher():
                if self._get_time() >= refresh_at:
                    if not self._was_read_for_proof():
                        await self.read_and_compile_head()
                    await self._discovery.update_seeds()
                    refresh_at = self._get_time() + timing_lib.jitter(
                        self.get_refresh_interval_s()
                    )
                remaining_s = refresh_at - self._get_time()
                done, _ = await asyncio.wait(
                    (watch,),
                    timeout=max(
                        0.0, min(remaining_s, self._timing.heartbeat_interval_s)
                    ),
                )
                if done:
                    return watch.result()
        finally:
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

    def _was_read_for_proof(self) -> bool:
        """Returns whether reads that prove freshness replace the next one.

        They are made about every second, so most detect a failure of the store
        as early.
        """
        return (
            self._freshness.is_required()
            and self._head_read_at is not None
            and self._get_time() - self._head_read_at
            < self._timing.head_refresh_interval_s
        )

    async def _follow_head(self) -> None:
        async for head in self._source.watch_head():
            self._record_store_call(True)
            await self._compile(head)

    def _record_store_call(self, reachable: bool) -> None:
        """Records whether a call to the store succeeded; logs its recovery."""
        if reachable and not self.store_reachable:
            lost_s = None
            if self._store_lost_at is not None:
                lost_s = round(self._get_time() - self._store_lost_at, 1)
            events.note("store reached", lost_s=lost_s)
        if not reachable and (
            self.store_reachable or self._store_lost_at is None
        ):
            self._store_lost_at = self._get_time()
        self.store_reachable = reachable

    async def _compile(self, head: document_pb2.Head) -> None:
        """Compiles a head if it is new; refuses it whole if this fails."""
        if head.version <= self._handled_version:
            return
        try:
            snapshot = await self._source.compile_head(head)
        except errors.ReplacedVersionError as error:
            events.note("version skipped", error=str(error))
            return
        except errors.SnapshotError as error:
            await self._refuse(head, error)
            return
        self._handled_version = max(self._handled_version, head.version)
        self._compiled_version = max(self._compiled_version, head.version)
        self._freshness.learn_version(head.version)
        self._on_snapshot(snapshot)

    async def _refuse(
        self, head: document_pb2.Head, error: errors.SnapshotError
    ) -> None:
        """Refuses a version whole, but for the keys that it holds."""
        _refused_counter.inc()
        events.fail("version refused", version=head.version, error=str(error))
        keys = await self._source.read_keys(head)
        self._handled_version = max(self._handled_version, head.version)
        self._refused_version = max(self._refused_version, head.version)
        self._freshness.learn_version(head.version)
        self._freshness.keys.learn(keys)
