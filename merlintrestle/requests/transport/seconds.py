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

    __slots__ = ("_first", "_send", "_task")

    def __init__(
        self,
        first: connections.Connection,
        send: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ):
        """Sets where the first one is awaited, and what sends the call anew."""
        self._first = first
        self._send = send
        self._task: asyncio.Task[outcomes.Outcome] | None = None

    def start(self) -> None:
        """Sends the call anew, unless it was."""
        if self._task is None:
            self._task = asyncio.create_task(self._send())
            self._task.add_done_callback(self._end_first)

    async def settle(self, first: outcomes.Outcome) -> outcomes.Outcome:
        """Returns what is true of the call once the first send has ended."""
        if self._task is None:
            return first
        self._task.remove_done_callback(self._end_first)
        if isinstance(first, outcomes.Answered):
            return first
        task, self._task = self._task, None
        return retries.combine(first, await task)

    def close(self) -> None:
        """Ends a second send that is not needed any more."""
        if self._task is None:
            return
        self._task.remove_done_callback(self._end_first)
        self._task.add_done_callback(outcomes.drop)
        self._task.cancel()

    def _end_first(self, task: asyncio.Task[outcomes.Outcome]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), outcomes.Answered):
            self._first.expire()
