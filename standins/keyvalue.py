"""Key-value data of the store stand-in: revisions, leases and watches."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MAX_VALUE_BYTES = 1_000_000


class Entry(NamedTuple):
    """One key.

    Attributes:
        key: Its name.
        value: Its bytes.
        revision: Revision of its last write; 0 where it is not there.
        lease_id: Lease under which it was written; 0: none.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    lease_id: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    seconds: int
    ends_at: float


class ValueTooLargeError(Exception):
    """A value is over `MAX_VALUE_BYTES`."""


class LeaseNotFoundError(Exception):
    """A write names a lease that has ended or never was."""


class KeyValueStore:
    """A revisioned map with compare-and-swap, leases and watches.

    Attributes:
        revision: Revision of the last write of any key.
        waiting_watches: Watches that wait at this moment.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        """Makes an empty map.

        Args:
            clock: Seconds on any scale that never goes back.
        """
        self.revision = 0
        self.waiting_watches = 0
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._wakers: dict[str, set[asyncio.Event]] = {}

    def get(self, key: str) -> Entry:
        """Reads one key; revision 0 where it is not there."""
        self.expire_leases()
        return self._entries.get(key, Entry(key))

    def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> bool:
        """Writes a key if its revision is the expected one (0: absent)."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{len(value)} bytes")
        if self.get(key).revision != expected_revision:
            return False
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError(f"lease {lease_id}")
        self.revision += 1
        self._entries[key] = Entry(key, value, self.revision, lease_id)
        self._wake(key)
        return True

    def delete(self, key: str, expected_revision: int) -> bool:
        """Removes a key if it is there with the expected revision."""
        entry = self.get(key)
        if not entry.revision or entry.revision != expected_revision:
            return False
        self._remove(key)
        return True

    def list(self, prefix: str, after: str, limit: int) -> list[Entry]:
        """Reads keys with a prefix in order of name; limit 0: all."""
        self.expire_leases()
        return select_entries(self._entries, prefix, after, limit)

    def copy(self) -> dict[str, Entry]:
        """Returns all entries as they stand."""
        self.expire_leases()
        return dict(self._entries)

    def grant_lease(self, seconds: int) -> int:
        """Opens a lease and returns its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(seconds, self._clock() + seconds)
        return lease_id

    def keep_lease(self, lease_id: int) -> int:
        """Extends a lease and returns its seconds; 0: it has ended."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.ends_at = self._clock() + lease.seconds
        return lease.seconds

    def expire_leases(self) -> None:
        """Ends leases whose time is over and removes their keys."""
        now = self._clock()
        ended = {i for i, lease in self._leases.items() if lease.ends_at <= now}
        if not ended:
            return
        for lease_id in ended:
            del self._leases[lease_id]
        for entry in list(self._entries.values()):
            if entry.lease_id in ended:
                self._remove(entry.key)

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[Entry]:
        """Yields the newest entry of a key whenever it changes.

        Writes in quick succession are joined. A removal is an entry with
        revision 0 and is told only to watches that saw the key before.
        """
        waker = asyncio.Event()
        self._wakers.setdefault(key, set()).add(waker)
        self.waiting_watches += 1
        seen = after_revision
        told = False
        try:
            while True:
                waker.clear()
                entry = self.get(key)
                if entry.revision > seen:
                    seen = entry.revision
                    told = True
                    yield entry
                elif not entry.revision and told:
                    told = False
                    yield entry
                else:
                    await waker.wait()
        finally:
            self.waiting_watches -= 1
            self._wakers[key].discard(waker)

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self._entries[key]
        self._wake(key)

    def _wake(self, key: str) -> None:
        for waker in self._wakers.get(key, ()):
            waker.set()


def select_entries(
    entries: dict[str, Entry], prefix: str, after: str, limit: int
) -> list[Entry]:
    """Returns entries with a prefix after a key, in order; limit 0: all."""
    names = sorted(k for k in entries if k.startswith(prefix) and k > after)
    return [entries[name] for name in names[: limit or None]]
