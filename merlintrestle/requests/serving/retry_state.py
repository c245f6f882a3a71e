"""Retry state of a call, and whether another attempt may be made."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import polls as polls_
from merlintrestle.requests.load import retries

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import budgets as budgets_
    from merlintrestle.requests.load import round_trips
    from merlintrestle.requests.serving import attempts as attempts_

# Maximum upstreams to which one call is sent. Each attempt after the first one
# is either free (the call did not run) or paid from the retry budget.
_MAX_UPSTREAMS = 5
# Maximum daemons that refuse a call for lack of capacity before it is refused.
# If the two best ones have none, the service is at capacity; asking all of them
# would spend processor time on refusals just when there is none to spare.
_MAX_REFUSALS = 2


@dataclasses.dataclass(slots=True)
class RetryState:
    """The attempts of a call so far, and what limits further ones.

    Attributes:
        call: The call.
        budget: The retry budget of its service.
        attempts: Its attempts in flight.
        upstream_ids: Ids of the upstreams to which it was sent.
        reached_count: Number of its ended attempts that reached a backend
            server.
        refusal_count: Number of upstreams that lacked capacity for it.
        outcome: Its combined outcome so far; None: no attempt has ended.
        round_trip: Round-trip time to other daemons.
        polls: Upstreams that were polled for a free slot for it.
    """

    call: calls.Call
    budget: budgets_.Budget
    attempts: attempts_.Attempts
    round_trip: round_trips.RoundTripTime
    upstream_ids: set[str] = dataclasses.field(default_factory=set)
    reached_count: int = 0
    refusal_count: int = 0
    outcome: outcomes.Outcome | None = None
    polls: polls_.Polls = dataclasses.field(default_factory=polls_.Polls)

    def record(self, latest: outcomes.Outcome) -> None:
        """Records the outcome of an attempt."""
        self.outcome = retries.combine(self.outcome, latest)
        self.reached_count += _has_reached_backend(latest)
        self.refusal_count += _is_refusal(latest)

    def may_attempt_another(self, upstream_count: int) -> bool:
        """Returns whether the call may be sent to another upstream.

        Args:
            upstream_count: Number of upstreams of its service.
        """
        return (
            len(self.upstream_ids) < min(_MAX_UPSTREAMS, upstream_count)
            and self.may_attempt()
        )

    def may_attempt(self) -> bool:
        """Returns whether the call may be sent again, to any upstream.

        Attempts in flight count as runs, as they may have reached a backend
        server already.
        """
        return (
            self.refusal_count < _MAX_REFUSALS
            and self._may_run_again()
            and self.attempts.all_in_doubt
            and self._has_time()
        )

    def may_hedge(self) -> bool:
        """Returns whether the call may be sent during an attempt in flight."""
        call = self.call
        return (
            call.plan.repeatable
            and call.body.buffered is not None
            and self._may_run_again()
            and self.attempts.all_in_doubt
            and self._has_time()
        )

    def try_spend(self) -> bool:
        """Pays for a further attempt; returns False if there must be none.

        A call that was sent twice is not sent a third time, unless backend
        servers have refused it each time: then it has not run at all, and
        nothing was called on its behalf.
        """
        already_retried = self.call.attempt and not self._was_always_refused()
        if already_retried or not self.budget.try_spend():
            return False
        self.call.attempt += 1
        self.call.repeat = True
        return True

    def discard_answer(self) -> None:
        """Drops an answer, as another attempt may get a better one."""
        if isinstance(self.outcome, outcomes.Answered):
            self.outcome.release()
            self.outcome = outcomes.Ran(
                "the backend server is shedding load", 503, 1.0
            )

    def _was_always_refused(self) -> bool:
        """Returns whether all attempts from this daemon were refused."""
        refused = isinstance(self.outcome, outcomes.NotRun)
        return self.call.repeat and refused and not self.attempts.count

    def _may_run_again(self) -> bool:
        """Returns whether one more run keeps to `max_attempts` of the class.

        An attempt that the peer has not seen counts as a run: its packets may
        be late or be retransmitted by the operating system, and they cannot be
        recalled. When it was not counted and not paid for, calls ran twice
        although packets were merely late.
        """
        limit = self.call.plan.max_attempts
        return not limit or self.reached_count + self.attempts.count < limit

    def _has_time(self) -> bool:
        now = asyncio.get_running_loop().time()
        remaining_s = self.call.deadline - now
        return remaining_s > self.call.plan.work_s and self.round_trip.has_time(
            remaining_s
        )


def _has_reached_backend(outcome: outcomes.Outcome) -> bool:
    """Returns whether the call was sent to a backend server."""
    return not isinstance(outcome, outcomes.NotRun) or outcome.reached


def _is_refusal(outcome: outcomes.Outcome) -> bool:
    """Returns whether a daemon had no free slot and no place in its queue."""
    return (
        isinstance(outcome, outcomes.NotRun)
        and outcome.overloaded
        and not outcome.unqueued
        and not outcome.reached
    )
