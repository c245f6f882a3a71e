"""Tracking of the store revision up to which the head is known."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# How long to wait for the open watch before the head is read. The watch
# receives the changed value as early as a read does, so an immediate read would
# transfer it twice over the same link. The delay is well within the time in
# which a change must take effect.
_MAX_WATCH_WAIT_S = 0.3
# Time after a read without a new head in which the store's history may be
# queried instead of reading the head. A head of some hundred KB takes half a
# second to read on a slow link; with one read in each period, reads take at
# most a tenth of the time. The period is limited because the store, when it is
# about to drop its history, can omit changes from it for about a second, and
# queries fail only after it was dropped.
_HISTORY_QUERY_PERIOD_S = 5.0


class KnownRevision:
    """Tracks the store revision up to which the head is known.

    The revision also increases when other writers change their keys. If the
    head were read each time, their writes would fill the link of each watcher.

    Attributes:
        revision: The revision; 0 if the head was never read.
        open_watches: Number of open watches of the head.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic):
        """Starts at revision 0; `get_time` is monotonic, in seconds."""
        self.revision = 0
        self.open_watches = 0
        self._get_time = get_time
        self._advanced = asyncio.Event()
        self._unchanged_read_at: float | None = None

    def advance(self, revision: int) -> None:
        """Raises the revision up to which the head is known."""
        self.revision = max(self.revision, revision)
        self._advanced.set()

    def record_read(self, head_changed: bool) -> None:
        """Records a read at a new revision.

        Args:
            head_changed: Whether the read returned a new head.
        """
        self._unchanged_read_at = None if head_changed else self._get_time()

    def may_query_history(self) -> bool:
        """Returns whether the store's history may be queried for the head.

        It may be queried for `_HISTORY_QUERY_PERIOD_S` after a read without a
        new head, as then the writes of other keys raised the revision. After a
        new head it may not: at the next revision the head itself is read,
        whatever the history contains.
        """
        if self._unchanged_read_at is None:
            return False
        return (
            self._get_time() - self._unchanged_read_at < _HISTORY_QUERY_PERIOD_S
        )

    async def wait_for_watch(
        self, revision: int, is_receiving: Callable[[], bool]
    ) -> bool:
        """Waits briefly for an open watch; returns whether the head is known.

        While a response of the store is being received, the wait continues.

        Args:
            revision: Revision up to which the head must be known.
            is_receiving: Returns whether a response of the store to the watch
                is partly received.
        """
        while self.open_watches and self.revision < revision:
            self._advanced.clear()
            try:
                async with asyncio.timeout(_MAX_WATCH_WAIT_S):
                    await self._advanced.wait()
            except TimeoutError:
                if not is_receiving():
                    break
        return self.revision >= revision
