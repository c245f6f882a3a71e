"""Rules for retries and hedges of calls."""

from __future__ import annotations

import dataclasses
import enum
import functools

from merlintrestle import generics
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes

# A call may be hedged after the greatest of this time in seconds, this multiple
# of its latency target and this multiple of its expected work time, if as much
# time remains for the hedge.
_MIN_HEDGE_DELAY_S = 0.25
_HEDGE_LATENCY_TARGET_FACTOR = 3.0
_HEDGE_WORK_FACTOR = 10.0


class Retry(enum.Enum):
    """Whether a failed call may be retried at another upstream."""

    NO = enum.auto()
    # No backend server received the call, so a retry does not amplify the load.
    FREE = enum.auto()
    # The call may have run, or was refused by an overloaded backend server, so
    # the retry is charged to the budget.
    BUDGETED = enum.auto()


@generics.cache_dispatch
@functools.singledispatch
def classify(outcome: object, call: calls.Call) -> Retry:
    """Returns whether a call with this outcome may be retried."""
    raise TypeError(f"not an outcome: {outcome!r}")


@classify.register
def _classify_not_run(outcome: outcomes.NotRun, call: calls.Call) -> Retry:
    if not outcome.elsewhere:
        return Retry.NO
    if not outcome.reached:
        return Retry.FREE
    # If all attempts of this daemon were refused, the call has not run
    # anywhere, and may be retried again. `RetryState.try_charge_retry`
    # rejects other repeats.
    return Retry.BUDGETED if call.repeat else _allow_unless_nested(call)


@classify.register
def _classify_ran(outcome: outcomes.Ran, call: calls.Call) -> Retry:
    return _allow_unless_nested(call) if call.plan.repeatable else Retry.NO


@classify.register
def _classify_unknown(outcome: outcomes.Unknown, call: calls.Call) -> Retry:
    # A call with an idempotency key is safe to retry: the daemon that receives
    # the retry finds the claim of the first attempt and, instead of running the
    # call, requests the answer from the holder of the claim.
    if call.plan.repeatable or call.key:
        return _allow_unless_nested(call)
    return Retry.NO


@classify.register
def _classify_answered(outcome: outcomes.Answered, call: calls.Call) -> Retry:
    if (
        outcome.response.status == outcomes.SHEDDING_STATUS
        and call.plan.repeatable
    ):
        return _allow_unless_nested(call)
    return Retry.NO


@classify.register
def _classify_replayed(outcome: outcomes.Replayed, call: calls.Call) -> Retry:
    return Retry.NO


def _allow_unless_nested(call: calls.Call) -> Retry:
    """Allows a budgeted retry unless the call is a retry or nested in one.

    With calls nested N levels deep and two attempts at each level, the lowest
    service would receive 2**N calls for each call of a caller. With this rule
    it receives at most two, as `Call.attempt_number` is also above 0 for calls
    nested in a call that may be retried.
    """
    return Retry.NO if call.attempt_number else Retry.BUDGETED


def compute_hedge_time(call: calls.Call, now: float) -> float:
    """Returns when a call may be hedged because its first attempt is overdue.

    Without hedges, calls that are sent to an unresponsive upstream before it is
    detected would wait there until their deadlines. The delay is far longer
    than a call takes according to the targets. The deadline is returned, so
    that there is no hedge, if too little time would remain for it or the call
    may not be retried.

    Args:
        call: The call.
        now: When its first attempt is sent, in seconds.

    Returns:
        Time of the event loop, in seconds.
    """
    plan = call.plan
    if not plan.repeatable or plan.large or call.attempt_number:
        return call.deadline
    delay_s = max(
        _MIN_HEDGE_DELAY_S,
        _HEDGE_LATENCY_TARGET_FACTOR * plan.latency_s,
        _HEDGE_WORK_FACTOR * plan.work_s,
    )
    if now + 2 * delay_s > call.deadline or not call.body.replayable:
        return call.deadline
    return now + delay_s


def combine(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the outcome of a call after several attempts.

    If the last attempt was refused, an earlier attempt may still have run, so
    the call must not be reported as "not run".

    Args:
        earlier: Combined outcome of the earlier attempts; None if there were
            none.
        latest: Outcome of the last attempt.
    """
    if isinstance(latest, outcomes.NotRun) and isinstance(
        earlier, (outcomes.Ran, outcomes.Unknown)
    ):
        return earlier
    if isinstance(latest, outcomes.Unknown) and isinstance(
        earlier, outcomes.Ran
    ):
        return earlier
    if (
        isinstance(latest, outcomes.NotRun)
        and isinstance(earlier, outcomes.NotRun)
        and (latest.rate_limited or earlier.rate_limited)
    ):
        return _choose_earlier_return(earlier, latest)
    return latest


def _choose_earlier_return(
    earlier: outcomes.NotRun, latest: outcomes.NotRun
) -> outcomes.NotRun:
    """Returns the latest refusal with the shorter of both retry delays.

    A backend server with a rate limit may accept the call much later than
    another one that is only full at the moment.
    """
    delays_s = [
        refusal.retry_after_s
        for refusal in (earlier, latest)
        if refusal.retry_after_s is not None
    ]
    return dataclasses.replace(
        latest, retry_after_s=min(delays_s, default=None)
    )
