"""Decision logs of calls, written once their outcome is known.

The outcome of a call determines how much is logged about it, so its decisions
are kept in memory until the call ends. If a call failed, was refused or was
retried, all its decisions are written, with the times at which they were made.
For other calls, a single line is written. Both kinds of logs have a maximum
rate.
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

# Maximum sustained rate of complete decision logs. With about 8 lines of 250
# bytes each, they take at most 20 KB/s. A burst of up to
# `event_logs.MAX_BURST_LINES` logs may exceed this rate.
MAX_COMPLETE_LOGS_PER_S = 10.0
# Maximum rate of lines about successful calls, without bursts.
MAX_SUCCESS_LINES_PER_S = 1.0
# Maximum sustained rate of lines about requests that were not admitted.
MAX_NOT_ADMITTED_LINES_PER_S = 10.0

_Fields = dict[str, Any] | Callable[[], dict[str, Any]]

events = event_logs.EventLog("requests")
_left_out_counter = prometheus_client.Counter(
    "merlintrestle_stories_left_out",
    "Requests whose decisions were not logged, to keep to the rate.",
    ("end",),
)
_complete_log_bucket = event_logs.TokenBucket(
    time.monotonic(), MAX_COMPLETE_LOGS_PER_S
)
_not_admitted_bucket = event_logs.TokenBucket(
    time.monotonic(), MAX_NOT_ADMITTED_LINES_PER_S
)
_success_bucket = event_logs.TokenBucket(
    time.monotonic(), MAX_SUCCESS_LINES_PER_S, burst=MAX_SUCCESS_LINES_PER_S
)


class DecisionLog:
    """Decisions that one daemon made about a call.

    Attributes:
        request_id: Id of the request, the same at each daemon on its path.
    """

    __slots__ = ("_decisions", "request_id")

    def __init__(self, request_id: str):
        """Initializes an empty log.

        Args:
            request_id: Id of the request.
        """
        self.request_id = request_id
        self._decisions: list[tuple[float, str, _Fields]] = []

    def add(self, event: str, **fields: Any) -> None:
        """Adds a decision.

        Args:
            event: Event text of the decision.
            **fields: The values on which it was based, and their age.
        """
        self._decisions.append((time.time(), event, fields))

    def add_lazy(
        self, event: str, build_fields: Callable[[], dict[str, Any]]
    ) -> None:
        """Adds a decision whose fields are built only if they are written.

        Args:
            event: Event text of the decision.
            build_fields: Returns the fields. It is called when the log is
                written, but must return the values at the time of the decision.
        """
        self._decisions.append((time.time(), event, build_fields))

    @property
    def has_retry_decision(self) -> bool:
        """True if the call was retried, or retries of it were abandoned."""
        return any(event in _RETRY_DECISIONS for _, event, _ in self._decisions)

    def write(self, end: str, successful: bool, **fields: Any) -> None:
        """Writes the log if the outcome of the call and the rate allow it.

        Args:
            end: Event text of the end of the call.
            successful: Whether the call succeeded. If so, its decisions are
                only of interest if it was retried.
            **fields: Fields of the last line, such as the status that the
                caller got.
        """
        complete = not successful or self.has_retry_decision
        bucket = _complete_log_bucket if complete else _success_bucket
        if not bucket.try_take(time.monotonic()):
            _get_left_out_counter(end).inc()
            return
        if complete:
            for decided_at, event, fields_or_builder in self._decisions:
                decision_fields = (
                    fields_or_builder()
                    if callable(fields_or_builder)
                    else fields_or_builder
                )
                self._write_line(event, decision_fields, decided_at)
        if bucket.omitted:
            fields["left_out"] = bucket.omitted
            bucket.omitted = 0
        self._write_line(end, fields, None)

    def _write_line(
        self, event: str, fields: dict[str, Any], at: float | None
    ) -> None:
        events.write_unbounded(
            logging.INFO, event, {"request": self.request_id, **fields}, at
        )


@functools.cache
def _get_left_out_counter(end: str) -> prometheus_client.Counter:
    """Returns the counter of omitted logs for one end event.

    It is cached, as `prometheus_client` acquires a lock to look it up.
    """
    return _left_out_counter.labels(end)


# Event texts of the decisions that `requests.serving.dispatch` records for a
# retry and for a failure after which no further retry is made. A call with one
# of them gets a complete log even if it succeeded.
_RETRY_DECISIONS = frozenset(("sent again", "given up"))


def write_cancellation(
    decision_log: DecisionLog, error: BaseException, elapsed_s: float
) -> None:
    """Writes the log of a call that was ended by an exception.

    This is usually a cancellation, as its caller or daemon disconnected.

    Args:
        decision_log: The decision log of the call.
        error: The exception that ended the call.
        elapsed_s: Time since the start of the call, in seconds.
    """
    decision_log.write(
        "cut",
        False,
        cause=type(error).__name__,
        elapsed_ms=round(elapsed_s * 1000),
    )


def write_outcome(
    decision_log: DecisionLog,
    outcome: outcomes.Outcome,
    elapsed_s: float,
) -> None:
    """Writes the log of a call that got its final answer.

    Args:
        decision_log: The decision log of the call.
        outcome: The outcome of the call.
        elapsed_s: Time since the start of the call, in seconds.
    """
    elapsed_ms = round(elapsed_s * 1000)
    if isinstance(outcome, outcomes.Answered):
        status = outcome.response.status
        successful = (
            status < outcomes.MIN_SERVER_ERROR_STATUS and not outcome.truncated
        )
        end = "answer cut" if outcome.truncated else "answered"
        decision_log.write(
            end, successful, status=status, elapsed_ms=elapsed_ms
        )
        return
    if isinstance(outcome, outcomes.Replayed):
        decision_log.write("answered again", True, status=outcome.status)
        return
    decision_log.write(
        outcomes.FAILURE_NAMES[type(outcome)],
        False,
        status=outcome.status,
        reason=outcome.reason,
        retry_after_s=outcome.retry_after_s,
        elapsed_ms=elapsed_ms,
    )


def write_not_admitted(
    request_id: str, cause: str, refusal: outcomes.NotRun
) -> None:
    """Writes a line about a request that was not admitted to its workspace.

    Such requests have a rate of their own: a flood of them must not displace
    the logs of calls. A request without an id gets no line, as none could find
    it.

    Args:
        request_id: Id of the request; empty if it has none.
        cause: What it was refused for: "key", "freshness" or "quota".
        refusal: The refusal.
    """
    if not request_id:
        return
    # The next line states the number of omitted ones. Counting each in a metric
    # would take as long as the refusal.
    if not _not_admitted_bucket.try_take(time.monotonic()):
        return
    fields: dict[str, Any] = {
        "request": request_id,
        "cause": cause,
        "status": refusal.status,
        "reason": refusal.reason,
        "retry_after_s": refusal.retry_after_s,
    }
    if _not_admitted_bucket.omitted:
        fields["left_out"] = _not_admitted_bucket.omitted
        _not_admitted_bucket.omitted = 0
    events.write_unbounded(logging.INFO, "not admitted", fields)


def build_outcome_fields(outcome: outcomes.Outcome) -> dict[str, Any]:
    """Returns the log fields that describe the outcome of an attempt."""
    if isinstance(outcome, outcomes.Answered):
        return {"outcome": "answered", "status": outcome.response.status}
    if isinstance(outcome, outcomes.Replayed):
        return {"outcome": "answered again", "status": outcome.status}
    return {
        "outcome": outcomes.FAILURE_NAMES[type(outcome)],
        "reason": outcome.reason,
    }
