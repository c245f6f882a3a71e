"""Measurement of the fraction of calls that a backend server accepts.

A backend server may reject calls though it has free slots and reports that it
is healthy. Its local daemon sees all calls to it and detects this within a
second, so that daemon measures the acceptance rate and reports it to the other
daemons. In a large fleet, each of these sends it calls too rarely to detect it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("requests")

# Weight of the latest call in the moving average. About ten calls suffice to
# distinguish a backend server that rejects every third call from the others.
_EWMA_WEIGHT = 0.1
# Time constant of the exponential decay of recorded rejections, in seconds.
# Without decay, a backend server that gets no more calls could not show that it
# has recovered.
_DECAY_S = 2.0
# Minimum acceptance rate of a healthy backend server.
_MIN_HEALTHY_RATE = 0.8
# Lower limit of the acceptance rate: the expected wait for a backend server
# that accepts nothing must stay finite.
_MIN_RATE = 0.1


class AcceptanceRate:
    """Recent fraction of calls that the local backend server accepted."""

    def __init__(self, get_time: Callable[[], float]):
        """Starts with a rate of 1.

        Args:
            get_time: Returns the monotonic time in seconds.
        """
        self._get_time = get_time
        self._rejected_ratio = 0.0
        self._recorded_at = get_time()

    def get(self) -> float:
        """Returns the accepted fraction, at most 1."""
        age_s = self._get_time() - self._recorded_at
        return max(
            _MIN_RATE, 1.0 - self._rejected_ratio * math.exp(-age_s / _DECAY_S)
        )

    def is_healthy(self) -> bool:
        """Returns whether nearly all calls were accepted."""
        # Fast path: this is checked for each call, and most backend servers
        # accept all calls.
        return not self._rejected_ratio or self.get() >= _MIN_HEALTHY_RATE

    def record(self, accepted: bool) -> None:
        """Records whether the backend server accepted a call."""
        if accepted and not self._rejected_ratio:
            return
        was_healthy = self.is_healthy()
        rejected_ratio = 1.0 - self.get()
        self._recorded_at = self._get_time()
        self._rejected_ratio = rejected_ratio + _EWMA_WEIGHT * (
            (not accepted) - rejected_ratio
        )
        if self.is_healthy() != was_healthy:
            self._log_change()

    def _log_change(self) -> None:
        accepted = round(self.get(), 2)
        if self.is_healthy():
            events.note("backend server takes its calls", accepted=accepted)
        else:
            events.note("backend server sheds", accepted=accepted)
