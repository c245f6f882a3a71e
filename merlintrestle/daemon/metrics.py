"""Metrics of one daemon: what it runs, knows and has in flight."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import metrics_core

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterator

    from merlintrestle.members import table as tables
    from merlintrestle.requests.serving import proxy as proxies
    from merlintrestle.versions import active_version as holders


class StateCollector:
    """Reads the daemon's state when metrics are asked for."""

    def __init__(
        self,
        holder: holders.ActiveVersion,
        table: tables.MemberTable,
        proxy: proxies.Proxy,
    ):
        """Sets the parts that are read."""
        self._holder = holder
        self._table = table
        self._proxy = proxy

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields version, closed state, members by state and calls."""
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_running_version",
            "Number of the configuration version that runs; 0: none.",
            value=self._holder.version,
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_closed",
            "1 while every request is refused as not run.",
            value=int(bool(self._holder.closed_reason)),
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_requests_in_flight",
            "Calls that are not yet answered whole.",
            value=self._proxy.in_flight,
        )
        members = metrics_core.GaugeMetricFamily(
            "merlintrestle_members",
            "Members known, by state.",
            labels=("state",),
        )
        counts = collections.Counter(
            m.state for m in self._table.list_members()
        )
        for state, count in sorted(counts.items()):
            name = control_pb2.MemberState.Name(state).lower()
            members.add_metric((name,), count)
        yield members


def build_registry(
    holder: holders.ActiveVersion,
    table: tables.MemberTable,
    proxy: proxies.Proxy,
) -> prometheus_client.CollectorRegistry:
    """Returns a registry of one daemon's own metrics."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(StateCollector(holder, table, proxy))
    registry.register(proxy.statistics)
    registry.register(proxy.latencies)
    registry.register(proxy.traffic)
    return registry


def render_metrics(registry: prometheus_client.CollectorRegistry) -> bytes:
    """Returns the metrics of the process and of a daemon as text."""
    of_process = prometheus_client.generate_latest()
    return of_process + prometheus_client.generate_latest(registry)
