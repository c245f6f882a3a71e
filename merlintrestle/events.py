"""Events: what a process decides and what it comes to believe, one line each.

Lines per second are bounded for each event, so that the heaviest day does not
spend its processor time on writing. What was left out is counted in the next
line of that event and in a counter.
"""

from __future__ import annotations

import logging
import time
from typing import Any

import prometheus_client

# Lines of one event per second, and at once after a quiet time. A daemon takes
# in some hundred requests a second; a failure of all of them is told by these.
RATE_PER_S = 20.0
BURST = 100.0

_left_out = prometheus_client.Counter(
    "merlintrestle_log_lines_left_out",
    "Log lines left out to keep to the rate of their event.",
    ("event",),
)


class TokenBucket:
    """Bounds the lines of one event.

    Attributes:
        left_out: Lines left out since the last one that was written.
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens", "left_out")

    def __init__(self, now: float, rate: float, burst: float = BURST):
        self.left_out = 0
        self._at = now
        self._rate = rate
        self._burst = burst
        self._tokens = burst

    def try_take(self, now: float) -> bool:
        """Returns whether one more line may be written."""
        earned = (now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """The events of one part of the program."""

    def __init__(self, part: str, rate: float = RATE_PER_S):
        """Sets the prefix of its lines and the lines of one event a second."""
        self._part = part
        self._rate = rate
        self._logger = logging.getLogger(f"merlintrestle.{part}")
        self._buckets: dict[str, TokenBucket] = {}

    def note(self, event: str, **fields: Any) -> None:
        """Writes an event at level info."""
        self.write(logging.INFO, event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Writes an event that asks for somebody's attention."""
        self.write(logging.WARNING, event, fields)

    def fail(self, event: str, **fields: Any) -> None:
        """Writes an event that keeps the program from doing its work."""
        self.write(logging.ERROR, event, fields)

    def write(
        self,
        level: int,
        event: str,
        fields: dict[str, Any],
        at: float | None = None,
        exception: BaseException | None = None,
    ) -> bool:
        """Writes an event if its rate allows; returns whether it did.

        Args:
            level: Level of `logging`.
            event: Its name.
            fields: What decided it, and what came of it.
            at: When it happened, in s since 1970; None: now.
            exception: What went wrong.
        """
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = TokenBucket(now, self._rate)
        if not bucket.try_take(now):
            _left_out.labels(event).inc()
            return False
        if bucket.left_out:
            fields = {**fields, "left_out": bucket.left_out}
            bucket.left_out = 0
        self.write_unbounded(level, event, fields, at, exception)
        return True

    def write_unbounded(
        self,
        level: int,
        event: str,
        fields: dict[str, Any],
        at: float | None = None,
        exception: BaseException | None = None,
    ) -> None:
        """Writes an event whose rate is bounded elsewhere; see `write`."""
        extra: dict[str, Any] = {"fields": fields}
        if at is not None:
            extra["at"] = at
        self._logger.log(
            level,
            "%s: %s",
            self._part,
            event,
            extra=extra,
            exc_info=exception,
        )
