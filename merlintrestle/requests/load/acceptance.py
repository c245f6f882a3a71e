"""Acceptance: how many of the calls that it is given a backend server takes.

A backend server may turn calls away though it has room for them, and report
that it is well. The daemon beside it sees all of its calls and knows within a
second; of a large fleet the other daemons send it a call now and then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("requests")

# Weight of the newest call: some ten calls tell a backend server that turns
# every third one away from the others.
_NEWEST = 0.1
# Time in which what was seen loses most of its weight, in seconds. A backend
# server that is given nothing any more could not show that it is well again.
_MEMORY_S = 2.0
# Below this part a backend server counts as one that turns calls away.
_SOUND = 0.8
# What waits for a backend server that takes nothing must stay finite.
_LEAST = 0.1


class Acceptance:
    """The part of the calls that the own backend server took lately."""

    def __init__(self, get_time: Callable[[], float]):
        """Begins with all; `get_time` returns the time in seconds."""
        self._get_time = get_time
        self._refused = 0.0
        self._noted_at = get_time()

    def get(self) -> float:
        """Returns the part that was taken, up to 1."""
        age_s = self._get_time() - self._noted_at
        return max(_LEAST, 1.0 - self._refused * math.exp(-age_s / _MEMORY_S))

    def is_healthy(self) -> bool:
        """Returns whether nearly all calls were taken."""
        # Most backend servers take all calls, and are asked about it at each.
        return not self._refused or self.get() >= _SOUND

    def record(self, taken: bool) -> None:
        """Notes a call that was given to the backend server."""
        if taken and not self._refused:
            return
        was_sound = self.is_healthy()
        refused = 1.0 - self.get()
        self._noted_at = self._get_time()
        self._refused = refused + _NEWEST * ((not taken) - refused)
        if self.is_healthy() != was_sound:
            self._tell_change()

    def _tell_change(self) -> None:
        accepted = round(self.get(), 2)
        if self.is_healthy():
            events.note("backend server takes its calls", accepted=accepted)
        else:
            events.note("backend server sheds", accepted=accepted)
