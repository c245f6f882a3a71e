"""The longest durations of recent and present calls, by route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Durations count for one to two periods, in seconds.
_PERIOD_S = 5.0
# A version has some thousand routes at most.
_MAX_ROUTES = 10_000


class RecentDurations:
    """The longest duration of the recent calls of each route.

    Calls in flight count with the time that they have taken so far. Otherwise a
    route that has just become slow would be known by its quick calls alone.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Starts without a call.

        Args:
            get_time: Returns a monotonic time, in seconds.
        """
        self._get_time = get_time
        self._period_ends_at = get_time() + _PERIOD_S
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        # Start of each call in flight by its number, the earliest first.
        self._in_flight: dict[str, dict[int, float]] = {}
        self._number = 0

    def begin(self, route: str, started_at: float) -> int:
        """Adds a call in flight; returns its number, for `end`.

        Args:
            route: Its route.
            started_at: When it arrived, in seconds.
        """
        self._number += 1
        self._in_flight.setdefault(route, {})[self._number] = started_at
        return self._number

    def end(self, route: str, number: int, answered: bool) -> None:
        """Removes a call in flight; records its duration if it was answered."""
        calls = self._in_flight[route]
        started_at = calls.pop(number)
        if not calls:
            del self._in_flight[route]
        if answered:
            self._record(route, self._get_time() - started_at)

    def _record(self, route: str, duration_s: float) -> None:
        self._advance()
        if duration_s <= self._current.get(route, 0.0):
            return
        if route in self._current or len(self._current) < _MAX_ROUTES:
            self._current[route] = duration_s

    def get_longest(self, route: str) -> float | None:
        """Returns the longest duration in seconds; None without a call."""
        self._advance()
        durations = [
            durations[route]
            for durations in (self._current, self._previous)
            if route in durations
        ]
        for started_at in self._in_flight.get(route, {}).values():
            durations.append(self._get_time() - started_at)
            break
        return max(durations, default=None)

    def _advance(self) -> None:
        now = self._get_time()
        if now < self._period_ends_at:
            return
        is_next = now < self._period_ends_at + _PERIOD_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._period_ends_at = now + _PERIOD_S
