"""Waits: whether a call may wait for a slot, and how long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import queues
from merlintrestle.requests.load import refusals

if TYPE_CHECKING:
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.load import acceptance as acceptances
    from merlintrestle.requests.load import slots as slots_lib

# Part of the usual wait that is short. What is expected is rough, as more
# important calls may come meanwhile, and a longer wait would be in vain.
_SHORT_PART = 0.125


class Waits:
    """Has calls wait for a slot that comes free in time, and refuses others."""

    def __init__(
        self,
        slots: slots_lib.Slots,
        acceptance: acceptances.Acceptance,
    ):
        """Sets the slots, and how many calls the backend server takes."""
        self._slots = slots
        self._acceptance = acceptance
        # Calls in time were refused shortly before: late ones have no chance.
        self._full_until = 0.0

    def check(
        self, queue: queues.ClassQueue, call: calls.Call, room: bool
    ) -> outcomes.NotRun | None:
        """Refuses a call that may go elsewhere if it would wait too long here.

        It is told how long. Calls that the backend server turns away are made
        again, there or elsewhere; it takes that much longer until one has been
        taken.
        """
        sound = self._acceptance.is_healthy()
        if room and sound:
            return None
        if not self._slots.count:
            return refusals.refuse_slotless()
        now = asyncio.get_running_loop().time()
        expected_s = self._slots.estimate_wait(
            queue, _build_waiter(queue, call, now)
        )
        short = expected_s <= _SHORT_PART * queue.get_patience(
            call.latency_deadline - now
        )
        if sound and short and call.wait is calls.Wait.SHORT:
            return None
        expected_s += queue.hold_s * (1 / self._acceptance.get() - 1)
        return refusals.refuse_unqueued(expected_s)

    async def wait(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        """Waits for a slot as long as the latency target allows.

        Returns:
            Why there is none; None: the call holds a slot.
        """
        if not self._slots.count:
            return refusals.refuse_slotless()
        loop = asyncio.get_running_loop()
        now = loop.time()
        waiter = _build_waiter(queue, call, now)
        limit_s = self._limit(queue, call, waiter.late, now)
        expected_s = self._slots.estimate_wait(queue, waiter)
        if expected_s > limit_s or not self._slots.make_room(queue):
            return self._refuse(queue, waiter, expected_s, now)
        if await self._queue(queue, waiter, limit_s):
            return None
        expected_s = self._slots.estimate_wait(queue, waiter)
        return self._refuse(queue, waiter, expected_s, loop.time())

    async def _queue(
        self, queue: queues.ClassQueue, waiter: queues.Waiter, limit_s: float
    ) -> bool:
        """Waits in the queue and returns whether the call got a slot."""
        self._slots.add(queue, waiter)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(limit_s, waiter.give_up)
        granted = waiter.granted
        try:
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result():
                self._slots.give_back(queue)
            raise
        finally:
            timer.cancel()
            self._slots.remove(queue, waiter)

    def _limit(
        self,
        queue: queues.ClassQueue,
        call: calls.Call,
        late: bool,
        now: float,
    ) -> float:
        """Returns how long a call may wait for a slot, in seconds."""
        left_s = call.refuse_by - now - queue.hold_s
        if not late:
            return min(queue.get_patience(call.latency_deadline - now), left_s)
        if now < self._full_until:
            return 0.0
        return min(queue.get_late_patience(), left_s / 2)

    def _refuse(
        self,
        queue: queues.ClassQueue,
        waiter: queues.Waiter,
        expected_s: float,
        now: float,
    ) -> outcomes.NotRun:
        """Refuses a call for which no slot comes free in time.

        A caller that might still be answered within the target comes back as
        soon as a slot may be free. One that cannot comes back once what waits
        here now has been served or refused: sooner, it would meet the same
        queue, be refused again, and for good.
        """
        if not waiter.late:
            self._full_until = now + queue.plan.latency_s
        back_s = max(refusals.LEAST_RETRY_S, expected_s)
        if not queue.is_in_time(waiter.due - now - back_s):
            back_s = max(back_s, queue.plan.latency_s)
        return refusals.refuse_full(back_s)


def _build_waiter(
    queue: queues.ClassQueue, call: calls.Call, now: float
) -> queues.Waiter:
    late = queue.is_late(call.latency_deadline - now)
    granted = asyncio.get_running_loop().create_future()
    return queues.Waiter(late, call.latency_deadline, granted)
