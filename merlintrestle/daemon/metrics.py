"""Prometheus metrics of a daemon."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import metrics_core

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterator

    from merlintrestle.members import table as tables
    from merlintrestle.requests.serving import proxy as proxies
    from merlintrestle.store import eras
    from merlintrestle.versions import active_version as active_versions
    from merlintrestle.versions import freshness as freshness_lib


class StateCollector:
    """Collects metrics of the state of the daemon."""

    def __init__(
        self,
        active_version: active_versions.ActiveVersion,
        table: tables.MemberTable,
        proxy: proxies.Proxy,
        era: eras.StoreEra,
        freshness: freshness_lib.Freshness,
    ):
        """Initializes the collector with the sources of the metrics."""
        self._freshness = freshness
        self._era = era
        self._active_version = active_version
        self._table = table
        self._proxy = proxy

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the state of the version, calls, notices and members."""
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_running_version",
            "Number of the configuration version that runs; 0: none.",
            value=self._active_version.version,
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_closed",
            "1 while every request is refused as not run.",
            value=int(bool(self._active_version.closed_reason)),
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_requests_in_flight",
            "Calls that are not yet answered whole.",
            value=self._proxy.in_flight,
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_workspaces_waiting",
            "Workspaces with calls that wait for a slot, by class and summed.",
            value=self._proxy.workspaces_waiting,
        )
        notices = self._proxy.backend_notices
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_backend_rate_limit",
            "Calls per second that the backend server accepts; +Inf: no limit.",
            value=math.inf
            if notices.rate_limit is None
            else notices.rate_limit,
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_backend_leaving",
            "1 if an answer of the backend server stated that it leaves.",
            value=int(notices.leaving),
        )
        members = metrics_core.GaugeMetricFamily(
            "merlintrestle_members",
            "Members known, by state.",
            labels=("state",),
        )
        counts = collections.Counter(
            member.state for member in self._table.list_members()
        )
        for state, count in sorted(counts.items()):
            name = control_pb2.MemberState.Name(state).lower()
            members.add_metric((name,), count)
        yield members
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_store_era",
            "Era of the store, which rises when it comes back from a copy.",
            value=self._era.current or 0,
        )
        keys = self._freshness.keys.get()
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_unusable_version",
            "A newer version that this daemon cannot use; 0: none is known.",
            value=keys.version if keys is not None else 0,
        )
        if self._freshness.is_required():
            yield metrics_core.GaugeMetricFamily(
                "merlintrestle_freshness_age_seconds",
                "Time since the running version was known to be the newest.",
                value=self._freshness.get_age(),
            )


def build_registry(
    active_version: active_versions.ActiveVersion,
    table: tables.MemberTable,
    proxy: proxies.Proxy,
    era: eras.StoreEra,
    freshness: freshness_lib.Freshness,
) -> prometheus_client.CollectorRegistry:
    """Returns a registry with the metrics of a daemon."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(
        StateCollector(active_version, table, proxy, era, freshness)
    )
    registry.register(proxy.outcome_counts)
    registry.register(proxy.latencies)
    registry.register(proxy.traffic)
    registry.register(proxy.workspace_admission.refusals)
    return registry


def render_metrics(registry: prometheus_client.CollectorRegistry) -> bytes:
    """Returns the metrics of the process and of a daemon as text."""
    process_metrics = prometheus_client.generate_latest()
    return process_metrics + prometheus_client.generate_latest(registry)
