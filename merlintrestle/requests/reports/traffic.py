"""Traffic: what goes over this instance's link, and what waits for it.

A full link and a short processor look alike to callers: answers come late.
They differ here: behind a full link bytes wait while the event loop is on
time; on a short processor the event loop is late and no bytes wait.
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

# Least time between two log lines of a daemon, in seconds.
_LINE_S = 5.0
# Lateness of the event loop that is worth a line, in seconds: a tenth of it
# is usual where the operating system shares a processor.
_LATE_S = 0.1


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes over the connections to one kind of other end, since the start.

    Attributes:
        received: Bytes that came.
        sent: Bytes handed to the connections, headers included.
    """

    received: int = 0
    sent: int = 0


class Traffics(NamedTuple):
    """The traffic of a daemon's data path by its other ends.

    Attributes:
        callers: Those on the port for callers.
        peers: Other daemons, on the peer port and as its client.
        backend: The own backend server.
    """

    callers: Traffic
    peers: Traffic
    backend: Traffic


def build_traffics() -> Traffics:
    """Returns counts that begin at zero."""
    return Traffics(Traffic(), Traffic(), Traffic())


class TrafficReport:
    """Tells of bytes, of the link and of the event loop.

    It is a collector for `prometheus_client`, and writes a line every few
    seconds while something waits.
    """

    def __init__(
        self,
        traffics: Traffics,
        link: links.OutgoingLink,
        get_held_back: Callable[[], int],
        get_time: Callable[[], float],
    ):
        """Sets what is told.

        Args:
            traffics: The bytes.
            link: The outgoing link to other daemons.
            get_held_back: Returns the bytes in write buffers of both ports.
            get_time: The clock, in seconds.
        """
        self._traffics = traffics
        self._link = link
        self._get_held_back = get_held_back
        self._get_time = get_time
        self._before = _copy(traffics)
        self._looked_at = get_time()
        self._told_at = self._looked_at
        self._lateness_s = 0.0
        self._most_lateness_s = 0.0
        self._most_waiting = 0

    def update(self, lateness_s: float) -> None:
        """Looks once; called at intervals by the event loop.

        Args:
            lateness_s: How much later than wanted it is called, in seconds.
        """
        self._lateness_s = lateness_s
        self._most_lateness_s = max(self._most_lateness_s, lateness_s)
        waiting = self._get_held_back() + self._link.reserved_bytes
        self._most_waiting = max(self._most_waiting, waiting)
        now = self._get_time()
        if now - self._told_at < _LINE_S:
            return
        if self._most_waiting or self._most_lateness_s >= _LATE_S:
            self._tell(now)
        self._told_at = now
        self._before = _copy(self._traffics)
        self._most_lateness_s = 0.0
        self._most_waiting = 0

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the metrics."""
        moved = metrics_core.CounterMetricFamily(
            "merlintrestle_bytes",
            "Bytes of the data path by other end and direction.",
            labels=("with", "direction"),
        )
        for name, one in self._traffics._asdict().items():
            moved.add_metric((name, "in"), one.received)
            moved.add_metric((name, "out"), one.sent)
        yield moved
        for name, text, value in self._list_gauges():
            yield metrics_core.GaugeMetricFamily(name, text, value=value)

    def _list_gauges(self) -> tuple[tuple[str, str, float], ...]:
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
                self._get_held_back(),
            ),
            (
                "merlintrestle_event_loop_lateness_seconds",
                "How late the event loop was at the last look.",
                self._lateness_s,
            ),
        )

    def _tell(self, now: float) -> None:
        length_s = now - self._told_at
        rates = {
            f"{name}_{direction}_kb_s": round(count / length_s / 1000, 1)
            for name, one, before in zip(
                self._traffics._fields,
                self._traffics,
                self._before,
                strict=True,
            )
            for direction, count in (
                ("in", one.received - before.received),
                ("out", one.sent - before.sent),
            )
        }
        events.note(
            "bytes waited",
            waiting=self._most_waiting,
            link_kb_s=round(self._link.rate / 1000, 1),
            unsent=self._link.unsent,
            loop_late_ms=round(self._most_lateness_s * 1000),
            **rates,
        )


def _copy(traffics: Traffics) -> Traffics:
    return Traffics(*(dataclasses.replace(one) for one in traffics))
