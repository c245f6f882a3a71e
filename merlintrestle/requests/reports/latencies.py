"""Metrics of call latencies and failure reasons."""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from merlintrestle.documents import snapshot

# Upper bounds of the histogram buckets, in seconds. They are close together
# from 0.1 to 0.5 s, the usual range of latency targets for interactive calls.
BUCKET_BOUNDS_S = (
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5,
    0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
)  # fmt: skip
# Maximum number of label combinations of each metric, to bound the memory that
# they take. Calls with further combinations are counted under `_OTHER`.
MAX_LABEL_SETS = 100
# Value of the labels `service`, `class` and `reason` for these calls.
_OTHER = "other"
# Minimum HTTP status of a server error.
_MIN_SERVER_ERROR_STATUS = 500


class Latencies:
    """Latency histograms by class of work, and counts of failures by reason.

    It is a collector for `prometheus_client`.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], _Histogram] = {}
        self._failure_counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def record(
        self,
        plan: snapshot.ClassPlan,
        service: str,
        outcome: outcomes.Outcome,
        latency_s: float,
    ) -> None:
        """Records a finished call.

        Args:
            plan: Plan of its class of work.
            service: Service that was called.
            outcome: Outcome of the call.
            latency_s: Time from its start to its outcome, in seconds.
        """
        outcome_label = _get_outcome_label(outcome)
        key = (service, plan.name, outcome_label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add_histogram(key)
        histogram.observe(latency_s)
        if isinstance(
            outcome, (outcomes.NotRun, outcomes.Ran, outcomes.Unknown)
        ):
            self._count_failure(service, outcome_label, outcome.reason)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the latency histograms and the failure counts by reason."""
        histograms = metrics_core.HistogramMetricFamily(
            "merlintrestle_request_seconds",
            "Time until the outcome of a caller's call.",
            labels=("service", "class", "outcome"),
        )
        for key, histogram in self._histograms.items():
            histograms.add_metric(
                key, histogram.list_buckets(), histogram.sum_s
            )
        failures = metrics_core.CounterMetricFamily(
            "merlintrestle_request_failures",
            "Calls without an ordinary answer, by reason.",
            labels=("service", "outcome", "reason"),
        )
        for failure_key, count in self._failure_counts.items():
            failures.add_metric(failure_key, count)
        yield histograms
        yield failures

    def _add_histogram(self, key: tuple[str, str, str]) -> _Histogram:
        if len(self._histograms) >= MAX_LABEL_SETS:
            key = (_OTHER, _OTHER, key[2])
        return self._histograms.setdefault(key, _Histogram())

    def _count_failure(
        self, service: str, outcome_label: str, reason: str
    ) -> None:
        key = (service, outcome_label, reason)
        if (
            key not in self._failure_counts
            and len(self._failure_counts) >= MAX_LABEL_SETS
        ):
            key = (_OTHER, outcome_label, _OTHER)
        self._failure_counts[key] += 1


class _Histogram:
    """A histogram that is updated on each call.

    It consists of Python numbers, as these are cheap to update.

    Attributes:
        sum_s: Sum of all latencies, in seconds.
    """

    __slots__ = ("_counts", "sum_s")

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)

    def observe(self, latency_s: float) -> None:
        """Adds a latency, in seconds."""
        self.sum_s += latency_s
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1

    def list_buckets(self) -> list[tuple[str, float]]:
        """Returns the upper bound and cumulative count of each bucket."""
        bounds = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        cumulative_counts = itertools.accumulate(self._counts)
        return [
            (bound, float(count))
            for bound, count in zip(bounds, cumulative_counts, strict=True)
        ]


def _get_outcome_label(outcome: outcomes.Outcome) -> str:
    """Returns the value of the label `outcome`.

    Server errors and truncated answers count as failed, unlike in the decision
    log, where they have the events "answered" and "answer cut".
    """
    if isinstance(outcome, outcomes.Answered):
        server_error = outcome.response.status >= _MIN_SERVER_ERROR_STATUS
        return "failed" if server_error or outcome.truncated else "answered"
    if isinstance(outcome, outcomes.Replayed):
        return "answered"
    return outcomes.FAILURE_NAMES[type(outcome)]
