"""Limits on time that an event loop which stood still does not cut short."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Turns of the event loop in which a connection that has come about is made.
_TURNS = 10


@contextlib.asynccontextmanager
async def bound(limit_s: float) -> AsyncIterator[None]:
    """Ends a block after a time, once what has come until then was read.

    Where the loop stood still, timers ring before sockets are looked at. By
    the clock alone, whatever was awaited meanwhile would be given up as if it
    had not come.

    Raises:
        TimeoutError: The time is over.
    """
    loop = asyncio.get_running_loop()
    running = True
    async with asyncio.timeout(None) as scope:

        def end(turns: int) -> None:
            if not running:
                return
            if turns:
                loop.call_soon(end, turns - 1)
            else:
                scope.reschedule(loop.time())

        timer = loop.call_later(max(0.0, limit_s), end, _TURNS)
        try:
            yield
        finally:
            running = False
            timer.cancel()
