"""Resends of calls to the same address while the first send is in flight."""

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

    The first send is awaited by the task of the call, so that a call without a
    resend needs no further task. An answer to the resend ends that wait.
    """

    __slots__ = (
        "_first_connection",
        "_send",
        "_first_ended",
        "_task",
        "_resend_answered",
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
        # Whether the first send has ended, as seen by the task that awaits it.
        self._first_ended = False
        # Whether an answer to the resend has ended the wait for the first send.
        self._resend_answered = False

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
        self._first_ended = True
        if self._task is None:
            return first
        if isinstance(first, outcomes.Answered):
            if not self._resend_answered:
                return first
            # It arrived in the same loop iteration, and its body was aborted.
            first.release()
        # `_task` stays set until its outcome is taken, so that `close` releases
        # the answer if the caller disconnects in the same iteration.
        latest = await self._task
        self._task = None
        return retries.combine(first, latest)

    def close(self) -> None:
        """Cancels a resend that is no longer needed."""
        self._first_ended = True
        if self._task is None:
            return
        self._task.add_done_callback(outcomes.release_unused)
        self._task.cancel()

    def _end_first(self, task: asyncio.Task[outcomes.Outcome]) -> None:
        # This callback may already be scheduled when the first send ends. The
        # connection then carries the answer in use, which must not be aborted.
        if (
            self._first_ended
            or task.cancelled()
            or task.exception() is not None
        ):
            return
        if isinstance(task.result(), outcomes.Answered):
            self._resend_answered = True
            self._first_connection.expire()
