"""Latencies and reasons: how long callers waited, and why they were refused."""

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

# Upper bounds in seconds: close together around the latency targets that are
# usual for calls with a person waiting, 0.1 to 0.5 s.
BOUNDS_S = (
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5,
    0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
)  # fmt: skip
# Label values of one kind; what comes beyond them is counted together.
MAX_VALUES = 100
_OTHER = "other"
_SERVER_ERROR = 500


class Latencies:
    """A collector of histograms by class of work, and of reasons."""

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
        """Counts a call that ended."""
        name = _name_outcome(outcome)
        key = (service, plan.name, name)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add(key)
        histogram.observe(latency_s)
        if isinstance(
            outcome, (outcomes.NotRun, outcomes.Ran, outcomes.Unknown)
        ):
            self._count_reason(service, name, outcome.reason)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the histograms and the counts of reasons."""
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
        for reason, count in self._reasons.items():
            reasons.add_metric(reason, count)
        yield latencies
        yield reasons

    def _add(self, key: tuple[str, str, str]) -> _Histogram:
        if len(self._histograms) >= MAX_VALUES:
            key = (_OTHER, _OTHER, key[2])
        return self._histograms.setdefault(key, _Histogram())

    def _count_reason(self, service: str, name: str, reason: str) -> None:
        key = (service, name, reason)
        if key not in self._reasons and len(self._reasons) >= MAX_VALUES:
            key = (_OTHER, name, _OTHER)
        self._reasons[key] += 1


class _Histogram:
    """Counts by bucket; plain numbers, as each call is counted."""

    __slots__ = ("_counts", "sum_s")

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._counts = [0] * (len(BOUNDS_S) + 1)

    def observe(self, seconds: float) -> None:
        self.sum_s += seconds
        self._counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1

    def list_buckets(self) -> list[tuple[str, float]]:
        names = [*map(str, BOUNDS_S), "+Inf"]
        sums = itertools.accumulate(self._counts)
        return [(n, float(count)) for n, count in zip(names, sums, strict=True)]


def _name_outcome(outcome: outcomes.Outcome) -> str:
    if isinstance(outcome, outcomes.Answered):
        failed = outcome.response.status >= _SERVER_ERROR
        return "failed" if failed or outcome.truncated else "answered"
    if isinstance(outcome, outcomes.Replayed):
        return "answered"
    return outcomes.FAILURE_NAMES[type(outcome)]
