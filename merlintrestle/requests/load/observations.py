"""Observations of upstreams by this daemon.

They take precedence over what the upstreams report, because reports are delayed
and can be wrong.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from merlintrestle import generics
from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.requests.load import loads

# Consecutive failures after which an upstream is ejected.
_MAX_FAILURES = 3
# Durations of the first and of the longest ejection, in seconds. Each ejection
# is twice as long as the one before.
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# Time after a refusal in which the upstream is picked only if all others are
# unavailable.
_BACKOFF_S = 0.5
# An upstream is unresponsive if it has answered nothing for longer than this
# time, in seconds, while quick calls were waiting for their first byte. Slow
# calls may take that long.
MAX_SILENCE_S = 0.5
# Greatest expected work time of a quick call, in seconds.
_MAX_QUICK_WORK_S = 0.05
_LATENCY_EWMA_WEIGHT = 0.2
# Minimum work time by which a latency is divided, in seconds, as the expected
# work time may be 0.
_MIN_WORK_S = 0.001
# Weight of the latest call in the success rate. About ten calls suffice to
# distinguish an upstream that fails every third call from the others.
_SUCCESS_EWMA_WEIGHT = 0.1
# Lower limit of the success rate. An upstream that fails every call is ejected
# anyway; the limit keeps its utilization finite when it is used again.
_MIN_SUCCESS_RATE = 0.1
# Maximum age of a load report that is used, in seconds. Calls take some tenths
# of a second, so most of the calls that an older report counted have ended.
MAX_LOAD_AGE_S = 1.0


class Observation:
    """The state of one upstream as observed by this daemon.

    All times are those of the event loop, in seconds.

    Attributes:
        in_flight: Number of calls sent to it whose answers have not ended.
        awaiting_first_byte: Number of quick calls in flight that have not
            received the first byte of their answer.
        consecutive_failures: Number of failures since its last answer.
        ejected_until: End of its ejection; 0: it is not ejected. It stays set
            until an answer shows that the upstream is healthy again.
        ejections: Number of ejections since its last answer, at most 10.
        probing: True while a call probes whether it is healthy again.
        backoff_until: End of its backoff, which begins when it refuses a call.
            Until then other upstreams are preferred.
        latency_ratio: EWMA of the latency divided by the expected work time; 0:
            not known.
        success_rate: EWMA of the calls that it ran and answered successfully,
            from `_MIN_SUCCESS_RATE` to 1.
        last_answer_at: When it last answered or refused a call; 0: never.
        silent_since: Since when it has answered nothing although a quick call
            was waiting for its first byte.
        load: The last load report of its daemon; None: there is none.
        load_received_at: When the load report was received.
        in_flight_at_load: `in_flight` at that time.
    """

    __slots__ = (
        "awaiting_first_byte",
        "backoff_until",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "in_flight",
        "in_flight_at_load",
        "last_answer_at",
        "latency_ratio",
        "load",
        "load_received_at",
        "probing",
        "silent_since",
        "success_rate",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.awaiting_first_byte = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False
        self.backoff_until = 0.0
        self.latency_ratio = 0.0
        self.success_rate = 1.0
        self.last_answer_at = 0.0
        self.silent_since = 0.0
        self.load: loads.Load | None = None
        self.load_received_at = 0.0
        self.in_flight_at_load = 0

    def reset(self) -> None:
        """Discards what was observed, after a restart of the backend server.

        The failures, speed and load of the previous process say nothing about
        the new one. Calls in flight are still counted until they end.
        """
        in_flight, awaiting = self.in_flight, self.awaiting_first_byte
        Observation.__init__(self)
        self.in_flight, self.awaiting_first_byte = in_flight, awaiting

    def record_load(self, now: float, load: loads.Load) -> None:
        """Records the load that the daemon of the upstream reported."""
        self.load = load
        self.load_received_at = now
        self.in_flight_at_load = self.in_flight

    def has_recent_load(self, now: float) -> bool:
        """Returns whether there is a load report recent enough to be used."""
        return (
            self.load is not None
            and now - self.load_received_at <= MAX_LOAD_AGE_S
        )

    def estimate_calls(self, now: float) -> int:
        """Returns the number of its calls, including those of other daemons."""
        return self.estimate(now)[0]

    def estimate_success_rate(self, now: float) -> float:
        """Returns the fraction of its recent calls that succeeded.

        If it is smaller, the acceptance rate that its daemon reports is
        returned, which includes the calls of other daemons.
        """
        return self.estimate(now)[1]

    def estimate(self, now: float) -> tuple[int, float]:
        """Returns `estimate_calls` and `estimate_success_rate`."""
        load = self.load
        if load is None or now - self.load_received_at > MAX_LOAD_AGE_S:
            return self.in_flight, self.success_rate
        calls = self.in_flight
        if load.calls > self.in_flight_at_load:
            calls += load.calls - self.in_flight_at_load
        success_rate = self.success_rate
        if load.acceptance_rate < success_rate:
            success_rate = max(_MIN_SUCCESS_RATE, load.acceptance_rate)
        return calls, success_rate

    def estimate_backlog_s(self, now: float) -> float:
        """Returns how long its link is busy with large answers, in seconds.

        The reported time decreases by the age of the report.
        """
        if self.load is None:
            return 0.0
        return max(
            0.0, self.load.link_backlog_s - (now - self.load_received_at)
        )

    def begin(self, now: float, work_s: float) -> None:
        """Counts a call that is sent.

        Args:
            now: When it is sent, in seconds.
            work_s: Expected work time of the call, in seconds.
        """
        self.in_flight += 1
        if work_s <= _MAX_QUICK_WORK_S:
            if not self.awaiting_first_byte:
                self.silent_since = now
            self.awaiting_first_byte += 1
        if self.ejected_until:
            self.probing = True

    def record_answer(
        self, now: float, latency_s: float, work_s: float
    ) -> None:
        """Records an answer, which shows that the upstream is responsive.

        An ejection ends. Whether the answer is an error is recorded by
        `update_success_rate`.

        Args:
            now: When the answer arrived, in seconds.
            latency_s: Time since the call was sent, in seconds.
            work_s: Expected work time of the call, in seconds.
        """
        self._record_first_byte(now, work_s)
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.ejections = 0
        latency_ratio = latency_s / max(work_s, _MIN_WORK_S)
        if self.latency_ratio:
            self.latency_ratio += _LATENCY_EWMA_WEIGHT * (
                latency_ratio - self.latency_ratio
            )
        else:
            self.latency_ratio = latency_ratio

    def record_refusal(self, now: float, work_s: float) -> None:
        """Records a refusal: the upstream is responsive but overloaded."""
        self._record_first_byte(now, work_s)
        self.backoff_until = now + _BACKOFF_S

    def record_failure(
        self, now: float, work_s: float, failures: int = 1
    ) -> None:
        """Records a failed call.

        Args:
            now: Time of the failure, in seconds.
            work_s: Expected work time of the call, in seconds.
            failures: Number of failures that the call counts as.
        """
        self.stop_awaiting(work_s)
        self._count_failures(now, failures)

    def record_overdue(self, now: float) -> None:
        """Records that a call is overdue: not answered in the expected time.

        The overdue call counts as a failure but continues. If only its end were
        recorded, calls would be sent to an unresponsive upstream until the
        deadline of the first one.
        """
        self.probing = False
        self._count_failures(now, 1)

    def _count_failures(self, now: float, failures: int) -> None:
        self.consecutive_failures += failures
        if self.consecutive_failures < _MAX_FAILURES and not self.ejected_until:
            return
        ejection_s = _FIRST_EJECTION_S * 2**self.ejections
        self.ejected_until = now + min(ejection_s, _MAX_EJECTION_S)
        # The limit keeps the power above small. Five ejections reach
        # `_MAX_EJECTION_S`.
        self.ejections = min(self.ejections + 1, 10)

    def stop_awaiting(self, work_s: float) -> None:
        """Records that a call no longer waits for its first byte.

        It was cancelled, which shows nothing about the health of the upstream,
        or its answer or failure is recorded in addition.
        """
        self.probing = False
        if work_s <= _MAX_QUICK_WORK_S:
            self.awaiting_first_byte -= 1

    def update_success_rate(self, succeeded: bool) -> None:
        """Updates the success rate by a call that reached it.

        Args:
            succeeded: Whether it ran the call without an error.
        """
        self.success_rate += _SUCCESS_EWMA_WEIGHT * (
            succeeded - self.success_rate
        )
        self.success_rate = max(_MIN_SUCCESS_RATE, self.success_rate)

    def end(self) -> None:
        """Counts a call whose answer has ended."""
        self.in_flight -= 1

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether quick calls wait and the upstream answers nothing.

        Without this check, an upstream that accepts calls and never answers
        would be detected only at the deadlines of these calls.
        """
        return (
            self.awaiting_first_byte > 0
            and now - self.silent_since > MAX_SILENCE_S
        )

    def is_available(self, now: float) -> bool:
        """Returns whether it is not ejected, in backoff or unresponsive."""
        if self.ejected_until or now < self.backoff_until:
            return False
        return not (self.awaiting_first_byte and self.is_unresponsive(now))

    def may_probe(self, now: float) -> bool:
        """Returns whether a call may probe it because its ejection is over."""
        expired = 0.0 < self.ejected_until <= now
        return expired and not self.probing

    def _record_first_byte(self, now: float, work_s: float) -> None:
        """Records the first byte of an answer or a refusal."""
        self.stop_awaiting(work_s)
        self.last_answer_at = now
        self.silent_since = now


