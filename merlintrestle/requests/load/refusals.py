"""Refusals of calls that get no slot, with retry delays."""

from __future__ import annotations

from merlintrestle.requests.calls import outcomes

# Shortest retry delay, in seconds. On a backend server with a dozen slots, one
# becomes free every few hundredths of a second. Callers that retry this soon
# may still be answered within their latency target.
MIN_RETRY_AFTER_S = 0.05
_RATE_LIMITED = "the rate limit of the backend server is reached"


def refuse_wrong_service() -> outcomes.NotRun:
    """Refuses a call to a service other than that of the backend server."""
    return outcomes.NotRun(
        "this instance does not serve the service", elsewhere=True
    )


def refuse_not_ready() -> outcomes.NotRun:
    """Refuses a call because the backend server is draining or down."""
    return outcomes.NotRun(
        "the backend server is leaving or down", elsewhere=True
    )


def refuse_too_late() -> outcomes.NotRun:
    """Refuses a call that cannot end in time; its retry may have more time."""
    return outcomes.NotRun(
        "too little time is left for an answer", retry_after_s=MIN_RETRY_AFTER_S
    )


def refuse_no_slots() -> outcomes.NotRun:
    """Refuses a call because the backend server has no slots at all."""
    return _refuse("the backend server has no slots", 1.0)


def refuse_full(
    retry_after_s: float, rate_limited: bool = False
) -> outcomes.NotRun:
    """Refuses a call that can't be sent to the backend server in time.

    Args:
        retry_after_s: Retry delay, in seconds.
        rate_limited: Whether the rate limit of the backend server is why.
    """
    reason = _RATE_LIMITED if rate_limited else "no free slot in time"
    return _refuse(reason, retry_after_s, rate_limited=rate_limited)


def refuse_without_waiting(
    retry_after_s: float, rate_limited: bool = False
) -> outcomes.NotRun:
    """Refuses a call that should try other upstreams instead of waiting here.

    Args:
        retry_after_s: How long the call would wait here, in seconds. The
            calling daemon compares it with the waits at other upstreams.
        rate_limited: Whether the rate limit of the backend server is why.
    """
    reason = _RATE_LIMITED if rate_limited else "no free slot just now"
    return _refuse(
        reason, retry_after_s, unqueued=True, rate_limited=rate_limited
    )


def _refuse(
    reason: str,
    retry_after_s: float,
    unqueued: bool = False,
    rate_limited: bool = False,
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason,
        retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
        elsewhere=True,
        overloaded=True,
        unqueued=unqueued,
        rate_limited=rate_limited,
    )
