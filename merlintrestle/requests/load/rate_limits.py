"""Rate limit of the calls to the local backend server.

All calls to a backend server pass through the daemon on its instance, so that
daemon alone keeps the limit, however many daemons send calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Default of the time for which unused calls are saved up, in seconds. Without
# them, a limit that is only slightly above the demand would not be used, as
# calls arrive at random times.
_DEFAULT_BURST_S = 0.25
# Lowest rate that is kept, in calls per second. A backend server can lift its
# limit only in an answer, so it still gets a call from time to time.
_MIN_RATE = 0.5
# Shortest delay until the next call, in seconds, so that rounding errors of the
# clock cannot delay a timer by nothing again and again.
_MIN_DELAY_S = 0.001
# Longest time after which a refused caller is told to come back, in seconds.
# Most callers have given up by then.
_MAX_RETURN_DELAY_S = 10.0
# Fraction of a call that may be missing, because of rounding errors.
_TOLERANCE = 1e-6


class RateLimiter:
    """Token bucket for the calls to the local backend server.

    Attributes:
        rate: Calls per second that are allowed; None: no limit.
    """

    def __init__(self, get_time: Callable[[], float], burst_s: float = 0.0):
        """Initializes a limiter without a limit.

        Args:
            get_time: Returns the monotonic time in seconds.
            burst_s: Time for which unused calls are saved up, in seconds;
                0: the default.
        """
        self.rate: float | None = None
        self._burst_s = burst_s or _DEFAULT_BURST_S
        self._get_time = get_time
        self._tokens = 0.0
        self._updated_at = 0.0
        # When the next refused caller may come back, in seconds, by the
        # importance of its class.
        self._next_return_at: dict[int, float] = {}

    def set_rate(self, rate: float | None) -> None:
        """Sets the allowed calls per second; None: no limit.

        A limit that is new starts without saved calls, as the backend server
        has just got more than it wants.
        """
        if rate is None:
            self.rate = None
            self._next_return_at.clear()
            return
        if self.rate is None:
            self._tokens = 0.0
            self._updated_at = self._get_time()
        else:
            self._refill(self.rate)
        self.rate = max(_MIN_RATE, rate)
        self._tokens = min(self._tokens, self._get_capacity(self.rate))

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
            self._tokens = min(
                self._tokens + 1.0, self._get_capacity(self.rate)
            )

    def get_delay(self, calls: int = 1) -> float:
        """Returns after how many seconds a number of calls may be sent."""
        if self.rate is None:
            return 0.0
        self._refill(self.rate)
        missing = calls - self._tokens
        if missing <= _TOLERANCE:
            return 0.0
        return max(_MIN_DELAY_S, missing / self.rate)

    def book_return(self, delay_s: float, importance: int) -> float:
        """Returns after how many seconds a refused caller may come back.

        Refused callers come back one after the other at the rate of the limit.
        If all were told the same time, all but one would be refused again.
        Callers of more important classes do not wait for those of others.

        Args:
            delay_s: Seconds until the limit allows the call, regardless of
                other refused callers.
            importance: Importance of the call's class.
        """
        if self.rate is None:
            return delay_s
        now = self._get_time()
        booked_until = max(
            (
                next_return_at
                for booked, next_return_at in self._next_return_at.items()
                if booked >= importance
            ),
            default=0.0,
        )
        return_at = min(
            max(now + delay_s, booked_until),
            now + max(delay_s, _MAX_RETURN_DELAY_S),
        )
        self._next_return_at[importance] = return_at + 1.0 / self.rate
        return return_at - now

    def _refill(self, rate: float) -> None:
        now = self._get_time()
        gained = (now - self._updated_at) * rate
        self._tokens = min(self._tokens + gained, self._get_capacity(rate))
        self._updated_at = now

    def _get_capacity(self, rate: float) -> float:
        """Returns the greatest number of calls that are saved up."""
        return 1.0 + rate * self._burst_s