@generics.cache_dispatch
@functools.singledispatch
def record_outcome(
    outcome: object,
    observation: Observation,
    now: float,
    sent_at: float,
    work_s: float,
) -> None:
    """Records the outcome of a call for the upstream that it was sent to.

    Args:
        outcome: The outcome.
        observation: The observation of the upstream.
        now: Current time, in seconds.
        sent_at: When the call was sent, in seconds.
        work_s: Expected work time of the call, in seconds.
    """
    raise TypeError(f"not an outcome: {outcome!r}")


@record_outcome.register
def _record_answered(
    outcome: outcomes.Answered,
    observation: Observation,
    now: float,
    sent_at: float,
    work_s: float,
) -> None:
    observation.update_success_rate(
        outcome.response.status < outcomes.MIN_SERVER_ERROR_STATUS
    )
    if outcome.response.status == outcomes.SHEDDING_STATUS:
        observation.record_refusal(now, work_s)
    else:
        observation.record_answer(now, now - sent_at, work_s)


@record_outcome.register
def _record_replayed(
    outcome: outcomes.Replayed,
    observation: Observation,
    now: float,
    sent_at: float,
    work_s: float,
) -> None:
    observation.record_refusal(now, work_s)
    # A stored answer shows that the upstream is responsive. It is not a
    # refusal, so there is no backoff, and it says nothing about the latency.
    observation.backoff_until = 0.0


@record_outcome.register
def _record_not_run(
    outcome: outcomes.NotRun,
    observation: Observation,
    now: float,
    sent_at: float,
    work_s: float,
) -> None:
    if outcome.unreachable:
        observation.record_failure(now, work_s, _MAX_FAILURES)
        return
    if outcome.reached:
        observation.update_success_rate(False)
    observation.record_refusal(now, work_s)
    if not outcome.elsewhere:
        # The refusal is caused by the call instead of the upstream, so there
        # is no backoff.
        observation.backoff_until = 0.0


@record_outcome.register(outcomes.Ran)
@record_outcome.register(outcomes.Unknown)
def _record_failure(
    outcome: outcomes.Ran | outcomes.Unknown,
    observation: Observation,
    now: float,
    sent_at: float,
    work_s: float,
) -> None:
    observation.update_success_rate(False)
    observation.record_failure(now, work_s)
