"""Metrics of the latencies of calls and the reasons of their failures."""

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
# around the usual latency targets of calls for which a person waits, 0.1 to
# 0.5 s.
BUCKET_BOUNDS_S = (
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5,
    0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
)  # fmt: skip
# Maximum number of histograms, and of failure reasons. Calls beyond it are
# counted together.
MAX_LABEL_SETS = 100
_OTHER = "other"
_MIN_SERVER_ERROR_STATUS = 500


class Latencies:
    """Collects latency histograms by class of work, and failures by reason.

    It is a collector for `prometheus_client`.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], _Histogram] = {}
        self._reasons: collections.Counter[tuple[str, str, str]] = (
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
            plan: Class of work of the call.
            service: Service that was called.
            outcome: Outcome of the call.
            latency_s: Time until its outcome, in seconds.
        """
        outcome_name = _get_outcome_name(outcome)
        key = (service, plan.name, outcome_name)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add_histogram(key)
        histogram.observe(latency_s)
        if isinstance(
            outcome, (outcomes.NotRun, outcomes.Ran, outcomes.Unknown)
        ):
            self._count_reason(service, outcome_name, outcome.reason)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the latency histograms and the failure counts by reason."""
        latencies = metrics_core.HistogramMetricFamily(
            "merlintrestle_request_seconds",
            "Time until the outcome of a caller's call.",
            labels=("service", "class", "outcome"),
        )
        for key, histogram in self._histograms.items():
            latencies.add_metric(key, histogram.list_buckets(), histogram.sum_s)
        reasons = metrics_core.CounterMetricFamily(
            "merlintrestle_request_failures",
            "Calls without an ordinary answer, by reason.",
            labels=("service", "outcome", "reason"),
        )
        for reason_key, count in self._reasons.items():
            reasons.add_metric(reason_key, count)
        yield latencies
        yield reasons

    def _add_histogram(self, key: tuple[str, str, str]) -> _Histogram:
        if len(self._histograms) >= MAX_LABEL_SETS:
            key = (_OTHER, _OTHER, key[2])
        return self._histograms.setdefault(key, _Histogram())

    def _count_reason(
        self, service: str, outcome_name: str, reason: str
    ) -> None:
        key = (service, outcome_name, reason)
        if key not in self._reasons and len(self._reasons) >= MAX_LABEL_SETS:
            key = (_OTHER, outcome_name, _OTHER)
        self._reasons[key] += 1


class _Histogram:
    """A histogram of plain numbers, which are cheap to update on each call.

    Attributes:
        sum_s: Sum of all latencies, in seconds.
    """

    __slots__ = ("_counts", "sum_s")

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)

    def observe(self, latency_s: float) -> None:
        self.sum_s += latency_s
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1

    def list_buckets(self) -> list[tuple[str, float]]:
        bounds = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        sums = itertools.accumulate(self._counts)
        return [
            (bound, float(count))
            for bound, count in zip(bounds, sums, strict=True)
        ]


def _get_outcome_name(outcome: outcomes.Outcome) -> str:
    """Returns the value of the label `outcome`."""
    if isinstance(outcome, outcomes.Answered):
        failed = outcome.response.status >= _MIN_SERVER_ERROR_STATUS
        return "failed" if failed or outcome.truncated else "answered"
    if isinstance(outcome, outcomes.Replayed):
        return "answered"
    return outcomes.FAILURE_NAMES[type(outcome)]
