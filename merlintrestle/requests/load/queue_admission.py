"""Admission of calls to the queues for a slot of the backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import queues
from merlintrestle.requests.load import refusals
from merlintrestle.requests.load import waiters

if TYPE_CHECKING:
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.load import acceptance as acceptances
    from merlintrestle.requests.load import rate_limits
    from merlintrestle.requests.load import slots as slots_lib

# Maximum expected wait with `calls.Wait.SHORT`, as a fraction of the maximum
# with `calls.Wait.NORMAL`. The estimate is rough, as more important calls may
# arrive later, and a longer wait would often end without a slot.
_SHORT_WAIT_FRACTION = 0.125


class QueueAdmission:
    """Admits calls to a queue if a slot becomes free in time.

    Other calls are refused.
    """

    def __init__(
        self,
        slots: slots_lib.Slots,
        acceptance: acceptances.AcceptanceRate,
        limiter: rate_limits.RateLimiter,
    ):
        """Initializes the queue admission.

        Args:
            slots: The slots of the local backend server.
            acceptance: The acceptance rate of the backend server.
            limiter: Rate limit of the backend server.
        """
        self._limiter = limiter
        self._slots = slots
        self._acceptance = acceptance
        # Until this time late calls are refused at once, because a call in time
        # was refused recently: a late one would get no slot.
        self._refuse_late_until = 0.0

    def check_wait(
        self, queue: queues.ClassQueue, call: calls.Call, may_start: bool
    ) -> outcomes.NotRun | None:
        """Refuses a call that has other upstreams if it would wait too long.

        The refusal states the expected wait. If the backend server rejects some
        calls, these are retried on it or on another upstream. The expected wait
        then grows by one mean hold time for each expected further attempt.

        Args:
            queue: The queue of the call's class.
            call: The call, whose `wait` is not NORMAL.
            may_start: Whether the call would be sent at once.

        Returns:
            The refusal; None if the call is admitted or may wait.
        """
        healthy = self._acceptance.is_healthy()
        if may_start and healthy:
            return None
        if not self._slots.count:
            return refusals.refuse_no_slots()
        now = asyncio.get_running_loop().time()
        expected_s = self._slots.estimate_wait(
            queue, _build_waiter(queue, call, now)
        )
        short = expected_s <= _SHORT_WAIT_FRACTION * queue.get_max_wait(
            call.latency_deadline - now
        )
        if healthy and short and call.wait is calls.Wait.SHORT:
            return None
        expected_s += queue.hold_s * (1 / self._acceptance.get() - 1)
        return refusals.refuse_without_waiting(
            expected_s, self._is_rate_limited()
        )

    async def wait(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        """Waits for a slot as long as the latency target allows.

        Returns:
            None if the call holds a slot, otherwise the refusal.
        """
        if not self._slots.count:
            return refusals.refuse_no_slots()
        loop = asyncio.get_running_loop()
        now = loop.time()
        waiter = _build_waiter(queue, call, now)
        max_wait_s = self._get_max_wait(queue, call, waiter.late, now)
        expected_s = self._slots.estimate_wait(queue, waiter)
        if expected_s > max_wait_s or not self._slots.ensure_queue_space(
            queue, call.workspace
        ):
            return self._refuse(queue, waiter, expected_s, now)
        if await self._wait_in_queue(queue, waiter, max_wait_s):
            return None
        expected_s = self._slots.estimate_wait(queue, waiter)
        return self._refuse(queue, waiter, expected_s, loop.time())

    async def _wait_in_queue(
        self,
        queue: queues.ClassQueue,
        waiter: waiters.Waiter,
        max_wait_s: float,
    ) -> bool:
        """Waits in the queue.

        Returns:
            Whether the call was granted a slot.
        """
        self._slots.add(queue, waiter)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max_wait_s, waiter.stop_waiting)
        granted = waiter.granted
        try:
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result():
                self._slots.release(queue, sent=False)
            raise
        finally:
            timer.cancel()
            self._slots.remove(queue, waiter)

    def _get_max_wait(
        self,
        queue: queues.ClassQueue,
        call: calls.Call,
        late: bool,
        now: float,
    ) -> float:
        """Returns how long a call may wait for a slot, in seconds."""
        spare_s = call.refuse_by - now - queue.hold_s
        if not late:
            return min(queue.get_max_wait(call.latency_deadline - now), spare_s)
        if now < self._refuse_late_until:
            return 0.0
        return min(queue.get_max_late_wait(), spare_s / 2)

    def _refuse(
        self,
        queue: queues.ClassQueue,
        waiter: waiters.Waiter,
        expected_s: float,
        now: float,
    ) -> outcomes.NotRun:
        """Refuses a call for which no slot becomes free in time.

        The caller may retry when a slot is expected to become free if its call
        is then likely in time. Otherwise it may retry when the calls that wait
        now have been served or refused: an earlier retry would find the same
        queue and be refused again, until the caller has used up its retries.
        Under a rate limit, such callers return one after the other.

        After the refusal of a call in time, late calls are refused for the time
        of its latency target.
        """
        if not waiter.late:
            self._refuse_late_until = now + queue.plan.latency_s
        retry_after_s = max(refusals.MIN_RETRY_AFTER_S, expected_s)
        if not queue.is_likely_in_time(
            waiter.latency_deadline - now - retry_after_s
        ):
            retry_after_s = self._limiter.book_return(
                max(retry_after_s, queue.plan.latency_s),
                queue.share.importance,
            )
        return refusals.refuse_full(retry_after_s, self._is_rate_limited())

    def _is_rate_limited(self) -> bool:
        """Returns whether the rate limit allows no call now."""
        return not self._limiter.may_send()


def _build_waiter(
    queue: queues.ClassQueue, call: calls.Call, now: float
) -> waiters.Waiter:
    late = queue.is_late(call.latency_deadline - now)
    granted = asyncio.get_running_loop().create_future()
    return waiters.Waiter(late, call.latency_deadline, granted, call.workspace)
