"""Rate-limited log events for decisions and state changes of a process.

The lines per second of each event are limited, so that logging does not use up
the processor time under heavy load. Omitted lines are counted in the next line
of that event and in a metric.
"""

from __future__ import annotations

import logging
import time
from typing import Any

import prometheus_client

ERROR = logging.ERROR
# Maximum rate of the lines of one event. A daemon receives about a hundred
# requests per second; if all of them fail, this rate is enough to show it.
MAX_LINES_PER_S = 20.0
# Maximum number of lines of one event that are written at once after a pause.
MAX_BURST_LINES = 100.0

_omitted_lines_counter = prometheus_client.Counter(
    "merlintrestle_log_lines_left_out",
    "Log lines left out to keep to the rate of their event.",
    ("event",),
)


class TokenBucket:
    """Token bucket that limits the lines of one event.

    Attributes:
        omitted: Number of lines omitted since the last written line.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at", "omitted")

    def __init__(self, now: float, rate: float, burst: float = MAX_BURST_LINES):
        self.omitted = 0
        self._updated_at = now
        self._rate = rate
        self._burst = burst
        self._tokens = burst

    def try_take(self, now: float) -> bool:
        """Takes a token for one line; returns False if there is none.

        Args:
            now: The current monotonic time, in seconds.
        """
        refill = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1:
            self.omitted += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Event logger of one component of the program."""

    def __init__(self, component: str, rate: float = MAX_LINES_PER_S):
        """Initializes the logger.

        Args:
            component: Name of the component; the prefix of each line.
            rate: Maximum lines of one event, per second.
        """
        self._component = component
        self._rate = rate
        self._logger = logging.getLogger(f"merlintrestle.{component}")
        self._buckets: dict[str, TokenBucket] = {}

    def note(self, event: str, **fields: Any) -> None:
        """Writes an event at level INFO."""
        self.write(logging.INFO, event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Writes an event that needs attention, at level WARNING."""
        self.write(logging.WARNING, event, fields)

    def fail(self, event: str, **fields: Any) -> None:
        """Writes an event that prevents normal operation, at level ERROR."""
        self.write(logging.ERROR, event, fields)

    def write(
        self,
        level: int,
        event: str,
        fields: dict[str, Any],
        at: float | None = None,
        exception: BaseException | None = None,
    ) -> bool:
        """Writes an event unless it exceeds its rate.

        Args:
            level: Level of `logging`.
            event: Name of the event.
            fields: Causes and effects of the event.
            at: Time of the event, in s since 1970; None: now.
            exception: Exception that caused the event.

        Returns:
            Whether the event was written.
        """
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = TokenBucket(now, self._rate)
        if not bucket.try_take(now):
            _omitted_lines_counter.labels(event).inc()
            return False
        if bucket.omitted:
            fields = {**fields, "left_out": bucket.omitted}
            bucket.omitted = 0
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
        """Writes an event without limiting its rate, which the caller does.

        See `write` for the arguments.
        """
        extra: dict[str, Any] = {"fields": fields}
        if at is not None:
            extra["at"] = at
        self._logger.log(
            level,
            "%s: %s",
            self._component,
            event,
            extra=extra,
            exc_info=exception,
        )
