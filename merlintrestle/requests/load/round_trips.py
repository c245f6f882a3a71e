"""Estimation of the round-trip time to other daemons.

Within an availability zone a round trip takes a fraction of a millisecond, over
a saturated link some tenths of a second. If it were not considered, a refusal
could arrive at the caller's daemon after the call has timed out there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Weight of the latest round trip in the mean.
_EWMA_WEIGHT = 0.2
# Time constant of the exponential decay of the mean, in seconds. Links become
# saturated and free again within about this time.
_DECAY_S = 1.0
# Greatest fraction of the remaining time of a call that is reserved for the
# return trip, so that samples of other calls cannot use up all of the time of a
# call with a short timeout.
_MAX_RESERVED_FRACTION = 0.25


class RoundTripTime:
    """Decaying EWMA of the round-trip time to other daemons."""

    def __init__(self, get_time: Callable[[], float]):
        """Initializes the mean without samples.

        Args:
            get_time: Returns the time in seconds.
        """
        self._get_time = get_time
        self._mean_s = 0.0
        self._updated_at = 0.0

    def estimate_round_trip(self) -> float:
        """Returns the expected round-trip time, in seconds; 0: no samples."""
        if not self._mean_s:
            return 0.0
        age_s = self._get_time() - self._updated_at
        return self._mean_s * math.exp(-age_s / _DECAY_S)

    def record(self, round_trip_s: float) -> None:
        """Records a round trip, without the time spent at the other daemon."""
        mean_s = self.estimate_round_trip() or round_trip_s
        self._updated_at = self._get_time()
        self._mean_s = mean_s + _EWMA_WEIGHT * (round_trip_s - mean_s)

    def estimate_return_trip(self, remaining_s: float) -> float:
        """Returns the time to reserve for the return trip of a refusal.

        It is the time of a whole round trip: the upstream counts the timeout of
        the call from its arrival, so its deadline is later than that of the
        caller's daemon by the trip to the upstream.

        Args:
            remaining_s: Remaining time of the call, in seconds.

        Returns:
            The time in seconds. The mean does not change.
        """
        return min(
            self.estimate_round_trip(),
            _MAX_RESERVED_FRACTION * max(0.0, remaining_s),
        )

    def has_time(self, remaining_s: float) -> bool:
        """Returns whether an answer could arrive in the remaining time."""
        return remaining_s > self.estimate_round_trip()
