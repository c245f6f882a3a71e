"""Progress: how far a call has come, and whether it may be sent once more."""

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
    from merlintrestle.requests.serving import attempts as tries_

# Each further one is free (it did not run) or paid from the budget.
_MAX_TRIES = 5
# Daemons that may refuse a call for want of room before its caller is told.
# When two that looked best have none, the service is full; asking all of them
# would spend processor time on refusals just when there is none to spare.
_MAX_REFUSALS = 2


@dataclasses.dataclass(slots=True)
class RetryState:
    """How far a call has come.

    Attributes:
        call: The call.
        budget: What bounds the retries of its service.
        tries: Its tries that run.
        tried: Ids of the upstreams that it was sent to.
        reached: Backend servers that were sent it by tries that have ended.
        refusals: Upstreams that had no room for it.
        outcome: What is true of it so far; None: no try has ended.
        way: What hops to other daemons take.
        polls: Upstreams that it has asked for a free slot.
    """

    call: calls.Call
    budget: budgets_.Budget
    tries: tries_.Attempts
    way: round_trips.RoundTripTime
    tried: set[str] = dataclasses.field(default_factory=set)
    reached: int = 0
    refusals: int = 0
    outcome: outcomes.Outcome | None = None
    polls: polls_.Polls = dataclasses.field(default_factory=polls_.Polls)

    def note(self, latest: outcomes.Outcome) -> None:
        """Takes in what became of a try."""
        self.outcome = retries.combine(self.outcome, latest)
        self.reached += _reached_backend(latest)
        self.refusals += _is_refusal(latest)

    def may_try(self, count: int) -> bool:
        """Returns whether another of `count` upstreams may be tried.

        A try that runs may have reached a backend server already.
        """
        return len(self.tried) < min(_MAX_TRIES, count) and self.may_go_on()

    def may_go_on(self) -> bool:
        """Returns whether the call may be sent once more, wherever that is."""
        return (
            self.refusals < _MAX_REFUSALS
            and self._may_run_again()
            and self.tries.in_doubt
            and self._has_time()
        )

    def may_send_as_well(self) -> bool:
        """Returns whether the call may be sent while a try of it goes on."""
        call = self.call
        return (
            call.plan.repeatable
            and call.body.held is not None
            and self._may_run_again()
            and self.tries.in_doubt
            and self._has_time()
        )

    def spend(self) -> bool:
        """Pays for a further send; False: there is to be none.

        A call that was sent before is sent no third time, unless backend
        servers have turned it away each time: nothing has run of it, and
        nothing was called on its behalf.
        """
        again = self.call.attempt and not self._was_turned_away()
        if again or not self.budget.try_spend():
            return False
        self.call.attempt += 1
        self.call.repeat = True
        return True

    def discard(self) -> None:
        """Drops an answer that is not passed on, as another is hoped for."""
        if isinstance(self.outcome, outcomes.Answered):
            self.outcome.release()
            self.outcome = outcomes.Ran(
                "the backend server is shedding load", 503, 1.0
            )

    def _was_turned_away(self) -> bool:
        """Returns whether all sends from here were refused unrun."""
        refused = isinstance(self.outcome, outcomes.NotRun)
        return self.call.repeat and refused and not self.tries.count

    def _may_run_again(self) -> bool:
        """Returns whether one more run keeps to the most attempts.

        A call that its peer has not seen counts as a run: what was sent may
        still be on its way, or be sent again by the operating system, and
        nothing takes back what is under way. Not counted and not paid for, it
        ran twice where packets were merely late.
        """
        limit = self.call.plan.max_attempts
        return not limit or self.reached + self.tries.count < limit

    def _has_time(self) -> bool:
        now = asyncio.get_running_loop().time()
        left_s = self.call.deadline - now
        return left_s > self.call.plan.work_s and self.way.has_time(left_s)


def _reached_backend(outcome: outcomes.Outcome) -> bool:
    """Returns whether a backend server was sent the call."""
    return not isinstance(outcome, outcomes.NotRun) or outcome.reached


def _is_refusal(outcome: outcomes.Outcome) -> bool:
    """Returns whether a daemon had no room for the call, nor a wait."""
    return (
        isinstance(outcome, outcomes.NotRun)
        and outcome.overloaded
        and not outcome.unqueued
        and not outcome.reached
    )
