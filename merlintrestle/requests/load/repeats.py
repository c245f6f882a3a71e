"""Tracking of the repeats that run at the local backend server.

A repeat is a run of a call that may have run before. A call that the backend
server makes while it runs a repeat is a repeat as well, because it may also
have been made before. Such a nested call does not identify its parent call. The
probability that it is a repeat is therefore estimated as the fraction of the
running calls that are repeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls


class Repeats:
    """Numbers of running calls and repeats at the local backend server."""

    def __init__(self) -> None:
        self._running = 0
        self._repeats = 0

    def begin(self, call: calls.Call) -> bool:
        """Counts a call that begins to run at the backend server.

        Returns:
            Whether this run is a repeat, to be passed to `end`. While it runs,
            the call may be sent to another upstream, which sets `call.repeat`
            but does not make this run a repeat.
        """
        self._running += 1
        self._repeats += call.repeat
        return call.repeat

    def end(self, repeat: bool) -> None:
        """Counts a call that has ended.

        Args:
            repeat: Whether the run was a repeat, as returned by `begin`.
        """
        self._running -= 1
        self._repeats -= repeat

    def get_ratio(self) -> float:
        """Returns the fraction of the running calls that are repeats."""
        return self._repeats / self._running if self._repeats else 0.0
