"""Stories: the decisions about one request, logged when its end is known.

What became of a request decides whether its decisions are worth their lines.
They are kept in memory until then, and those of a request that failed, was
refused or was sent again are written whole, with the times at which they were
made. Of requests that went well one line is written now and then.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging
import time
from typing import Any

import prometheus_client

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import outcomes

# Stories of failed requests written per second: with some 8 lines of 250 bytes
# each, 20 KB/s at most.
STORIES_PER_S = 10.0
# Lines per second about requests that went well.
GOOD_PER_S = 1.0

_Fields = dict[str, Any] | Callable[[], dict[str, Any]]

events = event_logs.EventLog("requests")
_left_out = prometheus_client.Counter(
    "merlintrestle_stories_left_out",
    "Requests whose decisions were not logged, to keep to the rate.",
    ("end",),
)
_bad = event_logs.Bucket(time.monotonic(), STORIES_PER_S)
_good = event_logs.Bucket(time.monotonic(), GOOD_PER_S, burst=GOOD_PER_S)


class Story:
    """The decisions about one request at one daemon."""

    __slots__ = ("_lines", "request_id")

    def __init__(self, request_id: str):
        """Sets the id, the same at each daemon on the way."""
        self.request_id = request_id
        self._lines: list[tuple[float, str, _Fields]] = []

    def add(self, event: str, **fields: Any) -> None:
        """Notes a decision, what decided it and how old that was."""
        self._lines.append((time.time(), event, fields))

    def add_later(
        self, event: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Notes a decision whose fields are made only if they are written.

        Args:
            event: What was decided.
            describe: Returns the fields, of values as they are now.
        """
        self._lines.append((time.time(), event, describe))

    @property
    def is_long(self) -> bool:
        """True if the request was sent more than once or had to wait."""
        return any(event in _REMARKABLE for _, event, _ in self._lines)

    def end(self, end: str, good: bool, **fields: Any) -> None:
        """Writes the story if its end and the rate of stories allow.

        Args:
            end: What became of the request.
            good: Whether nobody will ask why.
            fields: What the caller got.
        """
        worth_telling = not good or self.is_long
        bucket = _bad if worth_telling else _good
        if not bucket.take(time.monotonic()):
            _get_left_out(end).inc()
            return
        if worth_telling:
            for at, event, line in self._lines:
                described = line() if callable(line) else line
                self._write(event, described, at)
        if bucket.left_out:
            fields["left_out"] = bucket.left_out
            bucket.left_out = 0
        self._write(end, fields, None)

    def _write(
        self, event: str, fields: dict[str, Any], at: float | None
    ) -> None:
        events.write_unbounded(
            logging.INFO, event, {"request": self.request_id, **fields}, at
        )


@functools.cache
def _get_left_out(end: str) -> prometheus_client.Counter:
    """Returns the counter of one end; the library looks it up under a lock."""
    return _left_out.labels(end)


# Decisions that make the story of a request that went well worth its lines.
_REMARKABLE = frozenset(("sent again", "given up"))


def end_cut(story: Story, error: BaseException, elapsed_s: float) -> None:
    """Ends the story of a request whose sender left or was cut off."""
    story.end(
        "cut",
        False,
        cause=type(error).__name__,
        elapsed_ms=round(elapsed_s * 1000),
    )


def end_story(
    story: Story,
    outcome: outcomes.Outcome,
    elapsed_s: float,
) -> None:
    """Ends the story of a request that got its final answer."""
    elapsed_ms = round(elapsed_s * 1000)
    if isinstance(outcome, outcomes.Answered):
        status = outcome.response.status
        good = (
            status < outcomes.MIN_SERVER_ERROR_STATUS and not outcome.truncated
        )
        end = "answer cut" if outcome.truncated else "answered"
        story.end(end, good, status=status, elapsed_ms=elapsed_ms)
        return
    if isinstance(outcome, outcomes.Replayed):
        story.end("answered again", True, status=outcome.status)
        return
    story.end(
        outcomes.FAILURE_NAMES[type(outcome)],
        False,
        status=outcome.status,
        reason=outcome.reason,
        retry_after_s=outcome.retry_after_s,
        elapsed_ms=elapsed_ms,
    )


def describe(outcome: outcomes.Outcome) -> dict[str, Any]:
    """Returns what one try at an upstream came to, as fields of a line."""
    if isinstance(outcome, outcomes.Answered):
        return {"outcome": "answered", "status": outcome.response.status}
    if isinstance(outcome, outcomes.Replayed):
        return {"outcome": "answered again", "status": outcome.status}
    return {
        "outcome": outcomes.FAILURE_NAMES[type(outcome)],
        "reason": outcome.reason,
    }
