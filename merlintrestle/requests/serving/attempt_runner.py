"""Sending: one try of a call at one upstream, and what it shows of that."""

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
from merlintrestle.requests.reports import stories
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from merlintrestle.members import table as tables
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import picking
    from merlintrestle.requests.load import round_trips
    from merlintrestle.requests.serving import attempts as tries_
    from merlintrestle.requests.serving import local_runner as besides
    from merlintrestle.requests.transport import forwarding


class _Record:
    """What one try shows of its upstream.

    Attributes:
        began: When it began, in seconds.
    """

    __slots__ = ("_blamed", "_get_time", "_observation", "_work_s", "began")

    def __init__(
        self,
        observation: observations.Observation,
        work_s: float,
        get_time: Callable[[], float],
    ):
        """Counts the try; `work_s` is its expected work in seconds."""
        self._observation = observation
        self._work_s = work_s
        self._get_time = get_time
        # Whether a failure was noted while the try went on: it counts once.
        self._blamed = False
        self.began = get_time()
        observation.begin(self.began, work_s)

    def note_doubt(self, doubt: doubts.Doubt) -> None:
        """Notes that the answer may well not come."""
        if doubt.concerns_connection_only or self._blamed:
            return
        self._blamed = True
        self._observation.record_doubt(self._get_time())

    def note_cancellation(self) -> None:
        """Notes that nobody waits for the answer any more."""
        self._observation.record_cancellation(self._work_s)
        if self._blamed:
            self._observation.record_result(False)
        self._observation.end()

    def note(self, outcome: outcomes.Outcome) -> None:
        """Notes how the try has ended."""
        failed = isinstance(outcome, (outcomes.Ran, outcomes.Unknown))
        if failed and self._blamed:
            self.note_cancellation()
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
        member_id: Callable[[], str],
        table: interfaces.MemberTable,
        picker: picking.Picker,
        beside: besides.LocalRunner,
        forwarder: forwarding.Forwarder,
        get_time: Callable[[], float],
        way: round_trips.RoundTripTime,
    ):
        """Sets the parts; `member_id` gives the id of this daemon."""
        self._way = way
        self._member_id = member_id
        self._table = table
        self._picker = picker
        self._beside = beside
        self._forwarder = forwarder
        self._get_time = get_time

    async def run(
        self, one: tries_.Attempt, call: calls.Call, tries: tries_.Attempts
    ) -> outcomes.Outcome:
        """Sends a call to an upstream and adds to its story.

        Args:
            one: Where it is sent, and how.
            call: The call.
            tries: Hears if the try is in doubt.
        """
        record = _Record(
            self._picker.get_observation(one.upstream.member_id),
            call.plan.work_s,
            self._get_time,
        )
        report = functools.partial(_report, one, record, tries)
        outcome = await self._run_recorded(one, call, record, report)
        call.story.add(
            "tried",
            upstream=one.upstream.member_id,
            took_ms=round((self._get_time() - record.began) * 1000),
            left_ms=call.get_remaining_ms(),
            **stories.describe(outcome),
        )
        return outcome

    async def _run_recorded(
        self,
        one: tries_.Attempt,
        call: calls.Call,
        record: _Record,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        timer = self._limit(call, report)
        try:
            outcome = await self._run(one, call, report)
        except BaseException:
            record.note_cancellation()
            raise
        finally:
            if timer is not None:
                timer.cancel()
        record.note(outcome)
        return outcome

    async def _run(
        self,
        one: tries_.Attempt,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        if one.upstream.member_id == self._member_id():
            if one.wait is not call.wait:
                call = dataclasses.replace(call, wait=one.wait)
            return await self._beside.run(call)
        return await self._send(one, call, report)

    def _limit(
        self,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> asyncio.TimerHandle | None:
        """Has a first try that takes too long reported."""
        if not self._has_others(call):
            return None
        limit = retries.compute_hedge_time(call, self._get_time())
        if limit >= call.deadline:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(limit, report, doubts.Doubt.LATE)

    def _has_others(self, call: calls.Call) -> bool:
        return len(self._table.get_upstreams(call.service)) > 1

    async def _send(
        self,
        one: tries_.Attempt,
        call: calls.Call,
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        upstream = one.upstream
        began = self._get_time()
        outcome = await self._forwarder.send_to_peer(
            f"{upstream.address}:{upstream.peer_port}",
            f"/{call.service}{call.target}",
            call,
            self._build_headers(one, call),
            report,
            one.anew,
        )
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        reported = outcome.response.headers.get(headers.LOAD)
        load = loads.decode_load(reported) if reported else None
        if load is not None:
            self._note_load(upstream, load, began)
        if headers.OUTCOME in outcome.response.headers:
            return outcomes.read_failure(outcome)
        return outcome

    def _note_load(
        self, upstream: tables.Upstream, load: loads.Load, began: float
    ) -> None:
        """Notes what a daemon reported with its answer to a call."""
        now = self._get_time()
        self._picker.get_observation(upstream.member_id).record_load(now, load)
        if load.server_time_s is not None:
            self._way.record(max(0.0, now - began - load.server_time_s))

    def _build_headers(
        self, one: tries_.Attempt, call: calls.Call
    ) -> multidict.CIMultiDict[str]:
        now = asyncio.get_running_loop().time()
        left_s = call.deadline - now
        waited_s = now - (call.latency_deadline - call.plan.latency_s)
        # Where this daemon can try another upstream, the other daemon must not
        # start the call anew by itself: together they would run it 3 times.
        others = self._has_others(call) and call.plan.repeatable
        asked = parsing.CallMetadata(
            max(1, math.ceil(left_s * 1000)),
            call.request_id,
            call.origin,
            call.depth,
            int(call.attempt > 0 or others),
            max(0, int(waited_s * 1000)),
            suspect=call.suspect,
            wait=one.wait,
            repeat=call.repeat,
            return_trip_ms=round(self._way.reserve(left_s) * 1000),
        )
        sent = call.headers.copy()
        sent[headers.PLAN] = plans.encode_plan(call.plan)
        sent[headers.PASSED] = metadata.encode_metadata(asked)
        return sent


def _report(
    one: tries_.Attempt,
    record: _Record,
    tries: tries_.Attempts,
    doubt: doubts.Doubt,
) -> None:
    """Passes on that a try is in doubt."""
    record.note_doubt(doubt)
    tries.report(one, doubt)
