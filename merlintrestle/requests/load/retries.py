"""Retries: which failed calls are tried again, and how many in all."""

from __future__ import annotations

import enum
import functools

from merlintrestle import generics
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes

# A first try is in doubt after the greatest of these, if as much is left for
# another: this time, and multiples of the latency target and of the expected
# work.
_LEAST_TRY_S = 0.25
_LATENCY_FACTOR = 3.0
_WORK_FACTOR = 10.0


class Retry(enum.Enum):
    """Whether a failed call may be tried at another upstream."""

    NO = enum.auto()
    # No backend server saw it: no amplification of work.
    FREE = enum.auto()
    # It may have run, or met an overload: taken from the budget.
    BUDGETED = enum.auto()


@generics.remember_choices
@functools.singledispatch
def classify(outcome: object, call: calls.Call) -> Retry:
    """Returns whether a call with this outcome may be tried again."""
    raise TypeError(f"not an outcome: {outcome!r}")


@classify.register
def _classify_not_run(outcome: outcomes.NotRun, call: calls.Call) -> Retry:
    if not outcome.elsewhere:
        return Retry.NO
    if not outcome.reached:
        return Retry.FREE
    # What was sent from here alone and turned away has not run anywhere.
    return Retry.BUDGETED if call.repeat else _limit(call)


@classify.register
def _classify_ran(outcome: outcomes.Ran, call: calls.Call) -> Retry:
    return _limit(call) if call.plan.repeatable else Retry.NO


@classify.register
def _classify_unknown(outcome: outcomes.Unknown, call: calls.Call) -> Retry:
    # Work with a key is safe to send again: the daemon that gets it finds the
    # claim of the first try and asks its holder instead of running it.
    if call.plan.repeatable or call.key:
        return _limit(call)
    return Retry.NO


@classify.register
def _classify_answered(outcome: outcomes.Answered, call: calls.Call) -> Retry:
    if (
        outcome.response.status == outcomes.SHEDDING_STATUS
        and call.plan.repeatable
    ):
        return _limit(call)
    return Retry.NO


@classify.register
def _classify_replayed(outcome: outcomes.Replayed, call: calls.Call) -> Retry:
    return Retry.NO


def _limit(call: calls.Call) -> Retry:
    """Forbids retries of retries, and retries under a call that has its own.

    With calls nested N deep and each level trying twice, the lowest service
    would see 2**N calls for one; with this rule it sees at most two.
    """
    return Retry.NO if call.attempt else Retry.BUDGETED


def compute_hedge_time(call: calls.Call, now: float) -> float:
    """Returns when a first try is in doubt, so that another one is left.

    A frozen upstream would otherwise use up the whole deadline of each call
    that is sent to it before it is known to be frozen. The limit is far beyond
    what the targets expect of a call, and there is none where no time or no
    further try would be left.
    """
    plan = call.plan
    if not plan.repeatable or plan.large or call.attempt:
        return call.deadline
    limit_s = max(
        _LEAST_TRY_S,
        _LATENCY_FACTOR * plan.latency_s,
        _WORK_FACTOR * plan.work_s,
    )
    if now + 2 * limit_s > call.deadline or not call.body.repeatable:
        return call.deadline
    return now + limit_s


def combine(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns what is true of a call after several tries.

    A last try that did not run proves nothing about the first: a call that may
    have run before must not be called "not run" by its last refusal.
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
