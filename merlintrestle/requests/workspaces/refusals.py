"""Counts and log lines of the refusals of requests with API keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from merlintrestle import events as event_logs
from merlintrestle.requests.workspaces import reasons
from merlintrestle.requests.workspaces import recent_refusals

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Minimum interval between the lines of one reason, in seconds. A line states
# the number of refusals since the previous one. Writing a line, or counting it
# as omitted, for each of 10,000 refusals a second would take more processor
# time than the refusals themselves.
_LINE_INTERVAL_S = 1.0

events = event_logs.EventLog("workspaces")


class RefusalCounts:
    """Counts refusals by reason and logs them at a bounded rate.

    It is a collector for `prometheus_client`.

    Attributes:
        recent: Recent refusals by workspace.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes the counts.

        Args:
            get_time: Returns a monotonic time, in seconds.
        """
        self.recent = recent_refusals.RecentRefusals(get_time)
        self._get_time = get_time
        self._counts = {reason: _Count() for reason in reasons.ALL}

    def record(self, reason: str, workspace: str = "") -> None:
        """Records a refusal.

        Args:
            reason: One of the module `reasons`.
            workspace: Name of the workspace; empty if the key is unknown.
        """
        now = self._get_time()
        self.recent.record(reason, workspace, now)
        count = self._counts[reason]
        count.total += 1
        if now < count.next_line_at:
            return
        count.next_line_at = now + _LINE_INTERVAL_S
        refused = count.total - count.logged
        count.logged = count.total
        events.note("requests refused", reason=reason, requests=refused)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the refusals by reason."""
        family = metrics_core.CounterMetricFamily(
            "merlintrestle_workspace_refusals",
            "Requests refused by API key, freshness of the version or quota.",
            labels=("reason",),
        )
        for reason, count in self._counts.items():
            family.add_metric((reason,), count.total)
        yield family


class _Count:
    """Refusals for one reason.

    Attributes:
        total: Refusals since the start.
        logged: Refusals up to the latest log line.
        next_line_at: Earliest time of the next log line, in seconds.
    """

    __slots__ = ("logged", "next_line_at", "total")

    def __init__(self) -> None:
        self.total = 0
        self.logged = 0
        self.next_line_at = float("-inf")
