"""Collection of the garbage that ended connections leave.

The thresholds of the garbage collector are high, as reference counts free what
ordinary calls leave. Connections that end while their requests are handled
leave cycles, and many of them at once would fill the memory before it runs.
"""

from __future__ import annotations

import gc
import time

# Connections that end before their garbage is collected.
_MIN_ENDED = 400
# Maximum part of the time that collections take.
_MAX_TIME_PART = 0.05


class GarbageCollection:
    """Runs the garbage collector after many connections have ended."""

    def __init__(self) -> None:
        self._ended = 0
        self._next_at = 0.0

    def count_ended(self) -> None:
        """Counts a connection that ended while its request was handled."""
        self._ended += 1

    def run_if_due(self) -> None:
        """Collects garbage if enough connections have ended."""
        began_at = time.monotonic()
        if self._ended < _MIN_ENDED or began_at < self._next_at:
            return
        self._ended = 0
        gc.collect()
        ended_at = time.monotonic()
        self._next_at = ended_at + (ended_at - began_at) / _MAX_TIME_PART
