"""The longest durations of recent calls, by route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Durations count for one to two periods, in seconds.
_PERIOD_S = 5.0
# A version has some thousand routes at most.
_MAX_ROUTES = 10_000


class RecentDurations:
    """The longest duration of the recent calls of each route."""

    def __init__(self, get_time: Callable[[], float]):
        """Starts without a call.

        Args:
            get_time: Returns a monotonic time, in seconds.
        """
        self._get_time = get_time
        self._period_ends_at = get_time() + _PERIOD_S
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def record(self, route: str, duration_s: float) -> None:
        """Records the duration of an answered call, in seconds."""
        self._advance()
        if duration_s <= self._current.get(route, 0.0):
            return
        if route in self._current or len(self._current) < _MAX_ROUTES:
            self._current[route] = duration_s

    def get_longest(self, route: str) -> float | None:
        """Returns the longest duration in seconds; None without a call."""
        self._advance()
        current = self._current.get(route)
        previous = self._previous.get(route)
        if current is None or previous is None:
            return current if previous is None else previous
        return max(current, previous)

    def _advance(self) -> None:
        now = self._get_time()
        if now < self._period_ends_at:
            return
        is_next = now < self._period_ends_at + _PERIOD_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._period_ends_at = now + _PERIOD_S
