"""Execution of one attempt of a call at one upstream."""

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


class _AttemptRecorder:
    """Records what one attempt shows about its upstream.

    Attributes:
        began: Time at which it began, in seconds.
    """

    __slots__ = (
        "_failure_recorded",
        "_get_time",
        "_observation",
        "_work_s",
        "began",
    )

    def __init__(
        self,
        observation: observations.Observation,
        work_s: float,
        get_time: Callable[[], float],
    ):
        """Counts the attempt as in flight.

        Args:
            observation: What this daemon knows about the upstream.
            work_s: Expected work of the call, in seconds.
            get_time: Returns the time, in seconds.
        """
        self._observation = observation
        self._work_s = work_s
        self._get_time = get_time
        # Whether a failure was recorded while the attempt was in flight: it
        # counts only once.
        self._failure_recorded = False
        self.began = get_time()
        observation.begin(self.began, work_s)

    def record_doubt(self, doubt: doubts.Doubt) -> None:
        """Records that the answer may not come."""
        if doubt.concerns_connection_only or self._failure_recorded:
            return
        self._failure_recorded = True
        self._observation.record_doubt(self._get_time())

    def record_cancellation(self) -> None:
        """Records that nobody waits for the answer any more."""
        self._observation.record_cancellation(self._work_s)
        if self._failure_recorded:
            self._observation.record_result(False)
        self._observation.end()

    def record_outcome(self, outcome: outcomes.Outcome) -> None:
        """Records the outcome of the attempt."""
        failed = isinstance(outcome, (outcomes.Ran, outcomes.Unknown))
        if failed and self._failure_recorded:
            self.record_cancellation()
            return
        observation = self._observation
        observations.record(
            outcome, observation, self._get_time(), self.began, self._work_s
        )
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(observation.end)
        else:
            observation.end()


class AttemptRunner:
    """Sends calls to the upstreams that were picked for them."""

    def __init__(
        self,
        get_member_id: Callable[[], str],
        table: interfaces.MemberTable,
        picker: picking.Picker,
        local_runner: local_runners.LocalRunner,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        round_trip: round_trips.RoundTripTime,
    ):
        """Initializes the runner.

        Args:
            get_member_id: Returns the member id of this daemon.
            table: The upstreams of each service.
            picker: Holds the observations of the upstreams.
            local_runner: Runs calls on the local backend server.
            forwarder: Sends calls to other daemons.
            get_time: Returns the time, in seconds.
            round_trip: Round-trip time to other daemons.
        """
        self._round_trip = round_trip
        self._get_member_id = get_member_id
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
        """Sends a call to an upstream and logs the result in its story.

        Args:
            attempt: The upstream, and how to send the call there.
            call: The call.
            attempts: Receives reports that the attempt is in doubt.
        """
        recorder = _AttemptRecorder(
            self._picker.get_observation(attempt.upstream.member_id),
            call.plan.work_s,
            self._get_time,
        )
        report = functools.partial(_report_doubt, attempt, recorder, attempts)
        outcome = await self._run_recorded(attempt, call, recorder, report)
        call.decision_log.add(
            "tried",
            upstream=attempt.upstream.member_id,
            took_ms=round((self._get_time() - recorder.began) * 1000),
            left_ms=call.get_remaining_ms(),
            **decision_logs.build_outcome_fields(outcome),
        )
        return outcome

    async def _run_recorded(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        recorder: _AttemptRecorder,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        timer = self._schedule_late_report(call, report)
        try:
            outcome = await self._run(attempt, call, report)
        except BaseException:
            recorder.record_cancellation()
            raise
        finally:
            if timer is not None:
                timer.cancel()
        recorder.record_outcome(outcome)
        return outcome

    async def _run(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        if attempt.upstream.member_id == self._get_member_id():
            if attempt.wait is not call.wait:
                call = dataclasses.replace(call, wait=attempt.wait)
            return await self._local_runner.run(call)
        return await self._send_to_peer(attempt, call, report)

    def _schedule_late_report(
        self,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> asyncio.TimerHandle | None:
        """Schedules a report for a first attempt that takes too long.

        Returns:
            The timer; None if no other attempt could follow.
        """
        if not self._has_alternatives(call):
            return None
        report_at = retries.compute_hedge_time(call, self._get_time())
        if report_at >= call.deadline:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(report_at, report, doubts.Doubt.LATE)

    def _has_alternatives(self, call: calls.Call) -> bool:
        return len(self._table.get_upstreams(call.service)) > 1

    async def _send_to_peer(
        self,
        attempt: attempts_.Attempt,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        upstream = attempt.upstream
        began = self._get_time()
        outcome = await self._forwarder.send_to_peer(
            f"{upstream.address}:{upstream.peer_port}",
            f"/{call.service}{call.target}",
            call,
            self._build_headers(attempt, call),
            report,
            attempt.new_connection,
        )
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        encoded_load = outcome.response.headers.get(headers.LOAD)
        load = loads.decode_load(encoded_load) if encoded_load else None
        if load is not None:
            self._record_load(upstream, load, began)
        if headers.OUTCOME in outcome.response.headers:
            return outcomes.read_failure(outcome)
        return outcome

    def _record_load(
        self, upstream: tables.Upstream, load: loads.Load, began: float
    ) -> None:
        """Records the load that a daemon reported with its answer."""
        now = self._get_time()
        self._picker.get_observation(upstream.member_id).record_load(now, load)
        if load.server_time_s is not None:
            self._round_trip.record(max(0.0, now - began - load.server_time_s))

    def _build_headers(
        self, attempt: attempts_.Attempt, call: calls.Call
    ) -> multidict.CIMultiDict[str]:
        now = asyncio.get_running_loop().time()
        remaining_s = call.deadline - now
        waited_s = now - (call.latency_deadline - call.plan.latency_s)
        # If this daemon can send the call to another upstream, the other daemon
        # must not send it again itself: together they would run it 3 times.
        may_retry = self._has_alternatives(call) and call.plan.repeatable
        call_metadata = parsing.CallMetadata(
            max(1, math.ceil(remaining_s * 1000)),
            call.request_id,
            call.origin,
            call.depth,
            int(call.attempt > 0 or may_retry),
            max(0, int(waited_s * 1000)),
            suspect=call.suspect,
            wait=attempt.wait,
            repeat=call.repeat,
            return_trip_ms=round(self._round_trip.reserve(remaining_s) * 1000),
        )
        peer_headers = call.headers.copy()
        peer_headers[headers.PLAN] = plans.encode_plan(call.plan)
        peer_headers[headers.METADATA] = metadata.encode_metadata(call_metadata)
        return peer_headers


def _report_doubt(
    attempt: attempts_.Attempt,
    recorder: _AttemptRecorder,
    attempts: attempts_.Attempts,
    doubt: doubts.Doubt,
) -> None:
    """Reports that an attempt is in doubt to its recorder and its call."""
    recorder.record_doubt(doubt)
    attempts.report_doubt(attempt, doubt)
