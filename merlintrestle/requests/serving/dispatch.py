"""The way of a call from its caller to an upstream, tried again if safe.

A call that may be at work somewhere is given up only by proof: its answer, a
refusal, a broken connection, or the end of its time. Whatever else makes a try
doubtful is only a reason to try another upstream as well.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import polls
from merlintrestle.requests.load import retries
from merlintrestle.requests.load import round_trips
from merlintrestle.requests.load import startup
from merlintrestle.requests.serving import attempt_runner
from merlintrestle.requests.serving import attempts as tries_
from merlintrestle.requests.serving import retry_state as progress_

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.load import budgets as budgets_
    from merlintrestle.requests.load import picking
    from merlintrestle.requests.serving import local_runner as besides
    from merlintrestle.requests.transport import forwarding


class Dispatcher:
    """Sends calls to upstreams of their service.

    Attributes:
        joining: Has calls wait while the daemon learns of upstreams.
    """

    def __init__(
        self,
        member_id: Callable[[], str],
        table: interfaces.MemberTable,
        picker: picking.Picker,
        beside: besides.LocalRunner,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        budgets: budgets_.Budgets,
        lanes: interfaces.SubsetSelector,
    ):
        """Sets the parts; `member_id` gives the id of this daemon."""
        self._table = table
        self._lanes = lanes
        self._picker = picker
        self._get_time = get_time
        self._budgets = budgets
        self._beside = beside
        self._way = round_trips.RoundTripTime(get_time)
        self._sending = attempt_runner.AttemptRunner(
            member_id, table, picker, beside, forwarder, get_time, self._way
        )
        self.joining = startup.StartupWait(table, get_time)

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Returns the answer of an upstream, or the failure to state.

        The first answer that counts wins; tries that still run are cancelled
        then, and all of them at once when the caller leaves.
        """
        budget = self._budgets.get(call.service)
        budget.record_call()
        budget.charge(self._beside.repeats.get_ratio())
        if not await self.joining.wait(call):
            return self._refuse(call)
        tries = tries_.Attempts()
        try:
            progress = progress_.RetryState(call, budget, tries, self._way)
            return await self._run(progress)
        finally:
            tries.close()

    async def _run(self, progress: progress_.RetryState) -> outcomes.Outcome:
        first = self._choose(progress)
        if first is None:
            return self._refuse(progress.call)
        tries = progress.tries
        send = self._sending.run(first, progress.call, tries)
        oversee = functools.partial(self._oversee, progress)
        return await tries.run(first, send, oversee)

    async def _oversee(
        self, progress: progress_.RetryState
    ) -> outcomes.Outcome:
        """Decides by what its tries come to until the call has its outcome."""
        while True:
            news = await progress.tries.wait()
            if isinstance(news, tries_.Doubtful):
                self._answer_doubt(news, progress)
                continue
            outcome = self._answer_end(news, progress)
            if outcome is not None:
                return outcome

    def _answer_end(
        self, ended: tries_.Ended, progress: progress_.RetryState
    ) -> outcomes.Outcome | None:
        """Returns what the caller gets; None: another try may yet count."""
        latest = ended.outcome
        progress.note(latest)
        if isinstance(latest, outcomes.NotRun) and latest.unqueued:
            progress.polls.add(ended.one.upstream, latest.retry_after_s or 0.0)
            if self._poll_on(progress):
                return None
        if _counts(latest):
            return latest
        if self._retry(latest, progress):
            return None
        if progress.tries.count:
            progress.discard()
            return None
        if not isinstance(latest, outcomes.Answered):
            progress.call.story.add(
                "given up",
                tries=len(progress.tried),
                reached=progress.reached,
                budget=round(progress.budget.balance, 1),
                left_ms=progress.call.get_remaining_ms(),
            )
        return progress.outcome

    def _retry(
        self, latest: outcomes.Outcome, progress: progress_.RetryState
    ) -> bool:
        """Tries another upstream after one that failed, if that is safe."""
        call = progress.call
        count = len(self._table.get_upstreams(call.service))
        if not progress.may_try(count) or not call.body.repeatable:
            return False
        retry = retries.classify(latest, call)
        if retry is retries.Retry.NO:
            return False
        if retry is retries.Retry.BUDGETED and not progress.spend():
            return False
        if isinstance(latest, (outcomes.Ran, outcomes.Unknown)):
            call.suspect |= latest.broken
        progress.discard()
        return self._try_another(progress)

    def _poll_on(self, progress: progress_.RetryState) -> bool:
        """Asks one more upstream for a free slot, or has the call wait.

        All that were asked count as one that refused: the call waits where
        that takes the shortest, and if it is refused there, others that are
        as good as these would do so too.
        """
        call = progress.call
        if not progress.may_go_on() or not call.body.repeatable:
            return False
        count = len(self._table.get_upstreams(call.service))
        if (
            not progress.polls.is_complete(count)
            and progress.may_try(count)
            and self._try_another(progress)
        ):
            return True
        progress.refusals += 1
        best = progress.polls.take_best()
        call.story.add("all full", waits_at=best.member_id)
        self._start(tries_.Attempt(best), progress)
        return True

    def _answer_doubt(
        self, doubtful: tries_.Doubtful, progress: progress_.RetryState
    ) -> None:
        """Sends a call as well whose try is in doubt, if that is safe."""
        call = progress.call
        one, doubt, again = doubtful
        if not again:
            call.story.add(
                "in doubt",
                upstream=one.upstream.member_id,
                why=doubt.name.lower(),
            )
        count = len(self._table.get_upstreams(call.service))
        others = progress.may_try(count)
        if (
            (others or doubt.concerns_connection_only)
            and progress.may_send_as_well()
            and progress.spend()
        ):
            self._send_as_well(doubtful, others, progress)

    def _send_as_well(
        self,
        doubtful: tries_.Doubtful,
        others: bool,
        progress: progress_.RetryState,
    ) -> None:
        """Sends a call a second time, which is paid for.

        There is no third time, so another upstream comes first also where the
        connection alone is in doubt: an upstream that turns out to be slow
        after a second send to it would hold the call until its deadline.
        """
        if others and self._try_another(progress):
            return
        if doubtful.doubt.concerns_connection_only:
            again = tries_.Attempt(doubtful.one.upstream, anew=True)
            self._start(again, progress)

    def _try_another(self, progress: progress_.RetryState) -> bool:
        """Sends a call to an upstream not tried yet; False: there is none."""
        one = self._choose(progress)
        if one is not None:
            self._start(one, progress)
        return one is not None

    def _choose(self, progress: progress_.RetryState) -> tries_.Attempt | None:
        """Returns a try at an upstream not tried yet; None: there is none."""
        call = progress.call
        lane = self._lanes.choose(
            call.service, self._table.get_upstreams(call.service)
        )
        upstreams = lane.upstreams
        upstream = self._picker.pick(
            lane.name, upstreams, progress.tried, call.plan.repeatable
        )
        if upstream is None:
            return None
        if progress.tried:
            left = round(progress.budget.balance, 1)
            call.story.add("sent again", budget=left)
        progress.tried.add(upstream.member_id)
        view = self._picker.get_details(upstream, len(upstreams))
        call.story.add_later("picked", view.describe)
        # A body that is passed on in pieces cannot be offered to others.
        wait = calls.Wait.NORMAL
        way_s = self._way.get()
        if call.body.held is not None and polls.is_worthwhile(
            way_s, call.plan.latency_s
        ):
            seen = self._picker.get_observation(upstream.member_id)
            known = len(upstreams) == 1 or seen.has_recent_load(
                self._get_time()
            )
            wait = polls.choose_wait(known, self._picker.is_zone_peer(upstream))
        return tries_.Attempt(upstream, wait=wait)

    def _start(
        self, one: tries_.Attempt, progress: progress_.RetryState
    ) -> None:
        tries = progress.tries
        tries.start(one, self._sending.run(one, progress.call, tries))

    def _refuse(self, call: calls.Call) -> outcomes.NotRun:
        return outcomes.NotRun(
            f"no backend server of {call.service} is known",
            retry_after_s=self.joining.retry_after_s,
        )


def _counts(outcome: outcomes.Outcome) -> bool:
    """Returns whether an answer goes to the caller, whatever else runs."""
    if isinstance(outcome, outcomes.Answered):
        return outcome.response.status != outcomes.SHEDDING_STATUS
    return isinstance(outcome, outcomes.Replayed)
