"""Observations: what this daemon saw itself of each upstream.

They go before what upstreams report of themselves, which lags and misleads.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from merlintrestle import generics
from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.requests.load import loads

# Failures in a row after which an upstream is ejected.
_MAX_FAILURES = 3
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# How long an upstream that refused work gets none if others can take it.
_REFUSED_S = 0.5
# Quick calls that wait for a first byte this long, while nothing else comes
# either, show an upstream as stalled. Slow ones prove nothing by waiting.
STALL_S = 0.5
_QUICK_S = 0.05
# Weight of the newest latency in the mean.
_NEWEST = 0.2
_LEAST_WORK_S = 0.001
# Weight of the newest call in the part that ended well: some ten calls tell an
# upstream that fails every third one from the others.
_NEWEST_RESULT = 0.1
# An upstream that fails every call is ejected anyway; the weight of one that
# comes back must stay finite.
_LEAST_SOUNDNESS = 0.1
# A reported load says nothing any more after this time: calls take some tenths
# of a second, so that by then most of those it counted have ended.
LOAD_AGE_S = 1.0


class Observation:
    """One upstream as seen from here; times are in seconds of the event loop.

    Attributes:
        in_flight: Calls sent to it whose answers have not ended.
        awaiting: Quick ones of them without a first byte.
        failures: Failures in a row.
        ejected_until: No work before; 0: not ejected.
        ejections: Ejections since it last answered.
        probing: True while one call tries whether it is well again.
        backoff_until: Others are preferred before.
        slowness: Mean of latency over expected work time; 0: not known.
        success_rate: Part of the calls lately that it ran and answered well.
        answered_at: When it last answered.
        quiet_since: Since when nothing came though a call was waiting.
        load: What its daemon reported last; None: nothing yet.
        load_at: When that came.
        sent_at_load: Calls in flight from here at that time.
    """

    __slots__ = (
        "answered_at",
        "awaiting",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "load",
        "load_at",
        "probing",
        "quiet_since",
        "backoff_until",
        "sent_at_load",
        "slowness",
        "success_rate",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.awaiting = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False
        self.backoff_until = 0.0
        self.slowness = 0.0
        self.success_rate = 1.0
        self.answered_at = 0.0
        self.quiet_since = 0.0
        self.load: loads.Load | None = None
        self.load_at = 0.0
        self.sent_at_load = 0

    def reset(self) -> None:
        """Forgets what was seen: another process is at its place.

        Its failures, its speed and its load are not those of the one before.
        Calls in flight are still counted until they end.
        """
        in_flight, awaiting = self.in_flight, self.awaiting
        Observation.__init__(self)
        self.in_flight, self.awaiting = in_flight, awaiting

    def record_load(self, now: float, load: loads.Load) -> None:
        """Notes what the daemon of the upstream reported with an answer."""
        self.load = load
        self.load_at = now
        self.sent_at_load = self.in_flight

    def has_recent_load(self, now: float) -> bool:
        """Returns whether its load was reported lately."""
        return self.load is not None and now - self.load_at <= LOAD_AGE_S

    def estimate_calls(self, now: float) -> int:
        """Returns the calls that the upstream has, those of others too."""
        return self.estimate(now)[0]

    def estimate_success_rate(self, now: float) -> float:
        """Returns the part of the calls lately that ended well there.

        What its daemon tells is of all calls, those of others too.
        """
        return self.estimate(now)[1]

    def estimate(self, now: float) -> tuple[int, float]:
        """Returns `estimate_calls` and `estimate_soundness`."""
        load = self.load
        if load is None or now - self.load_at > LOAD_AGE_S:
            return self.in_flight, self.success_rate
        calls = self.in_flight
        if load.calls > self.sent_at_load:
            calls += load.calls - self.sent_at_load
        soundness = self.success_rate
        if load.accepted < soundness:
            soundness = max(_LEAST_SOUNDNESS, load.accepted)
        return calls, soundness

    def estimate_backlog_s(self, now: float) -> float:
        """Returns the time for which its link has long answers to send.

        What was reported gets less by itself.
        """
        if self.load is None:
            return 0.0
        return max(0.0, self.load.link_backlog_s - (now - self.load_at))

    def begin(self, now: float, work_s: float) -> None:
        """Counts a call that is being sent and takes `work_s` as expected."""
        self.in_flight += 1
        if work_s <= _QUICK_S:
            if not self.awaiting:
                self.quiet_since = now
            self.awaiting += 1
        if self.ejected_until:
            self.probing = True

    def record_answer(
        self, now: float, latency_s: float, work_s: float
    ) -> None:
        """Notes that a call was answered; the upstream is well."""
        self._note_byte(now, work_s)
        self.failures = 0
        self.ejected_until = 0.0
        self.ejections = 0
        slowness = latency_s / max(work_s, _LEAST_WORK_S)
        if self.slowness:
            self.slowness += _NEWEST * (slowness - self.slowness)
        else:
            self.slowness = slowness

    def record_refusal(self, now: float, work_s: float) -> None:
        """Notes that it refused a call: it lives, but takes no work now."""
        self._note_byte(now, work_s)
        self.backoff_until = now + _REFUSED_S

    def record_failure(
        self, now: float, work_s: float, failures: int = 1
    ) -> None:
        """Notes a failure; some prove more than one."""
        self.record_cancellation(work_s)
        self._count_failures(now, failures)

    def record_doubt(self, now: float) -> None:
        """Notes that a call gets no answer in reasonable time.

        The call goes on. Were that noted at its end alone, a frozen upstream
        would be sent calls until the deadline of the first.
        """
        self.probing = False
        self._count_failures(now, 1)

    def _count_failures(self, now: float, failures: int) -> None:
        self.failures += failures
        if self.failures < _MAX_FAILURES and not self.ejected_until:
            return
        length_s = _FIRST_EJECTION_S * 2**self.ejections
        self.ejected_until = now + min(length_s, _MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 10)

    def record_cancellation(self, work_s: float) -> None:
        """Notes that the caller left before an answer: proves nothing."""
        self.probing = False
        if work_s <= _QUICK_S:
            self.awaiting -= 1

    def record_result(self, good: bool) -> None:
        """Notes whether a call that reached it was run and answered well."""
        self.success_rate += _NEWEST_RESULT * (good - self.success_rate)
        self.success_rate = max(_LEAST_SOUNDNESS, self.success_rate)

    def end(self) -> None:
        """Counts a call as ended, its answer included."""
        self.in_flight -= 1

    def is_stalled(self, now: float) -> bool:
        """Returns whether quick calls wait and nothing at all comes back.

        Calls to a frozen upstream would otherwise each wait for their
        deadline before it counts as failed.
        """
        return self.awaiting > 0 and now - self.quiet_since > STALL_S

    def may_take(self, now: float) -> bool:
        """Returns whether it may be sent work before the others are tried."""
        if self.ejected_until or now < self.backoff_until:
            return False
        return not (self.awaiting and self.is_stalled(now))

    def may_probe(self, now: float) -> bool:
        """Returns whether it is time to try an ejected upstream by one call."""
        ended = 0.0 < self.ejected_until <= now
        return ended and not self.probing

    def _note_byte(self, now: float, work_s: float) -> None:
        self.record_cancellation(work_s)
        self.answered_at = now
        self.quiet_since = now


@generics.remember_choices
@functools.singledispatch
def record(
    outcome: object,
    observation: Observation,
    now: float,
    began: float,
    work_s: float,
) -> None:
    """Notes what an outcome says about the upstream that gave it."""
    raise TypeError(f"not an outcome: {outcome!r}")


@record.register
def _note_answered(
    outcome: outcomes.Answered,
    observation: Observation,
    now: float,
    began: float,
    work_s: float,
) -> None:
    observation.record_result(
        outcome.response.status < outcomes.MIN_SERVER_ERROR_STATUS
    )
    if outcome.response.status == outcomes.SHEDDING_STATUS:
        observation.record_refusal(now, work_s)
    else:
        observation.record_answer(now, now - began, work_s)


@record.register
def _note_replayed(
    outcome: outcomes.Replayed,
    observation: Observation,
    now: float,
    began: float,
    work_s: float,
) -> None:
    observation.record_refusal(now, work_s)
    observation.backoff_until = 0.0


@record.register
def _note_not_run(
    outcome: outcomes.NotRun,
    observation: Observation,
    now: float,
    began: float,
    work_s: float,
) -> None:
    if outcome.unreachable:
        observation.record_failure(now, work_s, _MAX_FAILURES)
        return
    if outcome.reached:
        observation.record_result(False)
    observation.record_refusal(now, work_s)
    if not outcome.elsewhere:
        # The call is at fault, not the upstream.
        observation.backoff_until = 0.0


@record.register(outcomes.Ran)
@record.register(outcomes.Unknown)
def _note_failure(
    outcome: outcomes.Ran | outcomes.Unknown,
    observation: Observation,
    now: float,
    began: float,
    work_s: float,
) -> None:
    observation.record_result(False)
    observation.record_failure(now, work_s)
