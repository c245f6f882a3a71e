"""Counts of call outcomes by class of work."""

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

# Length of the sliding window, in seconds.
WINDOW_S = 60.0
# Number of buckets into which the window is divided, and length of each.
_BUCKET_COUNT = 12
_BUCKET_S = WINDOW_S / _BUCKET_COUNT
# Minimum HTTP status of a server error.
_MIN_SERVER_ERROR_STATUS = 500


class Counts:
    """Number of calls of one class of work, by outcome.

    Attributes:
        calls: All finished calls.
        answered: Calls with a complete answer that is not a server error.
        within_latency: Answered calls that met their latency target.
        refused: Calls that were refused and did not run.
        failed: Calls that ran and failed.
        unknown: Calls that may or may not have run.
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


# Organisation, service and name of the class of work.
_Key = tuple[str, str, str]


class OutcomeCounts:
    """Counts calls by class of work, over a sliding window and since the start.

    It is a collector for `prometheus_client`. A call only updates Python
    integers, which is cheap; metrics are built from them on collection.
    `latencies.Latencies` has the latency distributions of the same calls.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes the counts.

        Args:
            get_time: Returns the time in seconds.
        """
        self._get_time = get_time
        self._buckets: collections.deque[tuple[int, dict[_Key, Counts]]] = (
            collections.deque(maxlen=_BUCKET_COUNT)
        )
        self._bucket: dict[_Key, Counts] = {}
        self._bucket_ends_at = 0.0
        # Totals of all buckets before the current one. The counts of the
        # current bucket are added on collection, so that each call updates a
        # single `Counts`.
        self._totals: dict[_Key, Counts] = {}

    def record(
        self,
        plan: snapshot.ClassPlan,
        outcome: outcomes.Outcome,
        latency_s: float,
    ) -> None:
        """Records a finished call.

        Args:
            plan: Plan of its class of work.
            outcome: Outcome of the call.
            latency_s: Time from its start to its outcome, in seconds.
        """
        now = self._get_time()
        if now >= self._bucket_ends_at:
            self._begin_bucket(now)
        key = (plan.organisation, plan.service, plan.name)
        counts = self._bucket.get(key)
        if counts is None:
            counts = self._bucket[key] = Counts()
        counts.calls += 1
        count_outcome(outcome, counts, latency_s <= plan.latency_s)

    def get_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns the counts of each class of work over the sliding window."""
        last_expired_number = int(self._get_time() / _BUCKET_S) - _BUCKET_COUNT
        class_statuses: dict[_Key, control_pb2.ClassStatus] = {}
        for bucket_number, bucket in self._buckets:
            if bucket_number <= last_expired_number:
                continue
            for key, counts in bucket.items():
                class_status = class_statuses.get(key)
                if class_status is None:
                    class_status = class_statuses[key] = (
                        control_pb2.ClassStatus(
                            organisation=key[0],
                            service=key[1],
                            name=key[2],
                            window_s=WINDOW_S,
                        )
                    )
                _add_counts(class_status, counts)
        return list(class_statuses.values())

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the metrics of all calls since the start."""
        by_outcome = metrics_core.CounterMetricFamily(
            "merlintrestle_requests",
            "Calls from callers by class of work and outcome.",
            labels=("organisation", "service", "class", "outcome"),
        )
        within_latency = metrics_core.CounterMetricFamily(
            "merlintrestle_requests_within_latency",
            "Calls answered within the latency of their target.",
            labels=("organisation", "service", "class"),
        )
        for key, counts in self._compute_totals().items():
            for outcome in ("answered", "refused", "failed", "unknown"):
                by_outcome.add_metric((*key, outcome), getattr(counts, outcome))
            within_latency.add_metric(key, counts.within_latency)
        yield by_outcome
        yield within_latency

    def _begin_bucket(self, now: float) -> None:
        self._totals = self._compute_totals()
        bucket_number = int(now / _BUCKET_S)
        self._bucket = {}
        self._bucket_ends_at = (bucket_number + 1) * _BUCKET_S
        self._buckets.append((bucket_number, self._bucket))

    def _compute_totals(self) -> dict[_Key, Counts]:
        """Returns the counts of all calls since the start."""
        totals: dict[_Key, Counts] = {}
        for counts_by_key in (self._totals, self._bucket):
            for key, counts in counts_by_key.items():
                _add_counts(totals.setdefault(key, Counts()), counts)
        return totals


@generics.cache_dispatch
@functools.singledispatch
def count_outcome(
    outcome: object, counts: Counts, within_latency: bool
) -> None:
    """Adds the outcome of a call to the counts of its class of work.

    Args:
        outcome: Outcome of the call.
        counts: Counts of its class of work.
        within_latency: Whether its latency was within the target of its class.
    """
    raise TypeError(f"not an outcome: {outcome!r}")


@count_outcome.register
def _count_answered(
    outcome: outcomes.Answered, counts: Counts, within_latency: bool
) -> None:
    if outcome.truncated or outcome.response.status >= _MIN_SERVER_ERROR_STATUS:
        counts.failed += 1
        return
    counts.answered += 1
    counts.within_latency += within_latency


@count_outcome.register
def _count_replayed(
    outcome: outcomes.Replayed, counts: Counts, within_latency: bool
) -> None:
    counts.answered += 1
    counts.within_latency += within_latency


@count_outcome.register
def _count_not_run(
    outcome: outcomes.NotRun, counts: Counts, within_latency: bool
) -> None:
    counts.refused += 1


@count_outcome.register
def _count_ran(
    outcome: outcomes.Ran, counts: Counts, within_latency: bool
) -> None:
    counts.failed += 1


@count_outcome.register
def _count_unknown(
    outcome: outcomes.Unknown, counts: Counts, within_latency: bool
) -> None:
    counts.unknown += 1


def _add_counts(
    total: control_pb2.ClassStatus | Counts, counts: Counts
) -> None:
    total.calls += counts.calls
    total.answered += counts.answered
    total.within_latency += counts.within_latency
    total.refused += counts.refused
    total.failed += counts.failed
    total.unknown += counts.unknown
