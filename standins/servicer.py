"""Implements the gRPC service of store.proto for the store stand-in."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import grpc

from merlintrestle.schema import store_pb2
from merlintrestle.schema import store_pb2_grpc
from standins import faults
from standins import keyvalue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MAX_KEPT_WRITES = 10_000
_MAX_COUNTED_SECONDS = 120
# Length of the outage after which the store comes back, in seconds.
_OUTAGE_S = 0.2
_ERA_METADATA = "merlintrestle-era"


class Write(NamedTuple):
    """A write that took effect.

    Attributes:
        key: Key that was written.
        revision: Revision of the key after the write.
        at_ms: Time of the write, in milliseconds since 1970.
    """

    key: str
    revision: int
    at_ms: int


class StoreServicer(store_pb2_grpc.StoreServicer):
    """Answers the calls of store.proto, counts them and injects faults.

    Attributes:
        key_value_store: Stores the entries.
        faults: Active faults; change them with `set_faults`.
        call_counts: Number of calls by kind ("get"), and by kind and first
            segment of the key ("get documents").
        call_counts_by_second: Number of calls by second since 1970, for the
            latest 120 seconds that had calls.
        max_open_watches: Highest number of watches that were open at once.
        writes: The latest 10,000 writes, oldest first.
        stale_entries: Snapshot of the entries by key that stale reads return;
            None if none was taken.
    """

    def __init__(self, key_value_store: keyvalue.KeyValueStore):
        self.key_value_store = key_value_store
        self.faults = faults.StoreFaults()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.call_counts_by_second: dict[int, int] = {}
        self.max_open_watches = 0
        self.writes: collections.deque[Write] = collections.deque(
            maxlen=_MAX_KEPT_WRITES
        )
        self.stale_entries: dict[str, keyvalue.Entry] | None = None
        self._faults_changed = asyncio.Event()

    def take_snapshot(self) -> None:
        """Takes a snapshot of the entries.

        Reads return it once a later fault makes them stale.
        """
        self.stale_entries = self.key_value_store.copy_entries()

    def set_faults(self, new_faults: faults.StoreFaults) -> None:
        """Replaces the active faults."""
        if (
            new_faults.stale
            and not self.faults.stale
            and self.stale_entries is None
        ):
            self.take_snapshot()
        if not new_faults.stale and self.faults.stale:
            self.stale_entries = None
        self.faults = new_faults
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    def end_watches(self) -> None:
        """Ends all open watches, as an outage does."""
        outage = faults.StoreFaults(faults.Outage.UNAVAILABLE)
        previous = self.faults
        self.set_faults(outage)
        asyncio.get_running_loop().call_later(
            _OUTAGE_S, self.set_faults, previous
        )

    async def Get(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads a key."""
        await self._begin_call("get", context, request.key)
        return store_pb2.GetReply(entry=_encode(self._read_entry(request.key)))

    async def Put(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Writes a key by compare-and-swap."""
        await self._begin_call("put", context, request.key)
        is_expected_era = self._is_expected_era(request)
        try:
            unmet = self._list_unmet(request)
            written = (
                is_expected_era
                and not unmet
                and self.key_value_store.put(
                    request.key,
                    request.value,
                    request.expected_revision,
                    request.lease_id,
                )
            )
        except keyvalue.ValueTooLargeError as error:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, f"value too large: {error}"
            )
        except keyvalue.LeaseNotFoundError as error:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION, f"no such {error}"
            )
        entry = self.key_value_store.get(request.key)
        if written:
            at_ms = time.time_ns() // 1_000_000
            self.writes.append(Write(entry.key, entry.revision, at_ms))
            self._schedule_outage_after_write(entry.key)
        await self._abort_if_answer_lost(context)
        return store_pb2.PutReply(
            written=written,
            entry=_encode(entry),
            unmet=[_encode(other) for other in unmet],
        )

    def _list_unmet(self, request: Any) -> list[keyvalue.Entry]:
        """Returns the entries of the conditions that do not hold."""
        entries = [
            (row, self.key_value_store.get(row.key))
            for row in request.conditions
        ]
        return [
            entry
            for row, entry in entries
            if entry.revision != row.expected_revision
        ]

    async def Delete(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Removes a key by compare-and-swap."""
        await self._begin_call("delete", context, request.key)
        is_expected_era = self._is_expected_era(request)
        deleted = is_expected_era and self.key_value_store.delete(
            request.key, request.expected_revision
        )
        await self._abort_if_answer_lost(context)
        return store_pb2.DeleteReply(deleted=deleted)

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads the keys with a prefix."""
        await self._begin_call("list", context, request.prefix)
        selection = request.prefix, request.after, request.limit
        if self.faults.stale and self.stale_entries is not None:
            entries = keyvalue.select_entries(self.stale_entries, *selection)
        else:
            entries = self.key_value_store.list(*selection)
        return store_pb2.ListReply(
            entries=[_encode(entry) for entry in entries]
        )

    async def Watch(  # noqa: N802
        self, request: Any, context: Any
    ) -> AsyncIterator[Any]:
        """Sends changes of a key until the caller or an outage ends it."""
        await self._begin_call("watch", context, request.key)
        stream = self.key_value_store.watch(request.key, request.after_revision)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            while True:
                entry = await self._next_entry(stream)
                if entry is None:
                    # Raises an exception, which ends the watch.
                    await self._abort_watch(context)
                else:
                    yield _encode(entry)

    async def GrantLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Grants a lease."""
        await self._begin_call("grant_lease", context)
        lease_id = self.key_value_store.grant_lease(request.seconds)
        await self._abort_if_answer_lost(context)
        return store_pb2.Lease(lease_id=lease_id, seconds=request.seconds)

    async def KeepLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Renews a lease."""
        await self._begin_call("keep_lease", context)
        seconds = self.key_value_store.renew_lease(request.lease_id)
        await self._abort_if_answer_lost(context)
        return store_pb2.Lease(lease_id=request.lease_id, seconds=seconds)

    def _read_entry(self, key: str) -> keyvalue.Entry:
        if self.faults.stale and self.stale_entries is not None:
            return self.stale_entries.get(key, keyvalue.Entry(key))
        return self.key_value_store.get(key)

    def _count_call_by_second(self) -> None:
        second = int(time.time())
        if second not in self.call_counts_by_second:
            self.call_counts_by_second[second] = 0
            if len(self.call_counts_by_second) > _MAX_COUNTED_SECONDS:
                del self.call_counts_by_second[min(self.call_counts_by_second)]
        self.call_counts_by_second[second] += 1

    async def _begin_call(self, kind: str, context: Any, key: str = "") -> None:
        """Counts a call and injects the latency and the outage into it."""
        self._count_call_by_second()
        self.call_counts[kind] += 1
        if key:
            self.call_counts[f"{kind} {key.split('/')[0]}"] += 1
        if self.faults.latency_s:
            await asyncio.sleep(self.faults.latency_s)
        while self.faults.outage is faults.Outage.HANGING:
            await self._faults_changed.wait()
        if self.faults.outage is not faults.Outage.NONE:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")
        await context.send_initial_metadata(
            ((_ERA_METADATA, str(self.key_value_store.era)),)
        )

    def _is_expected_era(self, request: Any) -> bool:
        """Returns whether the expected revision is of the current era."""
        return request.expected_era in (0, self.key_value_store.era)

    async def _abort_if_answer_lost(self, context: Any) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "answer lost")

    def _schedule_outage_after_write(self, key: str) -> None:
        """Schedules the outage that follows a write of `fail_after_key`."""
        if key == self.faults.fail_after_key:
            outage = faults.StoreFaults(faults.Outage.UNAVAILABLE)
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.fail_after_s, self.set_faults, outage)

    async def _next_entry(
        self, stream: AsyncIterator[keyvalue.Entry]
    ) -> keyvalue.Entry | None:
        """Returns the next entry to send, or None if an outage ends the watch.

        While reads are stale or calls hang, it returns nothing and waits.
        """
        entry_task = asyncio.ensure_future(anext(stream))
        try:
            while True:
                self.max_open_watches = max(
                    self.max_open_watches, self.key_value_store.open_watches
                )
                entries_suppressed = self.faults.stale
                if self.faults.outage is faults.Outage.HANGING:
                    entries_suppressed = True
                elif self.faults.outage is not faults.Outage.NONE:
                    return None
                faults_task = asyncio.ensure_future(self._faults_changed.wait())
                awaited_tasks = (
                    {faults_task}
                    if entries_suppressed
                    else {faults_task, entry_task}
                )
                await asyncio.wait(
                    awaited_tasks, return_when=asyncio.FIRST_COMPLETED
                )
                faults_task.cancel()
                if entry_task.done() and not entries_suppressed:
                    return entry_task.result()
        finally:
            if not entry_task.done():
                entry_task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await entry_task

    async def _abort_watch(self, context: Any) -> None:
        await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")


def _encode(entry: keyvalue.Entry) -> Any:
    return store_pb2.Entry(
        key=entry.key, value=entry.value, revision=entry.revision
    )
