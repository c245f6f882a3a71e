"""Refusals of calls that get no slot, with the time to retry after."""

from __future__ import annotations

from merlintrestle.requests.calls import outcomes

# A backend server with a dozen slots has one free every few hundredths of a
# second. Callers that retry this soon may still be answered within the latency
# target.
MIN_RETRY_AFTER_S = 0.05


def refuse_wrong_service() -> outcomes.NotRun:
    """Refuses a call to a service that is not the local one."""
    return outcomes.NotRun(
        "this instance does not serve the service", elsewhere=True
    )


def refuse_not_ready() -> outcomes.NotRun:
    """Refuses a call because the backend server is draining or down."""
    return outcomes.NotRun(
        "the backend server is leaving or down", elsewhere=True
    )


def refuse_too_late() -> outcomes.NotRun:
    """Refuses a call with too little time; a retry may allow more."""
    return outcomes.NotRun(
        "too little time is left for an answer", retry_after_s=MIN_RETRY_AFTER_S
    )


def refuse_no_slots() -> outcomes.NotRun:
    """Refuses a call because the backend server has no slots at all."""
    return _refuse("the backend server has no slots", 1.0)


def refuse_full(retry_after_s: float) -> outcomes.NotRun:
    """Refuses a call for which no slot is free in time."""
    return _refuse("no free slot in time", retry_after_s)


def refuse_unqueued(retry_after_s: float) -> outcomes.NotRun:
    """Refuses a call that has other upstreams before it waits here."""
    return _refuse("no free slot just now", retry_after_s, unqueued=True)


def _refuse(
    reason: str, retry_after_s: float, unqueued: bool = False
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason,
        retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
        elsewhere=True,
        overloaded=True,
        unqueued=unqueued,
    )
