"""Urgency: how long ago a caller first asked for what it asks for now.

A caller that was refused comes back as a new request. Only the time that it
still waits tells that part of its latency target has gone by.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# The longest time that callers of a class wait is remembered for one to two of
# these, in seconds: it must outlast an outage and follow a change of callers.
_MEMORY_S = 60.0


class UsualLimits:
    """The longest time that callers of each route said they wait.

    It is right where all callers of a route wait equally long from their first
    attempt on. Where they don't, an impatient one is taken for one that comes
    back, and waits for a slot behind the others.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Sets the clock, in seconds."""
        self._get_time = get_time
        self._turned_at = get_time()
        self._longest: dict[str, float] = {}
        self._longest_before: dict[str, float] = {}

    def estimate_waited(self, route: str, limit_s: float) -> float:
        """Returns for how long a caller has been waiting already, in seconds.

        Args:
            route: Name of the route.
            limit_s: How much longer the caller waits, in seconds.
        """
        now = self._get_time()
        if now - self._turned_at > _MEMORY_S:
            self._turned_at = now
            self._longest_before = self._longest
            self._longest = {}
        if limit_s > self._longest.get(route, 0.0):
            self._longest[route] = limit_s
        usual_s = max(
            self._longest.get(route, 0.0), self._longest_before.get(route, 0.0)
        )
        return usual_s - limit_s
