"""How far a source knows its store, and what its next read must bring."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A watch hears of a change as early as a read does, and carries it already.
# Read at once, each change would travel twice over the same link. A watch that
# hears nothing is made up for this much later, well within what a change has.
_WATCH_LEAD_S = 0.3
# A read that brought no news is followed by questions to the store's history
# for this long. A value of some hundred KB is half a second of a thin link: a
# tenth of this. The history may name no change for about a second before it is
# dropped, which a question then shows; longer than this nothing rests on it.
_QUESTIONS_S = 5.0


class Progress:
    """The store's revision up to which the head is known.

    The revision moves with the keys of other writers as well. Were the head
    read each time, their writes would fill the link of each watcher.

    Attributes:
        at: The revision; 0 while the head was never read.
        watches: How many watches of the head are open.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        """Starts with nothing known; the clock is monotonic, in seconds."""
        self.at = 0
        self.watches = 0
        self._clock = clock
        self._moved = asyncio.Event()
        self._needless_at: float | None = None

    def note(self, at: int) -> None:
        """Notes a revision up to which the head is known."""
        self.at = max(self.at, at)
        self._moved.set()

    def note_read(self, news: bool) -> None:
        """Notes whether the read of a moved revision brought a new head."""
        self._needless_at = None if news else self._clock()

    def may_ask(self) -> bool:
        """Returns whether the store's history may be asked for the head.

        So it is soon after a read without news: others write then. A read
        with news ends it, and the next move is read whatever history tells.
        """
        if self._needless_at is None:
            return False
        return self._clock() - self._needless_at < _QUESTIONS_S

    async def wait_for_watch(
        self, at: int, is_delivering: Callable[[], bool]
    ) -> bool:
        """Waits a moment for a watch; returns whether the head is known.

        An answer that has begun to arrive is waited for to its end.
        """
        while self.watches and self.at < at:
            self._moved.clear()
            try:
                async with asyncio.timeout(_WATCH_LEAD_S):
                    await self._moved.wait()
            except TimeoutError:
                if not is_delivering():
                    break
        return self.at >= at
