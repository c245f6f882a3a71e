"""Revision of the store up to which a source knows the head."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A watch receives a change as early as a read does, including the value. An
# immediate read would transfer each change twice over the same link. If the
# watch delivers nothing, the read follows after this delay, well within the
# time in which a change must take effect.
_WATCH_LEAD_S = 0.3
# How long the store's history is queried after a read without a new version. A
# value of some hundred KB takes half a second on a slow link, a tenth of this.
# The history may omit changes for about a second before it is dropped, which a
# query then shows; it is not relied on for longer than this.
_QUESTIONS_S = 5.0


class KnownRevision:
    """Store revision up to which the head is known.

    The revision also increases when other writers change their keys. If the
    head were read each time, their writes would fill the link of each watcher.

    Attributes:
        revision: The revision; 0 if the head was never read.
        open_watches: Number of open watches of the head.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        """Starts at revision 0; the clock is monotonic, in seconds."""
        self.revision = 0
        self.open_watches = 0
        self._clock = clock
        self._advanced = asyncio.Event()
        self._unchanged_read_at: float | None = None

    def advance(self, revision: int) -> None:
        """Raises the revision up to which the head is known."""
        self.revision = max(self.revision, revision)
        self._advanced.set()

    def record_read(self, news: bool) -> None:
        """Records whether a read at a new revision returned a new head.

        Args:
            news: Whether the head was new.
        """
        self._unchanged_read_at = None if news else self._clock()

    def may_query_history(self) -> bool:
        """Returns whether the store's history may be queried for the head.

        It may soon after a read without a new head, as then other writers
        raised the revision. A read with a new head ends this, and at the next
        revision the head is read whatever the history contains.
        """
        if self._unchanged_read_at is None:
            return False
        return self._clock() - self._unchanged_read_at < _QUESTIONS_S

    async def wait_for_watch(
        self, revision: int, is_delivering: Callable[[], bool]
    ) -> bool:
        """Waits briefly for an open watch; returns whether the head is known.

        If an answer has begun to arrive, it is awaited to its end.

        Args:
            revision: Revision up to which the head must be known.
            is_delivering: Whether an answer of the store is arriving.
        """
        while self.open_watches and self.revision < revision:
            self._advanced.clear()
            try:
                async with asyncio.timeout(_WATCH_LEAD_S):
                    await self._advanced.wait()
            except TimeoutError:
                if not is_delivering():
                    break
        return self.revision >= revision
