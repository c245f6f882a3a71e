"""The budgets of a process, and what was refused to keep to them."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from merlintrestle import events as event_logs
from merlintrestle.ingress import garbage
from merlintrestle.ingress import limits as limits_lib
from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.ingress import memory as memories

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from merlintrestle.ingress import ports

events = event_logs.EventLog("ingress")

# Minimum time between two log lines, in seconds.
_LOG_INTERVAL_S = 1.0
# Minimum time between two searches for stalled connections, in seconds.
_SEARCH_INTERVAL_S = 0.05
# Part of the budget to which the bytes of stalled connections are reduced at
# once, so that not every request needs a search of its own.
_FREED_PART = 0.9


class Ingress:
    """Shares the budgets of the process among its inbound connections.

    Attributes:
        budgets: Sizes of the budgets.
        loop_time: Time of the event loop.
        memory: Bytes held for requests.
        garbage: Collection of what ended connections leave.
    """

    def __init__(self, limits: limits_lib.ProcessLimits | None = None):
        """Sets the limits of the process; None: those that it finds."""
        self.budgets = limits_lib.compute_budgets(
            limits or limits_lib.read_limits()
        )
        loop = asyncio.get_running_loop()
        self._get_time = loop.time
        self.loop_time = loop_times.LoopTime(loop)
        self.memory = memories.MemoryBudget(
            self.budgets.held_bytes, self.budgets.reserved_bytes, loop
        )
        self.memory.make_room = self._make_room
        self.garbage = garbage.GarbageCollection()
        self._ports: list[ports.Port] = []
        self._searched_at = 0.0
        self._logged_at = 0.0
        self._closed: collections.Counter[str] = collections.Counter()
        self._unlogged: collections.Counter[str] = collections.Counter()

    def add_port(self, port: ports.Port) -> None:
        """Adds a port whose connections share the budgets."""
        self._ports.append(port)

    def count_closed(self, reason: str) -> None:
        """Counts a connection or request that was ended, by its reason."""
        self._closed[reason] += 1
        self.garbage.count_ended()
        self._unlogged[reason] += 1

    def sweep(self) -> None:
        """Ends what has taken too long; called at a steady interval."""
        now = self._get_time()
        for port in self._ports:
            port.end_overdue(now)
        self.garbage.run_if_due()
        if self._unlogged and now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            counts, self._unlogged = self._unlogged, collections.Counter()
            events.warn(
                "clients ended",
                reasons=dict(counts),
                held_bytes=self.memory.used,
                open=sum(port.open_count for port in self._ports),
            )

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the use of the budgets, and what was ended."""
        connections = metrics_core.GaugeMetricFamily(
            "merlintrestle_inbound_connections",
            "Open inbound connections, by port.",
            labels=("port",),
        )
        for port in self._ports:
            connections.add_metric((port.name,), port.open_count)
        yield connections
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_inbound_held_bytes",
            "Estimated bytes held for requests that are not yet answered.",
            value=self.memory.used,
        )
        yield metrics_core.CounterMetricFamily(
            "merlintrestle_inbound_waits",
            "Times that reading or a request waited for the event loop.",
            value=self.loop_time.waited,
        )
        closed = metrics_core.CounterMetricFamily(
            "merlintrestle_inbound_ended",
            "Inbound connections and requests that were ended, by reason.",
            labels=("reason",),
        )
        for reason, count in sorted(self._closed.items()):
            closed.add_metric((reason,), count)
        yield closed

    def _make_room(self, small: bool) -> None:
        """Ends what holds memory, until there is some for others.

        First come the requests that have stopped half-way. For a small request
        idle connections come next, which lose nothing, and then the connections
        that hold the most for a request that has not arrived completely. Those
        that hold less than the average are spared, so no small request is ended
        for a large one. A request that has arrived is never ended: an upstream
        may be running it.

        Args:
            small: Whether it is for a small request.
        """
        now = self._get_time()
        if now - self._searched_at < _SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        connections = [
            connection
            for port in self._ports
            for connection in port.list_connections()
            if connection.held_bytes
        ]
        stopped_at = now - (
            memories.STOPPED_S if small else memories.LONG_STOPPED_S
        )
        stopped = [
            connection
            for connection in connections
            if connection.has_stopped(stopped_at) and connection.can_shed
        ]
        stopped.sort(key=lambda connection: connection.incomplete_since)
        self._shed(stopped)
        if small:
            idle = [
                connection for connection in connections if connection.is_idle
            ]
            idle.sort(key=lambda connection: connection.waits_since)
            self._shed(idle)
            average = self.memory.used / max(1, len(connections))
            connections.sort(key=lambda connection: -connection.held_bytes)
            self._shed(
                connection
                for connection in connections
                if connection.held_bytes > average and connection.can_shed
            )

    def _shed(self, connections: Iterable[ports.Connection]) -> None:
        """Ends connections, in their order, until there is room."""
        for connection in connections:
            if self._has_room():
                return
            connection.shed()
            self.count_closed("memory")

    def _has_room(self) -> bool:
        return self.memory.used <= self.memory.limit * _FREED_PART
