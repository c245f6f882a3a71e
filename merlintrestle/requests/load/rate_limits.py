"""Rate limit of the calls to the local backend server.

All calls to a backend server pass through the daemon on its instance, so that
daemon alone keeps the limit, however many daemons send calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Time for which unused calls are saved up for a burst, in seconds. Without it,
# a limit that is only slightly above the demand would not be used, as calls
# arrive at random times.
_BURST_S = 0.25
# Lowest rate that is kept, in calls per second. A backend server can lift its
# limit only in an answer, so it still gets a call from time to time.
_MIN_RATE = 0.5
# Shortest delay until the next call, in seconds, so that rounding errors of the
# clock cannot delay a timer by nothing again and again.
_MIN_DELAY_S = 0.001
# Fraction of a call that may be missing, because of rounding errors.
_TOLERANCE = 1e-6


class RateLimiter:
    """Token bucket for the calls to the local backend server.

    Attributes:
        rate: Calls per second that are allowed; None: no limit.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes a limiter without a limit.

        Args:
            get_time: Returns the monotonic time in seconds.
        """
        self.rate: float | None = None
        self._get_time = get_time
        self._tokens = 0.0
        self._updated_at = 0.0

    def set_rate(self, rate: float | None) -> None:
        """Sets the allowed calls per second; None: no limit.

        A limit that is new starts without saved calls, as the backend server
        has just got more than it wants.
        """
        if rate is None:
            self.rate = None
            return
        if self.rate is None:
            self._tokens = 0.0
            self._updated_at = self._get_time()
        else:
            self._refill(self.rate)
        self.rate = max(_MIN_RATE, rate)
        self._tokens = min(self._tokens, _get_capacity(self.rate))

    def may_send(self) -> bool:
        """Returns whether a call may be sent now."""
        if self.rate is None:
            return True
        self._refill(self.rate)
        return self._tokens >= 1.0 - _TOLERANCE

    def record_send(self) -> None:
        """Counts a call, also one that is sent though `may_send` is False."""
        if self.rate is not None:
            self._refill(self.rate)
            self._tokens -= 1.0

    def cancel_send(self) -> None:
        """Undoes `record_send` for a call that was not sent."""
        if self.rate is not None:
            self._tokens = min(self._tokens + 1.0, _get_capacity(self.rate))

    def get_delay(self, calls: int = 1) -> float:
        """Returns after how many seconds a number of calls may be sent."""
        if self.rate is None:
            return 0.0
        self._refill(self.rate)
        missing = calls - self._tokens
        if missing <= _TOLERANCE:
            return 0.0
        return max(_MIN_DELAY_S, missing / self.rate)

    def _refill(self, rate: float) -> None:
        now = self._get_time()
        gained = (now - self._updated_at) * rate
        self._tokens = min(self._tokens + gained, _get_capacity(rate))
        self._updated_at = now


def _get_capacity(rate: float) -> float:
    """Returns the greatest number of calls that are saved up."""
    return 1.0 + rate * _BURST_S
