"""Reports on the traffic of the data path and the causes of delays.

Callers cannot distinguish a full link from an overloaded processor: in both
cases, answers are late. The report distinguishes them. If the link is full,
bytes are queued while the event loop is on time. If the processor is
overloaded, the event loop is late and no bytes are queued. Queued bytes are
those in the write buffers of the ports and those reserved on the outgoing link.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, TYPE_CHECKING

from prometheus_client import metrics_core

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from merlintrestle.requests.load import links

events = event_logs.EventLog("requests")

# Minimum time between two log lines, in seconds.
_LOG_INTERVAL_S = 5.0
# Minimum lateness of the event loop that is logged, in seconds. A lateness of
# 0.01 s is normal if processes share a processor.
_MIN_LOGGED_LATENESS_S = 0.1


@dataclasses.dataclass(slots=True)
class Traffic:
    """Byte counters of one kind of connection, from the start of the daemon.

    Attributes:
        received: Bytes received.
        sent: Bytes written to the connections, including headers.
    """

    received: int = 0
    sent: int = 0


@dataclasses.dataclass(slots=True)
class PipelineCounts:
    """Counts of pipelined requests, from the start of the daemon.

    Attributes:
        requests: Requests that arrived before the one in front was answered.
        max_depth: Largest number of requests in flight on one connection.
        ahead: Requests that run, or have run, and wait for their turn.
    """

    requests: int = 0
    max_depth: int = 0
    ahead: int = 0


class Traffics(NamedTuple):
    """Byte counters of a daemon's data path, by kind of connection.

    Attributes:
        callers: Connections on the port for callers.
        peers: Connections with other daemons, in both directions: to the peer
            port of the local daemon, and to those of the others.
        backend: Connections to the local backend server.
    """

    callers: Traffic
    peers: Traffic
    backend: Traffic


def build_traffics() -> Traffics:
    """Returns byte counters that start at zero."""
    return Traffics(Traffic(), Traffic(), Traffic())


class TrafficReport:
    """Reports the bytes transferred, the link rate and the event loop lateness.

    It is a collector for `prometheus_client`. While bytes are queued or the
    event loop is late, it also writes a log line every few seconds.
    """

    def __init__(
        self,
        traffics: Traffics,
        link: links.OutgoingLink,
        get_buffered_bytes: Callable[[], int],
        get_time: Callable[[], float],
        pipelines: PipelineCounts | None = None,
    ):
        """Initializes the report.

        Args:
            traffics: The byte counters.
            link: The outgoing link to other daemons.
            get_buffered_bytes: Returns the number of bytes in the write
                buffers of both ports.
            get_time: Returns the time in seconds.
            pipelines: Counts of pipelined requests; None: there are none.
        """
        self._traffics = traffics
        self._pipelines = pipelines
        self._link = link
        self._get_buffered_bytes = get_buffered_bytes
        self._get_time = get_time
        self._previous_traffics = _copy(traffics)
        self._created_at = get_time()
        self._interval_began_at = self._created_at
        self._lateness_s = 0.0
        self._max_lateness_s = 0.0
        self._max_queued_bytes = 0

    def update(self, lateness_s: float) -> None:
        """Updates the report; called periodically by a task of the event loop.

        Args:
            lateness_s: Delay of this call after its scheduled time, in seconds.
        """
        self._lateness_s = lateness_s
        self._max_lateness_s = max(self._max_lateness_s, lateness_s)
        queued_bytes = self._get_buffered_bytes() + self._link.reserved_bytes
        self._max_queued_bytes = max(self._max_queued_bytes, queued_bytes)
        now = self._get_time()
        if now - self._interval_began_at < _LOG_INTERVAL_S:
            return
        if (
            self._max_queued_bytes
            or self._max_lateness_s >= _MIN_LOGGED_LATENESS_S
        ):
            self._write_line(now)
        self._interval_began_at = now
        self._previous_traffics = _copy(self._traffics)
        self._max_lateness_s = 0.0
        self._max_queued_bytes = 0

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the byte counters and the gauges."""
        byte_counters = metrics_core.CounterMetricFamily(
            "merlintrestle_bytes",
            "Bytes of the data path by other end and direction.",
            labels=("with", "direction"),
        )
        for name, traffic in self._traffics._asdict().items():
            byte_counters.add_metric((name, "in"), traffic.received)
            byte_counters.add_metric((name, "out"), traffic.sent)
        yield byte_counters
        if self._pipelines is not None:
            yield metrics_core.CounterMetricFamily(
                "merlintrestle_pipelined_requests",
                "Requests that arrived before the one in front was answered.",
                value=self._pipelines.requests,
            )
            yield metrics_core.GaugeMetricFamily(
                "merlintrestle_pipeline_max_depth",
                "Most requests that one connection had in flight.",
                value=self._pipelines.max_depth,
            )
        for name, help_text, value in self._list_gauges():
            yield metrics_core.GaugeMetricFamily(name, help_text, value=value)

    def _list_gauges(self) -> tuple[tuple[str, str, float], ...]:
        """Returns the name, help text and value of each gauge."""
        link = self._link
        return (
            (
                "merlintrestle_link_bytes_per_second",
                "What the link to other daemons carries; 0: never full.",
                link.rate,
            ),
            (
                "merlintrestle_link_promised_bytes",
                "Bytes of long answers to other daemons still to be sent.",
                link.reserved_bytes,
            ),
            (
                "merlintrestle_held_back_bytes",
                "Bytes of answers that wait in write buffers.",
                self._get_buffered_bytes(),
            ),
            (
                "merlintrestle_event_loop_lateness_seconds",
                "How late the event loop was at the last look.",
                self._lateness_s,
            ),
        )

    def _write_line(self, now: float) -> None:
        interval_s = now - self._interval_began_at
        rates = {
            f"{name}_{direction}_kb_s": round(count / interval_s / 1000, 1)
            for name, traffic, previous in zip(
                self._traffics._fields,
                self._traffics,
                self._previous_traffics,
                strict=True,
            )
            for direction, count in (
                ("in", traffic.received - previous.received),
                ("out", traffic.sent - previous.sent),
            )
        }
        events.note(
            "bytes waited",
            waiting=self._max_queued_bytes,
            link_kb_s=round(self._link.rate / 1000, 1),
            unsent=self._link.unsent,
            loop_late_ms=round(self._max_lateness_s * 1000),
            **rates,
        )


def _copy(traffics: Traffics) -> Traffics:
    return Traffics(*(dataclasses.replace(traffic) for traffic in traffics))
