"""Calls that wait for a slot of the local backend server."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for a slot; sorted in the order of service.

    Attributes:
        late: Whether the call misses its latency target even without a wait.
        latency_deadline: Time of the event loop by which the latency target is
            met, in seconds.
        granted: Resolves to True if the call gets a slot, False if it stops
            waiting without one.
        workspace: Name of the caller's workspace; empty if there is none.
    """

    late: bool
    latency_deadline: float
    granted: asyncio.Future[bool]
    workspace: str = ""

    def __lt__(self, other: Waiter) -> bool:
        return (self.late, self.latency_deadline) < (
            other.late,
            other.latency_deadline,
        )

    def stop_waiting(self) -> None:
        """Ends the wait without a slot, unless one is granted already."""
        if not self.granted.done():
            self.granted.set_result(False)
