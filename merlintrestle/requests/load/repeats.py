"""Repeats: calls that run at the own backend server after a first send.

A call that the backend server makes while it runs one of them is a repeat as
well, for it may have been made before. Nothing in such a call tells on whose
behalf it is made.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls


class Repeats:
    """Counts the calls that run at the own backend server."""

    def __init__(self) -> None:
        self._running = 0
        self._repeats = 0

    def begin(self, call: calls.Call) -> bool:
        """Counts a call that is sent to the backend server.

        Returns:
            Whether it is a repeat, for `end`: while it runs the call may be
            sent anew elsewhere, which does not make this run a repeat.
        """
        self._running += 1
        self._repeats += call.repeat
        return call.repeat

    def end(self, repeat: bool) -> None:
        """Counts a call as ended."""
        self._running -= 1
        self._repeats -= repeat

    def get_ratio(self) -> float:
        """Returns the part of the running calls that are repeats."""
        return self._repeats / self._running if self._repeats else 0.0
