"""Recent refusals by workspace, for the status of the daemon."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from merlintrestle.requests.workspaces import reasons
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

# The status covers the current interval and the one before.
_INTERVAL_S = 10.0
_MAX_REPORTED = 10
# Largest number of workspaces that are counted in one interval.
_MAX_WORKSPACES = 2000
_REASONS = (reasons.OVER_QUOTA, reasons.NO_QUOTA_KNOWN, reasons.STALE)
_INDEXES = {reason: index for index, reason in enumerate(_REASONS)}


class RecentRefusals:
    """Counts refusals of the last 10 to 20 seconds by workspace.

    Nothing is kept per key. A workspace without refusals in that time is
    forgotten.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes the counts.

        Args:
            get_time: Returns a monotonic time, in seconds.
        """
        self._get_time = get_time
        self._current = _Interval(get_time())
        self._previous = _Interval(get_time())

    def record(self, reason: str, workspace: str, now: float) -> None:
        """Records a refusal.

        Args:
            reason: One of the module `reasons`.
            workspace: Name of the workspace; empty if the key is unknown.
            now: The current monotonic time, in seconds.
        """
        self._rotate(now)
        current = self._current
        if not workspace:
            current.unknown_key += 1
            return
        counts = current.counts.get(workspace)
        if counts is None:
            if len(current.counts) >= _MAX_WORKSPACES:
                return
            counts = current.counts[workspace] = [0] * len(_REASONS)
        counts[_INDEXES[reason]] += 1

    def build_status(self) -> control_pb2.RefusalStatus:
        """Builds the status with the workspaces that are refused most."""
        now = self._get_time()
        self._rotate(now)
        sums = {name: list(one) for name, one in self._previous.counts.items()}
        for name, counts in self._current.counts.items():
            before = sums.get(name, [0] * len(_REASONS))
            sums[name] = [
                sum(pair) for pair in zip(before, counts, strict=True)
            ]
        busiest = heapq.nsmallest(
            _MAX_REPORTED,
            sums.items(),
            key=lambda item: (-sum(item[1]), item[0]),
        )
        return control_pb2.RefusalStatus(
            window_s=now - self._previous.started_at,
            unknown_key=self._current.unknown_key + self._previous.unknown_key,
            workspaces=[
                control_pb2.WorkspaceRefusals(
                    workspace=name,
                    over_quota=over_quota,
                    undecided=undecided,
                    stale=stale,
                )
                for name, (over_quota, undecided, stale) in busiest
            ],
        )

    def _rotate(self, now: float) -> None:
        """Begins a new interval if the current one is over."""
        elapsed_s = now - self._current.started_at
        if elapsed_s < _INTERVAL_S:
            return
        self._previous = self._current
        if elapsed_s >= 2 * _INTERVAL_S:
            self._previous = _Interval(now - _INTERVAL_S)
        self._current = _Interval(now)


class _Interval:
    """Refusals of one interval.

    Attributes:
        started_at: Time of its begin, in seconds.
        unknown_key: Refusals of calls without a known key.
        counts: Refusals by workspace, in the order of `_REASONS`.
    """

    __slots__ = ("counts", "started_at", "unknown_key")

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.unknown_key = 0
        self.counts: dict[str, list[int]] = {}
