"""Fake in-memory store with the methods of `client.StoreClient`."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.store import client
from merlintrestle.store import eras

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence


class FakeStore:
    """Keeps keys in memory; tests inject faults.

    Attributes:
        entries: The entries by key.
        down: While True, calls fail before they have an effect.
        lost_answers: By key, the number of writes that take effect and whose
            answer is then lost; each write decrements it.
        late_writes: By key, the number of writes that get no answer and take
            effect only when `release_late_writes` is called; each write
            decrements it.
        before_call: Awaited with method and key before each get and put.
        calls: Number of calls of each method.
        era: Era of the store.
    """

    def __init__(self) -> None:
        self.era = eras.StoreEra()
        self.entries: dict[str, client.Entry] = {}
        self.down = False
        self.lost_answers: collections.Counter[str] = collections.Counter()
        self.late_writes: collections.Counter[str] = collections.Counter()
        self.before_call: Callable[[str, str], Awaitable[None]] | None = None
        self.calls: collections.Counter[str] = collections.Counter()
        self._revision = 0
        self._pending_writes: list[
            tuple[str, bytes, int, Sequence[client.Condition]]
        ] = []
        self._leases: dict[int, set[str]] = {}
        self._changed: asyncio.Event | None = None

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""

    async def get(self, key: str) -> client.Entry | None:
        """Reads a key."""
        if self.before_call is not None:
            await self.before_call("get", key)
        self._check_read("get")
        return self.entries.get(key)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
        conditions: Sequence[client.Condition] = (),
    ) -> client.WriteReply:
        """Writes a key if it and other keys have the expected revisions."""
        if self.before_call is not None:
            await self.before_call("put", key)
        self._check_write("put")
        if self.late_writes[key]:
            self.late_writes[key] -= 1
            self._pending_writes.append(
                (key, value, expected_revision, conditions)
            )
            raise errors.StoreUnknownOutcomeError("fake: no answer yet")
        reply = self._swap(key, value, expected_revision, conditions)
        if reply.written and lease_id:
            self._leases[lease_id].add(key)
        if self.lost_answers[key]:
            self.lost_answers[key] -= 1
            raise errors.StoreUnknownOutcomeError("fake: answer lost")
        return reply

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it has the expected revision."""
        self._check_write("delete")
        entry = self.entries.get(key)
        if entry is None or entry.revision != expected_revision:
            return False
        del self.entries[key]
        return True

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads keys with a prefix in order."""
        self._check_read("list")
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        return [self.entries[key] for key in keys[:limit]]

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[client.Entry]:
        """Yields newer entries of a key until the store is down."""
        self._check_read("watch")
        while True:
            changed = self._changed = self._changed or asyncio.Event()
            entry = self.entries.get(key)
            if entry is not None and entry.revision > after_revision:
                after_revision = entry.revision
                yield entry
                continue
            await changed.wait()
            if self.down:
                raise errors.StoreUnavailableError("fake: watch broke")

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease; it ends only when `end_lease` is called."""
        self._check_write("grant_lease")
        lease_id = len(self._leases) + 1
        self._leases[lease_id] = set()
        return lease_id

    async def renew_lease(self, lease_id: int) -> int:
        """Returns 1 while the lease is open, then 0."""
        self._check_write("keep_lease")
        return int(lease_id in self._leases)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        for key in self._leases.pop(lease_id, set()):
            self.entries.pop(key, None)

    def release_late_writes(self) -> None:
        """Applies the late writes in the order of their calls."""
        late_writes, self._pending_writes = self._pending_writes, []
        for late_write in late_writes:
            self._swap(*late_write)

    def set_down(self, down: bool) -> None:
        """Sets whether the store is down, which breaks open watches."""
        self.down = down
        self._notify_watches()

    def _swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        conditions: Sequence[client.Condition] = (),
    ) -> client.WriteReply:
        conflict = client.build_conflict(key, conditions, self._find_entry)
        if conflict.unmet or conflict.entry.revision != expected_revision:
            return conflict
        self._revision += 1
        entry = client.Entry(key, value, self._revision)
        self.entries[key] = entry
        self._notify_watches()
        return client.WriteReply(True, entry)

    def _find_entry(self, key: str) -> client.Entry:
        return self.entries.get(key, client.Entry(key, b"", 0))

    def _notify_watches(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def _check_read(self, method: str) -> None:
        self.calls[method] += 1
        if self.down:
            raise errors.StoreUnavailableError("fake: the store is down")

    def _check_write(self, method: str) -> None:
        self.calls[method] += 1
        if self.down:
            raise errors.StoreUnknownOutcomeError("fake: the store is down")


class Interruption:
    """Interrupts the user of a fake store before one of its calls.

    Attributes:
        calls: Method and key of each get and put of the user.
    """

    def __init__(
        self,
        store: FakeStore,
        position: int | None,
        interrupt: Callable[[], Awaitable[None]],
    ):
        """Waits for the calls.

        Args:
            store: The store.
            position: Number of calls after which the user is interrupted; None
                for never.
            interrupt: Awaited then; its own calls do not count.
        """
        self.calls: list[tuple[str, str]] = []
        self._store = store
        self._position = position
        self._interrupt = interrupt
        store.before_call = self._before_call

    def close(self) -> None:
        """Counts no further calls."""
        self._store.before_call = None

    async def _before_call(self, method: str, key: str) -> None:
        if len(self.calls) == self._position:
            self._store.before_call = None
            await self._interrupt()
            self._store.before_call = self._before_call
        self.calls.append((method, key))
