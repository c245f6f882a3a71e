"""Memory held for requests that are not yet answered."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# Estimated memory of an open connection that has sent something, in bytes.
CONNECTION_BYTES = 10_000
# Estimated memory of a parsed header, with the copies of it, and of a request
# that is served, in bytes.
HEADER_BYTES = 300
REQUEST_BYTES = 6_000
# Estimated memory of a piece of a body in a buffer, in bytes.
PIECE_BYTES = 100
# A request that has arrived in part for this time, in seconds, has stopped. It
# is ended for a small request, or after the longer time for a large one.
STOPPED_S = 0.25
LONG_STOPPED_S = 1.0
# Size up to which a request may use the reserve, in bytes.
SMALL_BYTES = 32_000
# Interval at which those that wait try again, in seconds, and how many go on at
# once when bytes are given back.
_RETRY_INTERVAL_S = 0.05
_MAX_RESUMED = 8


class _Waiter(NamedTuple):
    """What waits for memory: the bytes that it needs, and how it goes on."""

    size: int
    run: Callable[[], None]


class MemoryBudget:
    """Bytes that all connections hold together.

    Attributes:
        used: Bytes held at present.
        make_room: Called if there is no room; frees bytes held by connections
            that make no progress, if there are any. The argument tells whether
            it is for a small request.
    """

    def __init__(
        self, limit: int, reserve: int, loop: asyncio.AbstractEventLoop
    ):
        """Sets the budget.

        Args:
            limit: Bytes that may be held.
            reserve: Bytes beyond these that only small requests may take.
            loop: Event loop that runs what has waited.
        """
        self.used = 0
        self.make_room: Callable[[bool], None] = lambda small: None
        self._limit = limit
        self._reserve = reserve
        self._loop = loop
        # What waits, by its owner, in order.
        self._waiters: dict[object, _Waiter] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_short(self) -> bool:
        """Whether more than half of the budget is used."""
        return 2 * self.used > self._limit

    @property
    def limit(self) -> int:
        """Bytes that may be held."""
        return self._limit

    def has_room(self, size: int, starts: bool = True) -> bool:
        """Returns whether a size may be held in addition.

        Args:
            size: The size in bytes.
            starts: Whether it is that of a whole request. A small one may take
                a part of the reserve.
        """
        small = starts and size <= SMALL_BYTES
        if self._fits(size, small):
            return True
        self.make_room(small)
        return self._fits(size, small)

    def change(self, difference: int) -> None:
        """Takes bytes, or gives back bytes that were taken (negative)."""
        self.used += difference
        if difference < 0 and self._waiters:
            self._resume_waiters()

    def wait(self, owner: object, size: int, run: Callable[[], None]) -> None:
        """Calls a function once a size may be held, after those that wait.

        The function must check that there is still room.

        Args:
            owner: What waits, once at a time.
            size: The size in bytes.
            run: The function.
        """
        self._waiters[owner] = _Waiter(size, run)
        if self._timer is None:
            self._schedule()

    def cancel_wait(self, owner: object) -> None:
        """Removes what waits for an owner, if anything does."""
        self._waiters.pop(owner, None)

    def _fits(self, size: int, small: bool) -> bool:
        reserve = self._reserve if small else 0
        # A single request that is larger than the budget is accepted as well.
        return self.used + size <= self._limit + reserve or not self.used

    def _resume_waiters(self) -> None:
        for _ in range(_MAX_RESUMED):
            if not self._waiters:
                return
            owner, waiter = next(iter(self._waiters.items()))
            if not self._fits(waiter.size, False):
                return
            del self._waiters[owner]
            waiter.run()

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(_RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        """Makes room for those that wait, as senders may have stopped."""
        self._timer = None
        if not self._waiters:
            return
        first = next(iter(self._waiters.values()))
        if not self._fits(first.size, False):
            self.make_room(False)
        self._resume_waiters()
        if self._waiters:
            self._schedule()
