"""Standing: whether this daemon takes requests, and which are in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests import interfaces


class ServingState:
    """What the two ports of a daemon share.

    Attributes:
        in_flight: Calls that are not yet answered whole.
        leaving: True once callers are to find another daemon.
        leaving_peers: True once other daemons are to send calls elsewhere.
        draining: True once new work is refused.
    """

    def __init__(self, holder: interfaces.Holder):
        """Sets what holds the version that runs."""
        self.in_flight = 0
        self.leaving = False
        self.leaving_peers = False
        self.draining = False
        self._holder = holder
        self._idle = asyncio.Event()
        self._idle.set()

    def get_running(
        self, nested: bool = False
    ) -> snapshot.Snapshot | outcomes.NotRun:
        """Returns the version that runs, or why no request is taken.

        Args:
            nested: The request is made on behalf of one that may be in flight
                here; refused, that one would be cut off after all.
        """
        if self.draining and not nested:
            return outcomes.NotRun("this daemon is stopping", elsewhere=True)
        running = self._holder.running
        if running is None:
            return outcomes.NotRun(
                f"this daemon is closed: {self._holder.closed_reason}",
                elsewhere=True,
            )
        return running

    def enter(self) -> None:
        """Counts a call that begins."""
        self.in_flight += 1
        self._idle.clear()

    def leave(self) -> None:
        """Counts a call that has ended."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Waits until no call is in flight."""
        await self._idle.wait()
