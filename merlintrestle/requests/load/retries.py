"""Rules for retries and hedges of calls."""

from __future__ import annotations

import enum
import functools

from merlintrestle import generics
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes

# A call may be hedged after the greatest of this time, a multiple of its
# latency target and a multiple of its expected work time, if as much time
# remains for the hedge.
_MIN_HEDGE_DELAY_S = 0.25
_LATENCY_TARGET_FACTOR = 3.0
_WORK_FACTOR = 10.0


class Retry(enum.Enum):
    """Whether a failed call may be retried at another upstream."""

    NO = enum.auto()
    # No backend server received it, so a retry does not amplify the load.
    FREE = enum.auto()
    # It may have run, or was refused by an overloaded backend server, so the
    # retry is charged to the budget.
    BUDGETED = enum.auto()


@generics.remember_choices
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
    # A repeat that only this daemon sent, and that was refused each time, has
    # not run anywhere.
    return Retry.BUDGETED if call.repeat else _forbid_nested(call)


@classify.register
def _classify_ran(outcome: outcomes.Ran, call: calls.Call) -> Retry:
    return _forbid_nested(call) if call.plan.repeatable else Retry.NO


@classify.register
def _classify_unknown(outcome: outcomes.Unknown, call: calls.Call) -> Retry:
    # A call with an idempotency key is safe to retry: the daemon that receives
    # it finds the claim of the first attempt, and asks the holder for the
    # answer instead of running the call.
    if call.plan.repeatable or call.key:
        return _forbid_nested(call)
    return Retry.NO


@classify.register
def _classify_answered(outcome: outcomes.Answered, call: calls.Call) -> Retry:
    if (
        outcome.response.status == outcomes.SHEDDING_STATUS
        and call.plan.repeatable
    ):
        return _forbid_nested(call)
    return Retry.NO


@classify.register
def _classify_replayed(outcome: outcomes.Replayed, call: calls.Call) -> Retry:
    return Retry.NO


def _forbid_nested(call: calls.Call) -> Retry:
    """Forbids retries of retries, and retries below a call that has its own.

    With calls nested N levels deep and two attempts at each level, the lowest
    service would receive 2**N calls for each call of a caller. With this rule
    it receives at most two.
    """
    return Retry.NO if call.attempt else Retry.BUDGETED


def compute_hedge_time(call: calls.Call, now: float) -> float:
    """Returns when a call may be hedged, as its first attempt takes too long.

    Without hedges a frozen upstream would use up the whole time of each call
    that is sent to it before it is known to be frozen. The delay is far longer
    than the targets expect a call to take. If no time or no further attempt
    would remain, the deadline is returned, so that there is no hedge.

    Args:
        call: The call.
        now: Time of its first attempt, in seconds.

    Returns:
        Time of the event loop, in seconds.
    """
    plan = call.plan
    if not plan.repeatable or plan.large or call.attempt:
        return call.deadline
    delay_s = max(
        _MIN_HEDGE_DELAY_S,
        _LATENCY_TARGET_FACTOR * plan.latency_s,
        _WORK_FACTOR * plan.work_s,
    )
    if now + 2 * delay_s > call.deadline or not call.body.replayable:
        return call.deadline
    return now + delay_s


def combine(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the outcome of a call after several attempts.

    If the last attempt was refused, an earlier one may still have run, so the
    call must not be reported as "not run".

    Args:
        earlier: Outcome of the attempts before; None: there were none.
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
    return latest
