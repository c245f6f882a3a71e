"""Urgency: since when a caller that was turned away has been asking.

A caller that comes back does so as a new request. What it asks for and the time
until which it waits are those of before, and both together name it.
"""

from __future__ import annotations

import collections
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# How far the end of a caller's wait may seem to move between two requests, in
# seconds: what it states is rounded to milliseconds and travels some.
_TOLERANCE_S = 0.02
# Callers that are remembered at most; a daemon that answers 300 calls a second
# and refuses every second one has some 300 that still wait.
_MOST = 4096


class _Caller(NamedTuple):
    """One caller that was turned away.

    Attributes:
        asks_for: What it asked for.
        until: When its wait ends, in seconds.
        since: When its first request came, in seconds.
    """

    asks_for: tuple[str, str]
    until: float
    since: float


class RefusedCallers:
    """Callers that were turned away here and still wait.

    Callers of one route need not wait equally long. Judged by the time that it
    has left, one that is impatient from the start would be taken for one that
    has been waiting, and be refused as late by a daemon with room for it.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Sets the clock, in seconds."""
        self._get_time = get_time
        self._callers: dict[tuple[str, str], list[_Caller]] = {}
        self._order: collections.deque[_Caller] = collections.deque()

    def add(
        self, asks_for: tuple[str, str], until: float, since: float
    ) -> None:
        """Remembers a caller that was turned away.

        Args:
            asks_for: Its route, and the path and query.
            until: When its wait ends, in seconds.
            since: When its first request came, in seconds.
        """
        self._forget()
        caller = _Caller(asks_for, until, since)
        self._order.append(caller)
        self._callers.setdefault(asks_for, []).append(caller)

    def pop(self, asks_for: tuple[str, str], until: float) -> float | None:
        """Returns since when a caller has been asking; None: it is new.

        It comes back once for each time that it was turned away.
        """
        for caller in self._callers.get(asks_for, ()):
            if abs(caller.until - until) <= _TOLERANCE_S:
                self._drop(caller)
                return caller.since
        return None

    def _forget(self) -> None:
        """Drops the oldest that wait no more, or are too many."""
        now = self._get_time()
        order = self._order
        while order and (order[0].until < now or len(order) >= _MOST):
            self._drop(order.popleft())

    def _drop(self, caller: _Caller) -> None:
        callers = self._callers.get(caller.asks_for)
        if callers is None or caller not in callers:
            return
        callers.remove(caller)
        if not callers:
            del self._callers[caller.asks_for]
