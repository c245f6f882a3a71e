"""Second sends: a call sent anew to an address while its first send goes on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import retries

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from merlintrestle.requests.transport import connections


class Second:
    """The second send of a call, which most calls do not need.

    The first send is awaited by its own task, so that a call without a second
    one costs no other task. An answer to the second ends that wait.
    """

    __slots__ = ("_first", "_send", "_settled", "_task", "_won")

    def __init__(
        self,
        first: connections.Connection,
        send: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ):
        """Sets where the first one is awaited, and what sends the call anew."""
        self._first = first
        self._send = send
        self._task: asyncio.Task[outcomes.Outcome] | None = None
        # Whether the first send has ended, as far as its own task knows.
        self._settled = False
        # Whether the second send's answer has ended the wait for the first.
        self._won = False

    def start(self) -> None:
        """Sends the call anew, unless it was."""
        if self._task is None:
            self._task = asyncio.create_task(self._send())
            self._task.add_done_callback(self._end_first)

    async def settle(self, first: outcomes.Outcome) -> outcomes.Outcome:
        """Returns what is true of the call once the first send has ended."""
        self._settled = True
        if self._task is None:
            return first
        if isinstance(first, outcomes.Answered):
            if not self._won:
                return first
            # It came in the same turn of the loop, and its body was cut.
            first.release()
        # Left to `close` until its outcome is taken: a caller that leaves in
        # just that turn would leave the answer held for good.
        latest = await self._task
        self._task = None
        return retries.combine(first, latest)

    def close(self) -> None:
        """Ends a second send that is not needed any more."""
        self._settled = True
        if self._task is None:
            return
        self._task.add_done_callback(outcomes.release_unused)
        self._task.cancel()

    def _end_first(self, task: asyncio.Task[outcomes.Outcome]) -> None:
        # The loop may have this call in hand already when the first send ends:
        # the connection then carries the answer that won, which would be cut.
        if self._settled or task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), outcomes.Answered):
            self._won = True
            self._first.expire()
