"""What answers the calls of store.proto in the store stand-in."""

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

_KEPT_WRITES = 10_000
_KEPT_SECONDS = 120


class Write(NamedTuple):
    """One write that took effect.

    Attributes:
        key: Key that was written.
        revision: Its revision since.
        at_ms: Milliseconds since 1970.
    """

    key: str
    revision: int
    at_ms: int


class StoreServicer(store_pb2_grpc.StoreServicer):
    """Answers the calls of store.proto and counts them.

    Attributes:
        data: What is stored.
        faults: Faults in force; change them by `set_faults`.
        calls: Calls by kind, and by kind and first part of the key.
        calls_by_second: Calls by second since 1970, the newest two minutes.
        max_waiting_watches: Most watches that ever waited at once.
        writes: Key, revision and ms since 1970 of each write, oldest first.
    """

    def __init__(self, data: keyvalue.KeyValueStore):
        self.data = data
        self.faults = faults.StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_second: dict[int, int] = {}
        self.max_waiting_watches = 0
        self.writes: collections.deque[Write] = collections.deque(
            maxlen=_KEPT_WRITES
        )
        self._stale_entries: dict[str, keyvalue.Entry] | None = None
        self._faults_changed = asyncio.Event()

    def take_snapshot(self) -> None:
        """Keeps what is stored now for the stale reads of a later fault."""
        self._stale_entries = self.data.copy()

    def set_faults(self, new: faults.StoreFaults) -> None:
        """Puts faults in force in place of those before."""
        if new.stale and not self.faults.stale and self._stale_entries is None:
            self.take_snapshot()
        if not new.stale and self.faults.stale:
            self._stale_entries = None
        self.faults = new
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    async def Get(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads one key."""
        await self._begin("get", context, request.key)
        return store_pb2.GetReply(entry=_encode(self._read(request.key)))

    async def Put(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Writes one key by compare-and-swap."""
        await self._begin("put", context, request.key)
        try:
            written = self.data.put(
                request.key,
                request.value,
                request.expected_revision,
                request.lease_id,
            )
        except keyvalue.ValueTooLargeError as error:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, f"value too large: {error}"
            )
        except keyvalue.LeaseNotFoundError as error:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION, f"no such {error}"
            )
        entry = self.data.get(request.key)
        if written:
            at_ms = time.time_ns() // 1_000_000
            self.writes.append(Write(entry.key, entry.revision, at_ms))
            self._fail_after(entry.key)
        await self._end_write(context)
        return store_pb2.PutReply(written=written, entry=_encode(entry))

    async def Delete(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Removes one key by compare-and-swap."""
        await self._begin("delete", context, request.key)
        deleted = self.data.delete(request.key, request.expected_revision)
        await self._end_write(context)
        return store_pb2.DeleteReply(deleted=deleted)

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads keys with a prefix."""
        await self._begin("list", context, request.prefix)
        asked = request.prefix, request.after, request.limit
        if self.faults.stale and self._stale_entries is not None:
            entries = keyvalue.select_entries(self._stale_entries, *asked)
        else:
            entries = self.data.list(*asked)
        return store_pb2.ListReply(entries=[_encode(e) for e in entries])

    async def Watch(  # noqa: N802
        self, request: Any, context: Any
    ) -> AsyncIterator[Any]:
        """Sends changes of one key until the caller or an outage ends it."""
        await self._begin("watch", context, request.key)
        stream = self.data.watch(request.key, request.after_revision)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            while True:
                entry = await self._next_entry(stream)
                if entry is None:
                    await self._fail_watch(context)
                else:
                    yield _encode(entry)

    async def GrantLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Opens a lease."""
        await self._begin("grant_lease", context)
        lease_id = self.data.grant_lease(request.seconds)
        await self._end_write(context)
        return store_pb2.Lease(lease_id=lease_id, seconds=request.seconds)

    async def KeepLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Extends a lease."""
        await self._begin("keep_lease", context)
        seconds = self.data.keep_lease(request.lease_id)
        await self._end_write(context)
        return store_pb2.Lease(lease_id=request.lease_id, seconds=seconds)

    def _read(self, key: str) -> keyvalue.Entry:
        if self.faults.stale and self._stale_entries is not None:
            return self._stale_entries.get(key, keyvalue.Entry(key))
        return self.data.get(key)

    def _count_second(self) -> None:
        second = int(time.time())
        if second not in self.calls_by_second:
            self.calls_by_second[second] = 0
            if len(self.calls_by_second) > _KEPT_SECONDS:
                del self.calls_by_second[min(self.calls_by_second)]
        self.calls_by_second[second] += 1

    async def _begin(self, kind: str, context: Any, key: str = "") -> None:
        self._count_second()
        self.calls[kind] += 1
        if key:
            self.calls[f"{kind} {key.split('/')[0]}"] += 1
        if self.faults.latency_s:
            await asyncio.sleep(self.faults.latency_s)
        while self.faults.outage is faults.Outage.HANGING:
            await self._faults_changed.wait()
        if self.faults.outage is not faults.Outage.NONE:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")

    async def _end_write(self, context: Any) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "answer lost")

    def _fail_after(self, key: str) -> None:
        if key == self.faults.fail_after_key:
            outage = faults.StoreFaults(faults.Outage.UNAVAILABLE)
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.fail_after_s, self.set_faults, outage)

    async def _next_entry(
        self, stream: AsyncIterator[keyvalue.Entry]
    ) -> keyvalue.Entry | None:
        """Returns the next entry to send; None: an outage ends the watch."""
        following = asyncio.ensure_future(anext(stream))
        try:
            while True:
                self.max_waiting_watches = max(
                    self.max_waiting_watches, self.data.waiting_watches
                )
                silent = self.faults.stale
                if self.faults.outage is faults.Outage.HANGING:
                    silent = True
                elif self.faults.outage is not faults.Outage.NONE:
                    return None
                changed = asyncio.ensure_future(self._faults_changed.wait())
                waited = {changed} if silent else {changed, following}
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
                if following.done() and not silent:
                    return following.result()
        finally:
            if not following.done():
                following.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await following

    async def _fail_watch(self, context: Any) -> None:
        await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")


def _encode(entry: keyvalue.Entry) -> Any:
    return store_pb2.Entry(
        key=entry.key, value=entry.value, revision=entry.revision
    )
