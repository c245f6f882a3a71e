"""Watch of a key in a store that tells of events and of newest entries."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from merlintrestle.store import client


class Store(Protocol):
    """Methods of a store that a watch uses."""

    async def read_newest(self, key: str) -> client.ReadResult:
        """Reads one key and the store's revision at that time."""

    async def read_events(
        self, key: str, after: int
    ) -> tuple[Sequence[client.Entry], int]:
        """Waits for the key's entries after a revision, and the store's."""


async def watch_key(
    store: Store, key: str, after_revision: int
) -> AsyncIterator[client.Entry]:
    """Yields the key's entries newer than a revision until the store fails.

    Entries that were replaced while an earlier one was transferred are left
    out. Otherwise, a link that transfers one entry in the time of three changes
    would fall further behind with each response.

    Args:
        store: The store.
        key: The key.
        after_revision: The revision; above 0 it must come from a recent read.

    Raises:
        errors.StoreUnavailableError: The store closed or broke the watch.
    """
    revision = last_yielded = after_revision
    must_read = not after_revision
    while True:
        if must_read:
            entry, revision = await store.read_newest(key)
            # Reads again after a change of this key, but not of another.
            must_read = entry is not None and entry.revision > last_yielded
            if entry is not None and must_read:
                last_yielded = entry.revision
                yield entry
            continue
        entries, revision = await store.read_events(key, revision)
        must_read = len(entries) > 1
        if entries:
            last_yielded = entries[-1].revision
            yield entries[-1]
