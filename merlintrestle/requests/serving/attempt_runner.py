"""Execution of single attempts, each of which sends a call to one upstream."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import doubts
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import retries
from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from merlintrestle.members import table as tables
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import picking
    from merlintrestle.requests.load import round_trips
    from merlintrestle.requests.serving import attempts as attempts_
    from merlintrestle.requests.serving import local_runner as local_runners
    from merlintrestle.requests.transport import forwarding
    from merlintrestle.requests.unrepeatable import sent_calls


class _AttemptRecorder:
    """Records the result of one attempt in the observation of its upstream.

    Attributes:
        started_at: Time at which the attempt started, in seconds.
    """

    __slots__ = (
        "_failure_recorded",
        "_get_time",
        "_observation",
        "_work_s",
        "started_at",
    )

    def __init__(
        self,
        observation: observations.Observation,
        work_s: float,
        get_time: Callable[[], float],
    ):
        """Counts the attempt as in flight.

        Args:
            observation: What this daemon has observed of the upstream.
            work_s: Expected work time of the call, in seconds.
            get_time: Returns the monotonic time, in seconds.
        """
        self._observation = observation
        self._work_s = work_s
        self._get_time = get_time
        # Whether a doubt was recorded as a failure while the attempt was in
        # flight. An outcome that is a failure too must not count again.
        self._failure_recorded = False
        self.started_at = get_time()
        observation.begin(self.started_at, work_s)

    def record_doubt(self, doubt: doubts.Doubt) -> None:
        """Records a doubt as a failure of the upstream, once per attempt.

        A doubt that concerns the connection only is not recorded.
        """
        if doubt.concerns_connection_only or self._failure_recorded:
            return
        self._failure_recorded = True
        self._observation.record_overdue(self._get_time())

    def record_cancellation(self) -> None:
        """Records that the attempt was cancelled before it was answered."""
        self._observation.stop_awaiting(self._work_s)
        # A cancellation alone shows nothing about the upstream. After a doubt
        # it also lowers the success rate, which `record_doubt` does not.
        if self._failure_recorded:
            self._observation.update_success_rate(False)
        self._observation.end()

    def record_outcome(self, outcome: outcomes.Outcome) -> None:
        """Records the outcome of the attempt."""
        failed = isinstance(outcome, (outcomes.Ran, outcomes.Unknown))
        if failed and self._failure_recorded:
            # The doubt has already counted as the failure of this attempt. This
            # only updates the success rate and the counts of calls in flight.
            self.record_cancellation()
            return
        observation = self._observation
        observations.record_outcome(
            outcome,
            observation,
            self._get_time(),
            self.started_at,
            self._work_s,
        )
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(observation.end)
        else:
            observation.end()


class AttemptRunner:
    """Sends each attempt to the upstream that was picked for it."""

    def __init__(
        self,
        get_member_id: Callable[[], str],
        table: interfaces.MemberTable,
        picker: picking.Picker,
        local_runner: local_runners.LocalRunner,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        round_trip: round_trips.RoundTripTime,
        keyed_calls: sent_calls.KeyedCallRecorder | None = None,
    ):
        """Initializes the runner.

        Args:
            get_member_id: Returns the member id of this daemon.
            table: The upstreams of each service.
            picker: Keeps the observations of the upstreams.
            local_runner: Runs calls on the local backend server.
            forwarder: Sends calls to other daemons.
            get_time: Returns the monotonic time, in seconds.
            round_trip: Round-trip time to other daemons.
            keyed_calls: Records the calls that must not be repeated; None: they
                are not recorded.
        """
        self._keyed_calls = keyed_calls
        self._round_trip = round_trip
        self._get_local_id = get_member_id
        self._table = table
        self._picker = picker
        self._local_runner = local_runner
        self._forwarder = forwarder
        self._get_time = get_time

    async def run(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        attempts: attempts_.Attempts,
    ) -> outcomes.Outcome:
        """Runs an attempt and adds its outcome to the decision log of the call.

        Args:
            attempt: The attempt.
            call: The call.
            attempts: The attempts of the call; notified of doubts about this
                attempt.
        """
        recorder = _AttemptRecorder(
            self._picker.get_observation(attempt.upstream.member_id),
            call.plan.work_s,
            self._get_time,
        )
        report_doubt = functools.partial(
            _report_doubt, attempt, recorder, attempts
        )
        outcome = await self._run_and_record(
            attempt, call, recorder, report_doubt
        )
        call.decision_log.add(
            "tried",
            upstream=attempt.upstream.member_id,
            took_ms=round((self._get_time() - recorder.started_at) * 1000),
            left_ms=call.get_remaining_ms(),
            **decision_logs.build_outcome_fields(outcome),
        )
        return outcome

    async def _run_and_record(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        recorder: _AttemptRecorder,
        report_doubt: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        timer = self._schedule_hedge_timer(call, report_doubt)
        try:
            outcome = await self._send(attempt, call, report_doubt)
        except BaseException:
            recorder.record_cancellation()
            raise
        finally:
            if timer is not None:
                timer.cancel()
        recorder.record_outcome(outcome)
        return outcome

    async def _send(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        report_doubt: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        if attempt.upstream.member_id == self._get_local_id():
            if attempt.wait is not call.wait:
                # A copy, as a concurrent attempt may use another wait.
                call = dataclasses.replace(call, wait=attempt.wait)
            return await self._local_runner.run(call)
        if self._keyed_calls is None:
            return await self._send_to_peer(attempt, call, report_doubt)
        number = self._keyed_calls.add(call, attempt.upstream)
        outcome = await self._send_to_peer(attempt, call, report_doubt)
        self._keyed_calls.record_outcome(number, outcome)
        return outcome

    def _schedule_hedge_timer(
        self,
        call: calls.Call,
        report_doubt: Callable[[doubts.Doubt], None],
    ) -> asyncio.TimerHandle | None:
        """Schedules a report that a first attempt takes too long.

        Returns:
            The timer; None if there is no other upstream or no time for a
            hedge, or if the attempt is a retry.
        """
        if not self._has_alternatives(call):
            return None
        hedge_at = retries.compute_hedge_time(call, self._get_time())
        if hedge_at >= call.deadline:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(hedge_at, report_doubt, doubts.Doubt.LATE)

    def _has_alternatives(self, call: calls.Call) -> bool:
        return len(self._table.get_upstreams(call.service)) > 1

    async def _send_to_peer(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        report_doubt: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        upstream = attempt.upstream
        started_at = self._get_time()
        outcome = await self._forwarder.send_to_peer(
            f"{upstream.address}:{upstream.peer_port}",
            f"/{call.service}{call.target}",
            call,
            self._build_headers(attempt, call),
            report_doubt,
            attempt.new_connection,
        )
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        self._picker.notices.record(
            upstream.member_id, outcome.response.headers.get(headers.NOTICES)
        )
        encoded_load = outcome.response.headers.get(headers.LOAD)
        load = loads.decode_load(encoded_load) if encoded_load else None
        if load is not None:
            self._record_load(upstream, load, started_at)
        if headers.OUTCOME in outcome.response.headers:
            return outcomes.read_failure(outcome)
        return outcome

    def _record_load(
        self, upstream: tables.Upstream, load: loads.Load, started_at: float
    ) -> None:
        """Records the load that a daemon reported, and the round-trip time."""
        now = self._get_time()
        self._picker.get_observation(upstream.member_id).record_load(now, load)
        if load.server_time_s is not None:
            self._round_trip.record(
                max(0.0, now - started_at - load.server_time_s)
            )

    def _build_headers(
        self, attempt: attempts_.Attempt, call: calls.Call
    ) -> multidict.CIMultiDict[str]:
        now = asyncio.get_running_loop().time()
        remaining_s = call.deadline - now
        # The latency deadline counts from the start of the caller's first
        # attempt.
        waited_s = now - (call.latency_deadline - call.plan.latency_s)
        # If this daemon may retry the call, the receiving daemon must not send
        # it to its backend server again, nor may nested calls be retried.
        # Otherwise retries multiply: the call could run 3 times.
        may_retry = self._has_alternatives(call) and call.plan.repeatable
        call_metadata = parsing.CallMetadata(
            max(1, math.ceil(remaining_s * 1000)),
            call.request_id,
            call.origin,
            call.depth,
            int(call.attempt_number > 0 or may_retry),
            max(0, int(waited_s * 1000)),
            suspect=call.suspect,
            wait=attempt.wait,
            repeat=call.repeat,
            return_trip_ms=round(
                self._round_trip.estimate_return_trip(remaining_s) * 1000
            ),
        )
        peer_headers = call.headers.copy()
        peer_headers[headers.PLAN] = plans.encode_plan(call.plan)
        peer_headers[headers.METADATA] = metadata.encode_metadata(call_metadata)
        if call.workspace:
            peer_headers[headers.WORKSPACE] = call.workspace
        notices = self._picker.notices.get_header(attempt.upstream.member_id)
        if notices is not None:
            peer_headers[headers.NOTICES] = notices
        return peer_headers


def _report_doubt(
    attempt: attempts_.Attempt,
    recorder: _AttemptRecorder,
    attempts: attempts_.Attempts,
    doubt: doubts.Doubt,
) -> None:
    """Reports a doubt about an attempt to its recorder and to its call."""
    recorder.record_doubt(doubt)
    attempts.report_doubt(attempt, doubt)
