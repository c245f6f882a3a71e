"""Event loop time, shared among connections by fair queueing.

While the loop has time to spare, work is done as it arrives. Otherwise work
waits, and goes in the order in which it would end if all connections were
served side by side. So a connection that sends one small request is served
soon, however much others send.
"""

from __future__ import annotations

import heapq
import itertools
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# Costs are estimates in microseconds. Only their proportions matter: the
# allowance adapts to the measured time.
REQUEST_COST = 300.0
READ_COST = 20.0
LINE_COST = 6.0
KILOBYTE_COST = 10.0
# Maximum cost of what is parsed without a pause for other connections.
MAX_SLICE_COST = 1500.0
# Duration of an iteration of the event loop above which less work is started in
# the next one, in seconds. A call passes through about ten iterations.
_MAX_ITERATION_S = 0.004
# Cost of the work that may be started in an interval, in seconds, before the
# iterations of the event loop are watched: in calm that would cost each call.
_CALM_COST = 2000.0
_CALM_INTERVAL_S = 0.005
# Bounds of the cost of the work that is started in one iteration.
_MIN_ALLOWANCE = 500.0
_MAX_ALLOWANCE = 8000.0
_GROWTH = 1.05
_MAX_CUT = 0.5


class Share:
    """The share of one connection.

    Attributes:
        used: Virtual time up to which the connection has used its share.
    """

    __slots__ = ("used",)

    def __init__(self) -> None:
        self.used = 0.0


class _Waiter(NamedTuple):
    """Work that waits for its turn, sorted by `end`, then by `number`.

    Attributes:
        end: Virtual time at which the work ends.
        number: Number of the work, in order of arrival.
        cost: Estimated cost, in microseconds.
        run: Does the work; returns whether there still was any.
    """

    end: float
    number: int
    cost: float
    run: Callable[[], bool]


class LoopTime:
    """Decides when work is started.

    Attributes:
        waited: Number of times that work had to wait.
        on_contention: Called in each iteration in which work waits.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        get_time: Callable[[], float] | None = None,
    ):
        """Sets the event loop whose time is shared.

        Args:
            loop: The event loop.
            get_time: Returns the time in seconds; None: that of the event loop.
        """
        self.waited = 0
        self.on_contention: list[Callable[[], None]] = []
        self._loop = loop
        self._get_time = get_time or loop.time
        self._allowance = _MAX_ALLOWANCE
        self._spent = 0.0
        self._scheduled = False
        self._iteration_began_at = 0.0
        # Start of the work started last, and the largest `Share.used`.
        self._virtual_time = 0.0
        self._max_used = 0.0
        self._queue: list[_Waiter] = []
        self._numbers = itertools.count()

    @property
    def is_contended(self) -> bool:
        """Whether work would have to wait."""
        return bool(self._queue)

    @property
    def waiting(self) -> int:
        """Number of connections whose work waits."""
        return len(self._queue)

    def try_start(self, share: Share, cost: float) -> bool:
        """Starts work now if there is time, and none waits.

        Args:
            share: Share of the connection.
            cost: Estimated cost of the work, in microseconds.

        Returns:
            Whether the caller may do the work now.
        """
        if self._queue:
            return False
        if self._scheduled:
            if self._spent >= self._allowance:
                return False
        elif self._get_time() - self._iteration_began_at > _CALM_INTERVAL_S:
            # What was used while there was time for all is not held against a
            # connection.
            self._iteration_began_at = self._get_time()
            self._spent = 0.0
            self._virtual_time = self._max_used
        elif self._spent >= _CALM_COST:
            self._schedule()
        self._charge(share, cost)
        return True

    def queue(self, share: Share, cost: float, run: Callable[[], bool]) -> None:
        """Runs work in its turn, in a later iteration of the event loop.

        Args:
            share: Share of the connection.
            cost: Estimated cost of the work, in microseconds.
            run: Does the work; returns whether there still was any.
        """
        self.waited += 1
        if not self._scheduled:
            self._schedule()
        start = max(share.used, self._virtual_time)
        share.used = start + cost
        if share.used > self._max_used:
            self._max_used = share.used
        heapq.heappush(
            self._queue, _Waiter(share.used, next(self._numbers), cost, run)
        )

    async def wait(self, share: Share, cost: float) -> None:
        """Waits until work may be started.

        Args:
            share: Share of the connection.
            cost: Estimated cost of the work, in microseconds.
        """
        turn = self._loop.create_future()

        def grant() -> bool:
            if turn.done():
                return False
            turn.set_result(None)
            return True

        self.queue(share, cost, grant)
        await turn

    def _charge(self, share: Share, cost: float) -> None:
        used = max(share.used, self._virtual_time) + cost
        share.used = used
        if used > self._max_used:
            self._max_used = used
        self._spent += cost

    def _schedule(self) -> None:
        self._scheduled = True
        self._iteration_began_at = self._get_time()
        self._loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        """Adapts the allowance, and starts the work whose turn it is."""
        self._scheduled = False
        self._adapt(self._get_time() - self._iteration_began_at)
        self._spent = 0.0
        if not self._queue:
            self._virtual_time = self._max_used
            return
        self._schedule()
        for callback in self.on_contention:
            callback()
        queue = self._queue
        while queue and self._spent < self._allowance:
            waiter = heapq.heappop(queue)
            if waiter.run():
                self._virtual_time = max(
                    self._virtual_time, waiter.end - waiter.cost
                )
                self._spent += waiter.cost

    def _adapt(self, iteration_s: float) -> None:
        if iteration_s > _MAX_ITERATION_S:
            cut = max(_MAX_CUT, _MAX_ITERATION_S / iteration_s)
            self._allowance = max(_MIN_ALLOWANCE, self._allowance * cut)
        elif self._spent >= self._allowance or not self._queue:
            self._allowance = min(_MAX_ALLOWANCE, self._allowance * _GROWTH)
