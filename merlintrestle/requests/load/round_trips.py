"""Ways: what a hop to another daemon and back takes just now.

Within an availability zone it is a fraction of a millisecond, over a link that
is full some tenths of a second. A call that leaves that out of account waits at
its caller's daemon until its time is up, though it was refused long before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Weight of the newest hop.
_NEWEST = 0.2
# Time in which what was seen loses most of its weight, in seconds: links fill
# and empty within it.
_MEMORY_S = 1.0
# Part of the time of a call that is kept for its way at most: what was seen of
# other hops must not take all from one that is short.
_MOST_PART = 0.25


class RoundTripTime:
    """What hops to other daemons took lately."""

    def __init__(self, get_time: Callable[[], float]):
        """Begins with nothing seen; the clock is in seconds."""
        self._get_time = get_time
        self._mean_s = 0.0
        self._noted_at = 0.0

    def get(self) -> float:
        """Returns what a hop there and back takes, in seconds."""
        if not self._mean_s:
            return 0.0
        age_s = self._get_time() - self._noted_at
        return self._mean_s * math.exp(-age_s / _MEMORY_S)

    def record(self, took_s: float) -> None:
        """Takes in a hop that the other daemon answered at once."""
        mean_s = self.get() or took_s
        self._noted_at = self._get_time()
        self._mean_s = mean_s + _NEWEST * (took_s - mean_s)

    def reserve(self, left_s: float) -> float:
        """Returns what a refusal needs to come back in time, in seconds.

        Args:
            left_s: Time that is left of the call.
        """
        return min(self.get(), _MOST_PART * max(0.0, left_s))

    def has_time(self, left_s: float) -> bool:
        """Returns whether an answer could come back in the time left."""
        return left_s > self.get()
