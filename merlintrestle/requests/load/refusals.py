"""Refusals: what callers hear that get no slot, and when they may come back."""

from __future__ import annotations

from merlintrestle.requests.calls import outcomes

# A backend server with a dozen slots has one free every few hundredths of a
# second. Callers that come back so soon may still be answered within the
# target.
LEAST_RETRY_S = 0.05


def refuse_foreign() -> outcomes.NotRun:
    """Refuses a call of a service that the own backend server does not have."""
    return outcomes.NotRun(
        "this instance does not serve the service", elsewhere=True
    )


def refuse_leaving() -> outcomes.NotRun:
    """Refuses a call as the backend server takes none."""
    return outcomes.NotRun(
        "the backend server is leaving or down", elsewhere=True
    )


def refuse_late() -> outcomes.NotRun:
    """Refuses a call whose time is too short; it may come back with more."""
    return outcomes.NotRun(
        "too little time is left for an answer", retry_after_s=LEAST_RETRY_S
    )


def refuse_slotless() -> outcomes.NotRun:
    """Refuses a call as the backend server has not a single slot."""
    return _refuse("the backend server has no slots", 1.0)


def refuse_full(back_s: float) -> outcomes.NotRun:
    """Refuses a call for which no slot comes free in time."""
    return _refuse("no free slot in time", back_s)


def refuse_unqueued(back_s: float) -> outcomes.NotRun:
    """Refuses a call that may go elsewhere, before it waits."""
    return _refuse("no free slot just now", back_s, unqueued=True)


def _refuse(
    reason: str, retry_after_s: float, unqueued: bool = False
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason,
        retry_after_s=max(LEAST_RETRY_S, retry_after_s),
        elsewhere=True,
        overloaded=True,
        unqueued=unqueued,
    )
