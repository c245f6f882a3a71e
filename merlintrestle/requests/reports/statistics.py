"""Statistics: what became of the calls of each class, lately."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from merlintrestle import generics
from merlintrestle.requests.calls import outcomes
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from merlintrestle.documents import snapshot

WINDOW_S = 60.0
_PARTS = 12
_PART_S = WINDOW_S / _PARTS
_SERVER_ERROR = 500


class Counts:
    """Calls of one class of work.

    Attributes:
        calls: All that ended.
        answered: Answered whole and without a server error.
        within_latency: Those of them whose answer came in time.
        refused: Refused as not run.
        failed: Ran and failed.
        unknown: May have run.
    """

    __slots__ = (
        "answered",
        "calls",
        "failed",
        "refused",
        "unknown",
        "within_latency",
    )

    def __init__(self) -> None:
        self.calls = 0
        self.answered = 0
        self.within_latency = 0
        self.refused = 0
        self.failed = 0
        self.unknown = 0


_Key = tuple[str, str, str]


class Statistics:
    """Counts calls by class of work over a sliding window, and in all.

    It is a collector for `prometheus_client`: what is counted per call are
    plain numbers, and metrics are made of them when they are asked for.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Sets the clock, in seconds."""
        self._get_time = get_time
        self._parts: collections.deque[tuple[int, dict[_Key, Counts]]] = (
            collections.deque(maxlen=_PARTS)
        )
        self._part: dict[_Key, Counts] = {}
        self._part_ends_at = 0.0
        # Of the parts that are over; those of the running one are added when
        # metrics are asked for, so that a call is counted in one place.
        self._totals: dict[_Key, Counts] = {}

    def record(
        self,
        plan: snapshot.ClassPlan,
        outcome: outcomes.Outcome,
        latency_s: float,
    ) -> None:
        """Counts a call that ended.

        Args:
            plan: Its class of work.
            outcome: What became of it.
            latency_s: Time until its outcome, in seconds.
        """
        now = self._get_time()
        if now >= self._part_ends_at:
            self._begin_part(now)
        key = (plan.organisation, plan.service, plan.name)
        counts = self._part.get(key)
        if counts is None:
            counts = self._part[key] = Counts()
        counts.calls += 1
        count(outcome, counts, latency_s <= plan.latency_s)

    def get_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns the calls of each class over the window."""
        first = int(self._get_time() / _PART_S) - _PARTS
        statuses: dict[_Key, control_pb2.ClassStatus] = {}
        for number, part in self._parts:
            if number <= first:
                continue
            for key, counts in part.items():
                status = statuses.get(key)
                if status is None:
                    status = statuses[key] = control_pb2.ClassStatus(
                        organisation=key[0],
                        service=key[1],
                        name=key[2],
                        window_s=WINDOW_S,
                    )
                _add(status, counts)
        return list(statuses.values())

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the metrics of all calls since the start."""
        family = metrics_core.CounterMetricFamily(
            "merlintrestle_requests",
            "Calls from callers by class of work and outcome.",
            labels=("organisation", "service", "class", "outcome"),
        )
        in_time = metrics_core.CounterMetricFamily(
            "merlintrestle_requests_within_latency",
            "Calls answered within the latency of their target.",
            labels=("organisation", "service", "class"),
        )
        for key, counts in self._sum_up().items():
            for outcome in ("answered", "refused", "failed", "unknown"):
                family.add_metric((*key, outcome), getattr(counts, outcome))
            in_time.add_metric(key, counts.within_latency)
        yield family
        yield in_time

    def _begin_part(self, now: float) -> None:
        self._totals = self._sum_up()
        number = int(now / _PART_S)
        self._part = {}
        self._part_ends_at = (number + 1) * _PART_S
        self._parts.append((number, self._part))

    def _sum_up(self) -> dict[_Key, Counts]:
        """Returns the counts of all calls since the start."""
        totals: dict[_Key, Counts] = {}
        for counted in (self._totals, self._part):
            for key, counts in counted.items():
                _add(totals.setdefault(key, Counts()), counts)
        return totals


@generics.remember_choices
@functools.singledispatch
def count(outcome: object, counts: Counts, in_time: bool) -> None:
    """Adds an outcome to the counts of its class."""
    raise TypeError(f"not an outcome: {outcome!r}")


@count.register
def _count_answered(
    outcome: outcomes.Answered, counts: Counts, in_time: bool
) -> None:
    if outcome.truncated or outcome.response.status >= _SERVER_ERROR:
        counts.failed += 1
        return
    counts.answered += 1
    counts.within_latency += in_time


@count.register
def _count_replayed(
    outcome: outcomes.Replayed, counts: Counts, in_time: bool
) -> None:
    counts.answered += 1
    counts.within_latency += in_time


@count.register
def _count_not_run(
    outcome: outcomes.NotRun, counts: Counts, in_time: bool
) -> None:
    counts.refused += 1


@count.register
def _count_ran(outcome: outcomes.Ran, counts: Counts, in_time: bool) -> None:
    counts.failed += 1


@count.register
def _count_unknown(
    outcome: outcomes.Unknown, counts: Counts, in_time: bool
) -> None:
    counts.unknown += 1


def _add(status: control_pb2.ClassStatus | Counts, counts: Counts) -> None:
    status.calls += counts.calls
    status.answered += counts.answered
    status.within_latency += counts.within_latency
    status.refused += counts.refused
    status.failed += counts.failed
    status.unknown += counts.unknown
