"""Dispatch of calls to upstreams, with retries and hedged attempts.

An attempt in flight ends only by an answer, a refusal, a broken connection or
the deadline of the call, or because the call has its final answer from another
attempt or has lost its caller. Any other sign that the answer may not arrive in
time is only a reason for a hedge, as the call may still be running.
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
from merlintrestle.requests.serving import attempts as attempts_
from merlintrestle.requests.serving import retry_state as retry_states

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.load import budgets as budgets_
    from merlintrestle.requests.load import picking
    from merlintrestle.requests.serving import local_runner as local_runners
    from merlintrestle.requests.transport import forwarding
    from merlintrestle.requests.unrepeatable import sent_calls


class Dispatcher:
    """Sends calls to upstreams of their service.

    Attributes:
        startup_wait: Delays calls while a new daemon discovers upstreams.
    """

    def __init__(
        self,
        get_member_id: Callable[[], str],
        table: interfaces.MemberTable,
        picker: picking.Picker,
        local_runner: local_runners.LocalRunner,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        budgets: budgets_.Budgets,
        subsets: interfaces.SubsetSelector,
        keyed_calls: sent_calls.KeyedCallRecorder | None = None,
    ):
        """Initializes the dispatcher.

        Args:
            get_member_id: Returns the member id of this daemon.
            table: The upstreams of each service.
            picker: Picks upstreams.
            local_runner: Runs calls on the local backend server.
            forwarder: Sends calls to other daemons.
            get_time: Returns the monotonic time, in seconds.
            budgets: The retry budgets of the services.
            subsets: Selects the upstreams that an attempt may use.
            keyed_calls: Records the calls that must not be repeated; None: they
                are not recorded.
        """
        self._table = table
        self._subsets = subsets
        self._picker = picker
        self._get_time = get_time
        self._budgets = budgets
        self._local_runner = local_runner
        self._round_trip = round_trips.RoundTripTime(get_time)
        self._attempt_runner = attempt_runner.AttemptRunner(
            get_member_id,
            table,
            picker,
            local_runner,
            forwarder,
            get_time,
            self._round_trip,
            keyed_calls,
        )
        self.startup_wait = startup.StartupWait(table, get_time)

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Runs a call and returns its outcome.

        The first final answer is returned, and the other attempts are
        cancelled. All attempts are cancelled if the caller disconnects.
        """
        budget = self._budgets.get(call.service)
        budget.record_call()
        # The call may be nested in a repeat at the local backend server, and so
        # be a repeat itself. The probability of that is charged.
        budget.charge(self._local_runner.repeats.get_ratio())
        if not await self.startup_wait.wait(call):
            return self._refuse(call)
        attempts = attempts_.Attempts()
        try:
            state = retry_states.RetryState(
                call, budget, attempts, self._round_trip
            )
            return await self._run(state)
        finally:
            attempts.close()

    async def _run(self, state: retry_states.RetryState) -> outcomes.Outcome:
        first_attempt = self._prepare_next_attempt(state)
        if first_attempt is None:
            return self._refuse(state.call)
        attempts = state.attempts
        send = self._attempt_runner.run(first_attempt, state.call, attempts)
        supervise = functools.partial(self._supervise, state)
        return await attempts.run(first_attempt, send, supervise)

    async def _supervise(
        self, state: retry_states.RetryState
    ) -> outcomes.Outcome:
        """Handles events of the attempts until the call has an outcome."""
        while True:
            event = await state.attempts.wait_for_event()
            if isinstance(event, attempts_.AttemptInDoubt):
                self._handle_doubt(event, state)
                continue
            outcome = self._handle_end(event, state)
            if outcome is not None:
                return outcome

    def _handle_end(
        self, event: attempts_.AttemptEnded, state: retry_states.RetryState
    ) -> outcomes.Outcome | None:
        """Handles the end of an attempt.

        Returns:
            The outcome of the call; None if attempts are in flight.
        """
        outcome = event.outcome
        state.record(outcome)
        if isinstance(outcome, outcomes.NotRun) and outcome.unqueued:
            state.polled_upstreams.add(
                event.attempt.upstream, outcome.retry_after_s or 0.0
            )
            if self._continue_polling(state):
                return None
        if _is_final(outcome):
            return outcome
        if self._retry(outcome, state):
            return None
        if state.attempts.count:
            state.replace_shed_answer()
            return None
        if not isinstance(outcome, outcomes.Answered):
            state.call.decision_log.add(
                "given up",
                tries=len(state.upstream_ids),
                reached=state.reached_count,
                budget=round(state.budget.balance, 1),
                left_ms=state.call.get_remaining_ms(),
            )
        return state.outcome

    def _retry(
        self, outcome: outcomes.Outcome, state: retry_states.RetryState
    ) -> bool:
        """Retries a call at another upstream, if that is safe and allowed.

        Returns:
            Whether a further attempt was started.
        """
        call = state.call
        upstream_count = len(self._table.get_upstreams(call.service))
        if (
            not state.may_attempt_another_upstream(upstream_count)
            or not call.body.replayable
        ):
            return False
        retry = retries.classify(outcome, call)
        if retry is retries.Retry.NO:
            return False
        if retry is retries.Retry.BUDGETED and not state.try_charge_retry():
            return False
        if isinstance(outcome, (outcomes.Ran, outcomes.Unknown)):
            call.suspect |= outcome.broken
        state.replace_shed_answer()
        return self._start_at_another_upstream(state)

    def _continue_polling(self, state: retry_states.RetryState) -> bool:
        """Polls one more upstream for a free slot, or queues the call.

        The call is queued at the polled upstream with the shortest wait. All
        polled upstreams count as one refusal: if the upstream with the shortest
        wait refuses the call as well, the others would also refuse it.

        Returns:
            Whether a further attempt was started.
        """
        call = state.call
        if not state.may_attempt_again() or not call.body.replayable:
            return False
        upstream_count = len(self._table.get_upstreams(call.service))
        if (
            not state.polled_upstreams.is_complete(upstream_count)
            and state.may_attempt_another_upstream(upstream_count)
            and self._start_at_another_upstream(state)
        ):
            return True
        state.overload_refusal_count += 1
        best = state.polled_upstreams.take_best()
        call.decision_log.add("all full", waits_at=best.member_id)
        self._start(attempts_.Attempt(best), state)
        return True

    def _handle_doubt(
        self, event: attempts_.AttemptInDoubt, state: retry_states.RetryState
    ) -> None:
        """Hedges a call whose attempt is in doubt, if safe and allowed."""
        call = state.call
        attempt, doubt, repeated = event
        if not repeated:
            call.decision_log.add(
                "in doubt",
                upstream=attempt.upstream.member_id,
                why=doubt.name.lower(),
            )
        upstream_count = len(self._table.get_upstreams(call.service))
        has_alternatives = state.may_attempt_another_upstream(upstream_count)
        if (
            (has_alternatives or doubt.concerns_connection_only)
            and state.may_hedge()
            and state.try_charge_retry()
        ):
            self._hedge(event, has_alternatives, state)

    def _hedge(
        self,
        event: attempts_.AttemptInDoubt,
        has_alternatives: bool,
        state: retry_states.RetryState,
    ) -> None:
        """Starts a hedge, for which the retry budget was already charged.

        There is no third attempt, so another upstream is preferred even if only
        the connection is in doubt: if the same upstream were slow, the call
        would wait there until its deadline.
        """
        if has_alternatives and self._start_at_another_upstream(state):
            return
        if event.doubt.concerns_connection_only:
            attempt = attempts_.Attempt(
                event.attempt.upstream, new_connection=True
            )
            self._start(attempt, state)

    def _start_at_another_upstream(
        self, state: retry_states.RetryState
    ) -> bool:
        """Starts an attempt at another upstream; False if there is none."""
        attempt = self._prepare_next_attempt(state)
        if attempt is not None:
            self._start(attempt, state)
        return attempt is not None

    def _prepare_next_attempt(
        self, state: retry_states.RetryState
    ) -> attempts_.Attempt | None:
        """Picks another upstream, logs the pick and builds an attempt at it.

        Returns:
            The attempt; None if there is no other upstream.
        """
        call = state.call
        subset = self._subsets.choose(
            call.service, self._table.get_upstreams(call.service)
        )
        upstreams = subset.upstreams
        upstream = self._picker.pick(
            subset.name, upstreams, state.upstream_ids, call.plan.repeatable
        )
        if upstream is None:
            return None
        if state.upstream_ids:
            balance = round(state.budget.balance, 1)
            call.decision_log.add("sent again", budget=balance)
        state.upstream_ids.add(upstream.member_id)
        details = self._picker.get_details(upstream, len(upstreams))
        call.decision_log.add_lazy("picked", details.describe)
        wait = calls.Wait.NORMAL
        round_trip_s = self._round_trip.estimate_round_trip()
        # A call may poll several upstreams for a free slot, with a short wait
        # or none at each, before it is queued at one of them. A streamed body
        # can be sent to one upstream only, so its call waits there normally, as
        # does a call for which polling would take too long.
        if call.body.buffered is not None and polls.is_worthwhile(
            round_trip_s, call.plan.latency_s
        ):
            observation = self._picker.get_observation(upstream.member_id)
            may_wait = len(upstreams) == 1 or observation.has_recent_load(
                self._get_time()
            )
            wait = polls.choose_wait(
                may_wait, self._picker.is_zone_peer(upstream)
            )
        return attempts_.Attempt(upstream, wait=wait)

    def _start(
        self, attempt: attempts_.Attempt, state: retry_states.RetryState
    ) -> None:
        attempts = state.attempts
        attempts.start(
            attempt, self._attempt_runner.run(attempt, state.call, attempts)
        )

    def _refuse(self, call: calls.Call) -> outcomes.NotRun:
        return outcomes.NotRun(
            f"no backend server of {call.service} is known",
            retry_after_s=self.startup_wait.retry_after_s,
        )


def _is_final(outcome: outcomes.Outcome) -> bool:
    """Returns whether an outcome is final: it ends the other attempts.

    A 503 answer is not final, as another upstream may have capacity.
    """
    if isinstance(outcome, outcomes.Answered):
        return outcome.response.status != outcomes.SHEDDING_STATUS
    return isinstance(outcome, outcomes.Replayed)
