"""Resends of calls to the same server.

A call is resent while its first send may still be answered, or after the
connection of the first send broke while it was idle. A retry is a further
attempt after a failure.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import retries

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from merlintrestle.requests.transport import connections


class Resend:
    """Second send of a call, which most calls do not need.

    The task of the call awaits the first send, so that only a resend needs a
    further task. If the resend is answered first, the wait for the first send
    is ended with a timeout.
    """

    __slots__ = (
        "_first_connection",
        "_send",
        "_wait_ended",
        "_task",
        "_first_aborted",
    )

    def __init__(
        self,
        first_connection: connections.Connection,
        send: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ):
        """Sets the connection of the first send.

        Args:
            first_connection: Connection on which the first send is awaited.
            send: Sends the call again.
        """
        self._first_connection = first_connection
        self._send = send
        self._task: asyncio.Task[outcomes.Outcome] | None = None
        # Whether the task of the call no longer awaits the first send, because
        # it has ended or the call has. Its connection must not be failed then.
        self._wait_ended = False
        # Whether `_end_first` has ended the wait for the first send, because
        # the resend was answered.
        self._first_aborted = False

    def start(self) -> None:
        """Sends the call again, unless it has been resent."""
        if self._task is None:
            self._task = asyncio.create_task(self._send())
            self._task.add_done_callback(self._end_first)

    async def resolve(self, first: outcomes.Outcome) -> outcomes.Outcome:
        """Returns the outcome of the call once the first send has ended.

        Args:
            first: Outcome of the first send.
        """
        self._wait_ended = True
        if self._task is None:
            return first
        if isinstance(first, outcomes.Answered):
            if not self._first_aborted:
                return first
            # The first answer arrived in the iteration of the event loop in
            # which `_end_first` ended the wait for it, so its body is aborted.
            first.release()
        # `_task` is not cleared before its outcome is available, so that
        # `close` releases the answer if the caller disconnects in the same
        # iteration.
        second = await self._task
        self._task = None
        return retries.combine(first, second)

    def close(self) -> None:
        """Cancels a resend that is no longer needed."""
        self._wait_ended = True
        if self._task is None:
            return
        self._task.add_done_callback(outcomes.release_unused)
        self._task.cancel()

    def _end_first(self, task: asyncio.Task[outcomes.Outcome]) -> None:
        """Ends the wait for the first send if the resend was answered."""
        # This callback may already be scheduled when the first send ends. The
        # connection then carries the answer in use, which must not be aborted.
        if self._wait_ended or task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), outcomes.Answered):
            self._first_aborted = True
            self._first_connection.fail_with_timeout()
