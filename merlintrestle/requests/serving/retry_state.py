"""Retry state of a call, which determines whether it may be sent again."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import polls
from merlintrestle.requests.load import retries

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import budgets as budgets_
    from merlintrestle.requests.load import round_trips
    from merlintrestle.requests.serving import attempts as attempts_

# Maximum number of upstreams to which one call is sent. Each attempt after the
# first is either free (the call did not run) or charged to the retry budget.
_MAX_UPSTREAMS = 5
# Number of refusals for lack of capacity after which a call is refused. If the
# two best upstreams have no capacity, the service is overloaded. Asking all of
# them would spend processor time on refusals when it is scarcest.
_MAX_OVERLOAD_REFUSALS = 2


@dataclasses.dataclass(slots=True)
class RetryState:
    """The attempts of a call so far, and the limits of further attempts.

    Attributes:
        call: The call.
        budget: The retry budget of the service of the call.
        attempts: The attempts in flight.
        upstream_ids: Member ids of the upstreams to which the call was sent.
        reached_count: Number of ended attempts that reached a backend server.
        overload_refusal_count: Number of refusals for lack of capacity. All
            upstreams of a completed poll count as one refusal.
        outcome: Combined outcome of the ended attempts; None: no attempt has
            ended.
        round_trip: Round-trip time to other daemons.
        polled_upstreams: Full upstreams that were polled for a free slot.
    """

    call: calls.Call
    budget: budgets_.Budget
    attempts: attempts_.Attempts
    round_trip: round_trips.RoundTripTime
    upstream_ids: set[str] = dataclasses.field(default_factory=set)
    reached_count: int = 0
    overload_refusal_count: int = 0
    outcome: outcomes.Outcome | None = None
    polled_upstreams: polls.PolledUpstreams = dataclasses.field(
        default_factory=polls.PolledUpstreams
    )

    def record(self, latest: outcomes.Outcome) -> None:
        """Records the outcome of an attempt."""
        self.outcome = retries.combine(self.outcome, latest)
        self.reached_count += outcomes.was_sent(latest)
        self.overload_refusal_count += _is_overload_refusal(latest)

    def may_attempt_another_upstream(self, upstream_count: int) -> bool:
        """Returns whether the call may be sent to an upstream not tried yet.

        Args:
            upstream_count: Number of upstreams of the service.
        """
        return (
            len(self.upstream_ids) < min(_MAX_UPSTREAMS, upstream_count)
            and self.may_attempt_again()
        )

    def may_attempt_again(self) -> bool:
        """Returns whether the call may be sent again.

        The upstream may be one to which the call was sent before. Attempts in
        flight count as runs, as they may have reached a backend server already.
        """
        return (
            self.overload_refusal_count < _MAX_OVERLOAD_REFUSALS
            and self._is_below_max_attempts()
            and self.attempts.all_in_doubt
            and self._has_time()
        )

    def may_hedge(self) -> bool:
        """Returns whether the call may be sent during an attempt in flight."""
        call = self.call
        # A retry only needs a body that is still replayable. A hedge needs a
        # buffered body, as the attempt in flight may begin to consume a
        # streamed one at any time.
        return (
            call.plan.repeatable
            and call.body.buffered is not None
            and self._is_below_max_attempts()
            and self.attempts.all_in_doubt
            and self._has_time()
        )

    def try_charge_retry(self) -> bool:
        """Charges a retry or hedge to the budget; marks the call as a repeat.

        A call is charged for one further attempt only, and for none if a call
        that it is nested in may be retried. Retries after refusals by backend
        servers are not limited in this way: the call has not run at all, so no
        nested calls were made for it.

        Returns:
            False if the call must not be sent again.
        """
        retry_excluded = (
            self.call.attempt_number and not self._are_all_attempts_refused()
        )
        if retry_excluded or not self.budget.try_spend():
            return False
        self.call.attempt_number += 1
        self.call.repeat = True
        return True

    def replace_shed_answer(self) -> None:
        """Releases a 503 answer and keeps its failure as the outcome.

        Another attempt may get a better answer. Other outcomes are kept.
        """
        if isinstance(self.outcome, outcomes.Answered):
            self.outcome.release()
            self.outcome = outcomes.Ran(
                "the backend server is shedding load", 503, 1.0
            )

    def _are_all_attempts_refused(self) -> bool:
        """Returns whether all attempts by this daemon were refused.

        Returns False if this daemon has not charged a retry yet: a positive
        `call.attempt_number` was then set by a call that this one is nested in.
        """
        refused = isinstance(self.outcome, outcomes.NotRun)
        return self.call.repeat and refused and not self.attempts.count

    def _is_below_max_attempts(self) -> bool:
        """Returns whether `max_attempts` of the class allows another run.

        An attempt that the peer has not seen counts as a run: its packets may
        be late or be retransmitted by the operating system, and cannot be
        withdrawn. If it were neither counted nor charged, a call whose packets
        are merely late would run twice.
        """
        limit = self.call.plan.max_attempts
        return not limit or self.reached_count + self.attempts.count < limit

    def _has_time(self) -> bool:
        now = asyncio.get_running_loop().time()
        remaining_s = self.call.deadline - now
        return remaining_s > self.call.plan.work_s and self.round_trip.has_time(
            remaining_s
        )


def _is_overload_refusal(outcome: outcomes.Outcome) -> bool:
    """Returns whether a daemon refused the call for lack of capacity.

    Refusals by polled upstreams, at which the call was not allowed to wait, and
    refusals by backend servers are not included.
    """
    return (
        isinstance(outcome, outcomes.NotRun)
        and outcome.overloaded
        and not outcome.unqueued
        and not outcome.reached
    )
