"""Timeouts that are not shortened by a blocked event loop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Iterations of the event loop after which a task that waits for a connection
# has been resumed, if the operating system has already established it.
_GRACE_ITERATIONS = 10


@contextlib.asynccontextmanager
async def timeout(timeout_s: float) -> AsyncIterator[None]:
    """Cancels a block after a time, but only after pending I/O was processed.

    After the event loop was blocked, timers run before sockets are polled. A
    plain timeout would expire although the awaited event has occurred.

    Args:
        timeout_s: Time after which the block is cancelled, in seconds.

    Raises:
        TimeoutError: The time is over.
    """
    loop = asyncio.get_running_loop()
    running = True
    async with asyncio.timeout(None) as scope:

        def cancel_after(iterations: int) -> None:
            if not running:
                return
            if iterations:
                loop.call_soon(cancel_after, iterations - 1)
            else:
                scope.reschedule(loop.time())

        timer = loop.call_later(
            max(0.0, timeout_s), cancel_after, _GRACE_ITERATIONS
        )
        try:
            yield
        finally:
            running = False
            timer.cancel()
