"""The way of a call from its caller to an upstream, tried again if safe."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import budgets as budgets_
from merlintrestle.requests.load import joining
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import retries
from merlintrestle.requests.reports import stories
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from merlintrestle.members import table as tables
    from merlintrestle.requests import parts
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import picking
    from merlintrestle.requests.serving import beside as besides
    from merlintrestle.requests.transport import forwarding

# Each further one is free (it did not run) or paid from the budget.
_MAX_TRIES = 5
# Daemons that may refuse a call for want of room before its caller is told.
# When two that looked best have none, the service is full; asking all of them
# would spend processor time on refusals just when there is none to spare.
_MAX_REFUSALS = 2


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a call has come.

    Attributes:
        tried: Ids of the upstreams that it was sent to.
        reached: Backend servers that were sent it.
        refusals: Upstreams that had no room for it.
        outcome: What is true of it so far; None: it was not tried.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    reached: int = 0
    refusals: int = 0
    outcome: outcomes.Outcome | None = None

    def note(self, latest: outcomes.Outcome) -> None:
        """Takes in what became of a try."""
        self.outcome = retries.combine(self.outcome, latest)
        self.reached += _reached_backend(latest)
        self.refusals += _is_refusal(latest)

    def is_over(self, call: calls.Call, count: int) -> bool:
        """Returns whether the last try was made, of `count` upstreams."""
        return (
            len(self.tried) == min(_MAX_TRIES, count)
            or self.refusals == _MAX_REFUSALS
            or 0 < call.plan.max_attempts <= self.reached
        )


class Dispatch:
    """Sends calls to upstreams of their service.

    Attributes:
        joining: Has calls wait while the daemon learns of upstreams.
    """

    def __init__(
        self,
        member_id: Callable[[], str],
        table: parts.MemberTable,
        picker: picking.Picker,
        beside: besides.Beside,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        budgets: budgets_.Budgets,
    ):
        """Sets the parts; `member_id` gives the id of this daemon."""
        self._member_id = member_id
        self._table = table
        self._picker = picker
        self._beside = beside
        self._forwarder = forwarder
        self._get_time = get_time
        self._budgets = budgets
        self.joining = joining.Joining(table, get_time)

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Returns the answer of an upstream, or the failure to state."""
        budget = self._budgets.get(call.service)
        budget.earn()
        progress = _Progress()
        if not await self.joining.wait(call):
            return self._refuse(call)
        while True:
            upstreams = self._table.get_upstreams(call.service)
            upstream = self._picker.pick(
                call.service,
                upstreams,
                progress.tried,
                call.plan.repeatable,
            )
            if upstream is None:
                return progress.outcome or self._refuse(call)
            progress.tried.add(upstream.member_id)
            call.story.add(
                "picked", **self._picker.describe(upstream, len(upstreams))
            )
            several = len(upstreams) > 1 and budget.left >= 1
            latest = await self._try_and_tell(upstream, call, several)
            progress.note(latest)
            assert progress.outcome is not None
            over = progress.is_over(call, len(upstreams))
            if over or not _may_retry(latest, call, budget):
                if not isinstance(latest, outcomes.Answered):
                    call.story.add(
                        "given up",
                        tries=len(progress.tried),
                        reached=progress.reached,
                        budget=round(budget.left, 1),
                    )
                return progress.outcome
            call.story.add("sent again", budget=round(budget.left, 1))
            if isinstance(latest, (outcomes.Ran, outcomes.Unknown)):
                call.suspect |= latest.broken
            progress.outcome = _discard(progress.outcome)

    async def _try_and_tell(
        self, upstream: tables.Upstream, call: calls.Call, several: bool
    ) -> outcomes.Outcome:
        """Sends a call to an upstream and adds to its story.

        Args:
            upstream: Where it is sent.
            call: The call.
            several: Another upstream could be tried after this one.
        """
        deadline = call.deadline
        if several:
            call.deadline = retries.limit_first_try(call, self._get_time())
        began = self._get_time()
        latest = await self._try(upstream, call)
        call.deadline = deadline
        call.story.add(
            "tried",
            upstream=upstream.member_id,
            took_ms=round((self._get_time() - began) * 1000),
            **stories.describe(latest),
        )
        return latest

    def _refuse(self, call: calls.Call) -> outcomes.NotRun:
        return outcomes.NotRun(
            f"no backend server of {call.service} is known",
            retry_after_s=self.joining.retry_after_s,
        )

    async def _try(
        self, upstream: tables.Upstream, call: calls.Call
    ) -> outcomes.Outcome:
        observation = self._picker.observe(upstream.member_id)
        work_s = call.plan.work_s
        began = self._get_time()
        observation.begin(began, work_s)
        try:
            if upstream.member_id == self._member_id():
                outcome = await self._beside.run(call)
            else:
                outcome = await self._send(upstream, call)
        except BaseException:
            observation.note_cancellation(work_s)
            observation.end()
            raise
        now = self._get_time()
        observations.note(outcome, observation, now, began, work_s)
        if isinstance(outcome, outcomes.Answered):
            outcome.hold(observation.end)
        else:
            observation.end()
        return outcome

    async def _send(
        self, upstream: tables.Upstream, call: calls.Call
    ) -> outcomes.Outcome:
        outcome = await self._forwarder.send_to_peer(
            f"{upstream.address}:{upstream.peer_port}",
            f"/{call.service}{call.target}",
            call,
            self._build_headers(call),
        )
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        reported = outcome.response.headers.get(headers.LOAD)
        load = loads.decode_load(reported) if reported else None
        if load is not None:
            observation = self._picker.observe(upstream.member_id)
            observation.note_load(self._get_time(), load)
        if headers.OUTCOME in outcome.response.headers:
            return outcomes.read_failure(outcome)
        return outcome

    def _build_headers(self, call: calls.Call) -> multidict.CIMultiDict[str]:
        now = asyncio.get_running_loop().time()
        left_s = call.deadline - now
        waited_s = now - (call.due - call.plan.latency_s)
        sent = call.headers.copy()
        sent[headers.PLAN] = plans.encode_plan(call.plan)
        if call.request_id:
            sent[headers.REQUEST] = call.request_id
        if call.origin:
            sent[headers.ORIGIN] = call.origin
        sent[headers.DEADLINE] = str(max(1, int(left_s * 1000)))
        sent[headers.WAITED] = str(max(0, int(waited_s * 1000)))
        sent[headers.DEPTH] = str(call.depth)
        # Where this daemon can try another upstream, the other daemon must not
        # start the call anew by itself: together they would run it 3 times.
        others = len(self._table.get_upstreams(call.service)) > 1
        again = call.attempt or (others and call.plan.repeatable)
        sent[headers.ATTEMPT] = str(int(again))
        if call.suspect:
            sent[headers.SUSPECT] = "1"
        return sent


def _reached_backend(outcome: outcomes.Outcome) -> bool:
    """Returns whether a backend server was sent the call."""
    return not isinstance(outcome, outcomes.NotRun) or outcome.reached


def _is_refusal(outcome: outcomes.Outcome) -> bool:
    """Returns whether an upstream had no room for the call."""
    return isinstance(outcome, outcomes.NotRun) and outcome.overloaded


def _may_retry(
    outcome: outcomes.Outcome, call: calls.Call, budget: budgets_.Budget
) -> bool:
    left_s = call.deadline - asyncio.get_running_loop().time()
    if left_s <= call.plan.work_s or not call.body.repeatable:
        return False
    retry = retries.classify(outcome, call)
    if retry is retries.Retry.BUDGETED:
        if not budget.spend():
            return False
        call.attempt += 1
    return retry is not retries.Retry.NO


def _discard(outcome: outcomes.Outcome) -> outcomes.Outcome:
    if not isinstance(outcome, outcomes.Answered):
        return outcome
    outcome.release()
    return outcomes.Ran("the backend server is shedding load", 503, 1.0)
