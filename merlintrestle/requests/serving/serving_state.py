"""Serving state of a daemon, with its calls in flight and drain flags."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests import interfaces


STOPPING = outcomes.NotRun("this daemon is stopping", elsewhere=True)


class ServingState:
    """State shared by the caller port and the peer port of a daemon.

    Attributes:
        in_flight: Number of calls whose answers are not yet complete.
        caller_keep_alive_disabled: True once each answer to a caller closes
            its connection, so that callers connect to another daemon.
        peer_keep_alive_disabled: True once each answer to another daemon
            closes its connection.
        draining: True once new work is refused.
        drain_ends_at: Event loop time at which the drain ends and connections
            are closed, in seconds; set once `draining` is.
    """

    def __init__(self, active_version: interfaces.ActiveVersion):
        """Initializes the state.

        Args:
            active_version: The active configuration version.
        """
        self.in_flight = 0
        self.caller_keep_alive_disabled = False
        self.peer_keep_alive_disabled = False
        self.draining = False
        self.drain_ends_at = 0.0
        self._active_version = active_version
        self._idle = asyncio.Event()
        self._idle.set()

    def begin_drain(self, ends_at: float) -> None:
        """Begins to refuse new work.

        Args:
            ends_at: Event loop time at which the drain ends, in seconds.
        """
        self.draining = True
        self.drain_ends_at = ends_at

    def get_active_snapshot(self) -> snapshot.Snapshot | outcomes.NotRun:
        """Returns the snapshot of the active configuration, or a refusal."""
        active_snapshot = self._active_version.active_snapshot
        if active_snapshot is None:
            return outcomes.NotRun(
                f"this daemon is closed: {self._active_version.closed_reason}",
                elsewhere=True,
            )
        return active_snapshot

    def begin_call(self) -> None:
        """Counts a call as in flight."""
        self.in_flight += 1
        self._idle.clear()

    def end_call(self) -> None:
        """Counts a call as ended."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Waits until no call is in flight."""
        await self._idle.wait()
