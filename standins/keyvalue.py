"""Key-value data of the store stand-in, with revisions, leases and watches."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MAX_VALUE_BYTES = 1_000_000


class Entry(NamedTuple):
    """State of a key.

    Attributes:
        key: Name of the key.
        value: Its bytes.
        revision: Revision of its last write; 0 if the key does not exist.
        lease_id: Id of the lease that it was written with; 0 if none.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    lease_id: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    """Lease that removes its keys when it expires.

    Attributes:
        ttl_s: Time to live, in seconds.
        expires_at: Time of expiry on the clock of the store, in seconds.
    """

    ttl_s: int
    expires_at: float


class Copy(NamedTuple):
    """A copy of the contents of a store, from which it may come back.

    Attributes:
        revision: Revision at the time of the copy.
        entries: Entries by key.
        leases: Leases by id.
        next_lease_id: Id of the next lease.
    """

    revision: int
    entries: dict[str, Entry]
    leases: dict[int, _Lease]
    next_lease_id: int


class ValueTooLargeError(Exception):
    """A value is larger than `MAX_VALUE_BYTES`."""


class LeaseNotFoundError(Exception):
    """The lease of a write has expired or never existed."""


class KeyValueStore:
    """A revisioned map with compare-and-swap, leases and watches.

    Attributes:
        revision: Revision of the last change of any key.
        era: Era of the contents, which rises when they are replaced by a copy.
        open_watches: Number of open watches.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        """Initializes an empty store.

        Args:
            clock: Returns the time in seconds of any monotonic clock.
        """
        self.revision = 0
        self.era = 1
        self.open_watches = 0
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._change_events: dict[str, set[asyncio.Event]] = {}

    def take_copy(self) -> Copy:
        """Returns a copy of the contents, for `come_back`."""
        self.expire_leases()
        return Copy(
            self.revision,
            dict(self._entries),
            {
                lease_id: dataclasses.replace(lease)
                for lease_id, lease in self._leases.items()
            },
            self._next_lease_id,
        )

    def come_back(self, copy: Copy) -> None:
        """Replaces the contents by an earlier copy, which begins a new era.

        What was written since is gone, and its revisions and lease ids are
        given out again.
        """
        self.era += 1
        self.revision = copy.revision
        self._entries = dict(copy.entries)
        self._leases = dict(copy.leases)
        self._next_lease_id = copy.next_lease_id

    def get(self, key: str) -> Entry:
        """Returns the entry of a key, with revision 0 if it does not exist."""
        self.expire_leases()
        return self._entries.get(key, Entry(key))

    def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> bool:
        """Writes a key if it has the expected revision.

        Args:
            key: Key to write.
            value: Its new value.
            expected_revision: Revision that the key must have; 0 if it must
                not exist.
            lease_id: Id of the lease that removes the key when it expires; 0
                for none.

        Returns:
            Whether the key was written.

        Raises:
            ValueTooLargeError: The value is larger than `MAX_VALUE_BYTES`.
            LeaseNotFoundError: The lease has expired or never existed.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{len(value)} bytes")
        if self.get(key).revision != expected_revision:
            return False
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError(f"lease {lease_id}")
        self.revision += 1
        self._entries[key] = Entry(key, value, self.revision, lease_id)
        self._notify_watches(key)
        return True

    def delete(self, key: str, expected_revision: int) -> bool:
        """Removes a key if it exists with the expected revision.

        Returns:
            Whether the key was removed.
        """
        entry = self.get(key)
        if not entry.revision or entry.revision != expected_revision:
            return False
        self._remove(key)
        return True

    def list(self, prefix: str, after: str, limit: int) -> list[Entry]:
        """Returns stored entries by prefix, as `select_entries` does."""
        self.expire_leases()
        return select_entries(self._entries, prefix, after, limit)

    def copy_entries(self) -> dict[str, Entry]:
        """Returns a copy of all entries by key."""
        self.expire_leases()
        return dict(self._entries)

    def grant_lease(self, seconds: int) -> int:
        """Grants a lease for a number of seconds and returns its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(seconds, self._clock() + seconds)
        return lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renews a lease.

        Returns:
            Its time to live in seconds; 0 if it has expired or never existed.
        """
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self._clock() + lease.ttl_s
        return lease.ttl_s

    def expire_leases(self) -> None:
        """Removes leases whose time to live is over, and their keys."""
        now = self._clock()
        expired_lease_ids = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at <= now
        }
        if not expired_lease_ids:
            return
        for lease_id in expired_lease_ids:
            del self._leases[lease_id]
        for entry in list(self._entries.values()):
            if entry.lease_id in expired_lease_ids:
                self._remove(entry.key)

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[Entry]:
        """Yields the newest entry of a key at the start and on each change.

        Writes in quick succession are merged into one entry. A removal is an
        entry with revision 0; it is yielded only if this watch has yielded the
        key before.

        Args:
            key: Key to watch.
            after_revision: Revision that the caller knows already; only newer
                ones are yielded.
        """
        change_event = asyncio.Event()
        self._change_events.setdefault(key, set()).add(change_event)
        self.open_watches += 1
        latest_revision = after_revision
        key_yielded = False
        try:
            while True:
                change_event.clear()
                entry = self.get(key)
                if entry.revision > latest_revision:
                    latest_revision = entry.revision
                    key_yielded = True
                    yield entry
                elif not entry.revision and key_yielded:
                    key_yielded = False
                    yield entry
                else:
                    await change_event.wait()
        finally:
            self.open_watches -= 1
            self._change_events[key].discard(change_event)

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self._entries[key]
        self._notify_watches(key)

    def _notify_watches(self, key: str) -> None:
        for change_event in self._change_events.get(key, ()):
            change_event.set()


def select_entries(
    entries: dict[str, Entry], prefix: str, after: str, limit: int
) -> list[Entry]:
    """Returns entries with a prefix, in the order of their keys.

    Args:
        entries: Entries by key.
        prefix: Prefix of the keys.
        after: Returns only keys after this one.
        limit: Number of entries at most; 0 for all.
    """
    keys = sorted(
        key for key in entries if key.startswith(prefix) and key > after
    )
    return [entries[key] for key in keys[: limit or None]]
