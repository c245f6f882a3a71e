"""Admission: which calls the own backend server is given, and when."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import acceptance
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import queues
from merlintrestle.requests.load import slots as slots_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import parts

# Weight of the newest call in the mean time that a slot is held.
_NEWEST = 0.1
# Part of the usual wait that is short. What is expected is rough, as more
# important calls may come meanwhile, and a longer wait would be in vain.
_SHORT_PART = 0.125
# Part of the mean time that a slot is held which a call must have left. Within
# half of it a third of the calls end at most, as work times are skewed.
_LEAST_HOLD_PART = 0.5
# A backend server with a dozen slots has one free every few hundredths of a
# second. Callers that come back so soon may still be answered within the
# target.
_LEAST_RETRY_S = 0.05


class Admission:
    """Lets calls in to the own backend server, or refuses them."""

    def __init__(
        self,
        backend: backends.OwnBackend,
        holder: parts.Holder,
        table: parts.MemberTable,
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Sets what is known of slots, targets and others, and the clock."""
        self._get_time = get_time
        self._backend = backend
        self._acceptance = acceptance.Acceptance(get_time)
        self._slots = slots_lib.Slots(backend, holder, table)
        # Calls in time were refused shortly before: late ones have no chance.
        self._full_until = 0.0

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot."""
        return self._slots.in_flight

    def has_room(self) -> bool:
        """Returns whether some slot is free, so that work may stay here."""
        backend = self._backend
        return (
            self._slots.in_flight < backend.slots
            and backend.state == control_pb2.READY
            and self._acceptance.is_sound()
        )

    def get_load(self) -> loads.Load:
        """Returns what other daemons are told of the own backend server."""
        return loads.Load(
            self._slots.in_flight + self._slots.waiting,
            self._backend.slots,
            self._slots.get_mean_hold(),
            accepted=self._acceptance.get(),
        )

    async def enter(self, call: calls.Call) -> outcomes.NotRun | None:
        """Takes a slot, waiting as long as the latency target allows.

        Returns:
            Why there is none; None: the call holds a slot until `leave`.
        """
        refusal = self._check_backend(call)
        if refusal is not None:
            return refusal
        queue = self._slots.get_queue(call)
        self._slots.update_shares()
        if self._is_too_late(queue, call):
            return _refuse_late()
        # Calls of other classes may wait: those that had room were woken.
        room = not queue.waiting and self._slots.has_room(queue)
        if call.wait is not calls.Wait.USUAL:
            refusal = self._check_wait(queue, call, room)
            if refusal is not None:
                return refusal
        if room:
            self._slots.take(queue)
        else:
            began = self._get_time()
            waiting = self._slots.waiting
            refusal = await self._wait(queue, call)
            call.story.add(
                "waited for a slot",
                outcome="refused" if refusal else "admitted",
                waiting=waiting,
                in_flight=self._slots.in_flight,
                slots=self._slots.count,
                hold_ms=round(queue.hold_s * 1000),
                took_ms=round((self._get_time() - began) * 1000),
            )
        call.admitted_at = self._get_time()
        return refusal

    def leave(self, call: calls.Call) -> None:
        """Gives a slot back."""
        queue = self._slots.get_queue(call)
        held_s = self._get_time() - call.admitted_at
        queue.hold_s += _NEWEST * (held_s - queue.hold_s)
        self._slots.give_back(queue)

    def note_given(self, taken: bool) -> None:
        """Notes whether the backend server took a call that had a slot."""
        self._acceptance.note(taken)

    def estimate_turnover(self, call: calls.Call) -> float:
        """Returns when it is worth asking the backend server again, in s.

        It refused though a slot was given out: by the time that a call holds
        one, others have ended there. Callers that were told to wait a second
        came back late; a backend server that turns away every second call
        takes the next one as soon as any.
        """
        return max(_LEAST_RETRY_S, self._slots.get_queue(call).hold_s)

    def _check_backend(self, call: calls.Call) -> outcomes.NotRun | None:
        backend = self._backend
        if backend.service != call.service:
            return outcomes.NotRun(
                "this instance does not serve the service", elsewhere=True
            )
        if backend.state != control_pb2.READY:
            return outcomes.NotRun(
                "the backend server is leaving or down", elsewhere=True
            )
        return None

    def _is_too_late(self, queue: queues.ClassQueue, call: calls.Call) -> bool:
        """Returns whether a call has no chance to end before its deadline.

        It would hold a slot until then, and its caller could not tell what
        became of it.
        """
        left_s = call.refuse_by - asyncio.get_running_loop().time()
        return left_s < _LEAST_HOLD_PART * queue.hold_s

    async def _wait(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        loop = asyncio.get_running_loop()
        if not self._slots.count:
            return _refuse("the backend server has no slots", 1.0)
        now = loop.time()
        waiter = queues.Waiter(
            queue.is_late(call.due - now), call.due, loop.create_future()
        )
        limit_s = self._limit_wait(queue, call, waiter.late, now)
        expected_s = self._slots.estimate_wait(queue, waiter)
        if expected_s > limit_s or not self._slots.make_room(queue):
            return self._refuse_full(queue, waiter, expected_s, now)
        self._slots.add(queue, waiter)
        timer = loop.call_later(limit_s, waiter.give_up)
        try:
            if await waiter.granted:
                return self._check_again(queue, call)
        except asyncio.CancelledError:
            granted = waiter.granted
            if granted.done() and not granted.cancelled() and granted.result():
                self._slots.give_back(queue)
            raise
        finally:
            timer.cancel()
            self._slots.remove(queue, waiter)
        expected_s = self._slots.estimate_wait(queue, waiter)
        return self._refuse_full(queue, waiter, expected_s, loop.time())

    def _check_wait(
        self, queue: queues.ClassQueue, call: calls.Call, room: bool
    ) -> outcomes.NotRun | None:
        """Refuses a call that may go elsewhere if it would wait too long here.

        It is told how long. Calls that the backend server turns away are made
        again, there or elsewhere; it takes that much longer until one has been
        taken.
        """
        sound = self._acceptance.is_sound()
        if room and sound:
            return None
        if not self._slots.count:
            return _refuse("the backend server has no slots", 1.0)
        loop = asyncio.get_running_loop()
        left_s = call.due - loop.time()
        waiter = queues.Waiter(
            queue.is_late(left_s), call.due, loop.create_future()
        )
        expected_s = self._slots.estimate_wait(queue, waiter)
        short = expected_s <= _SHORT_PART * queue.get_patience(left_s)
        if sound and short and call.wait is calls.Wait.SHORT:
            return None
        expected_s += queue.hold_s * (1 / self._acceptance.get() - 1)
        return _refuse("no free slot just now", expected_s, unqueued=True)

    def _limit_wait(
        self,
        queue: queues.ClassQueue,
        call: calls.Call,
        late: bool,
        now: float,
    ) -> float:
        """Returns how long a call may wait for a slot, in seconds."""
        left_s = call.refuse_by - now - queue.hold_s
        if not late:
            return min(queue.get_patience(call.due - now), left_s)
        if now < self._full_until:
            return 0.0
        return min(queue.get_late_patience(), left_s / 2)

    def _refuse_full(
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
        back_s = max(_LEAST_RETRY_S, expected_s)
        if not queue.is_in_time(waiter.due - now - back_s):
            back_s = max(back_s, queue.plan.latency_s)
        return _refuse("no free slot in time", back_s)

    def _check_again(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        refusal = self._check_backend(call)
        if refusal is not None:
            self._slots.give_back(queue)
        return refusal


def _refuse_late() -> outcomes.NotRun:
    """Refuses a call whose time is too short; it may come back with more."""
    return outcomes.NotRun(
        "too little time is left for an answer", retry_after_s=_LEAST_RETRY_S
    )


def _refuse(
    reason: str, retry_after_s: float, unqueued: bool = False
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason,
        retry_after_s=max(_LEAST_RETRY_S, retry_after_s),
        elsewhere=True,
        overloaded=True,
        unqueued=unqueued,
    )
