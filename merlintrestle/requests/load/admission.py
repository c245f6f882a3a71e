"""Admission: which calls the own backend server is given, and when."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import acceptance
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import refusals
from merlintrestle.requests.load import slots as slots_lib
from merlintrestle.requests.load import waits
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.load import queues

# Weight of the newest call in the mean time that a slot is held.
_NEWEST = 0.1
# Part of the mean time that a slot is held which a call must have left. Within
# half of it a third of the calls end at most, as work times are skewed.
_LEAST_HOLD_PART = 0.5


class Admission:
    """Lets calls in to the own backend server, or refuses them."""

    def __init__(
        self,
        backend: backends.LocalBackend,
        holder: interfaces.Holder,
        table: interfaces.MemberTable,
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Sets what is known of slots, targets and others, and the clock."""
        self._get_time = get_time
        self._backend = backend
        self._acceptance = acceptance.Acceptance(get_time)
        self._slots = slots_lib.Slots(backend, holder, table)
        self._waits = waits.Waits(self._slots, self._acceptance)

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot."""
        return self._slots.in_flight

    def is_busy(self) -> bool:
        """Returns whether the own backend server is at work on some call."""
        return self._slots.in_flight > 0

    def has_capacity(self) -> bool:
        """Returns whether some slot is free, so that work may stay here."""
        backend = self._backend
        return (
            self._slots.in_flight < backend.slots
            and backend.state == control_pb2.READY
            and self._acceptance.is_healthy()
        )

    def get_load(self) -> loads.Load:
        """Returns what other daemons are told of the own backend server."""
        return loads.Load(
            self._slots.in_flight + self._slots.waiting,
            self._backend.slots,
            self._slots.get_mean_hold(),
            accepted=self._acceptance.get(),
        )

    async def acquire(self, call: calls.Call) -> outcomes.NotRun | None:
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
            return refusals.refuse_late()
        # Calls of other classes may wait: those that had room were woken.
        room = not queue.waiting and self._slots.has_room(queue)
        if call.wait is not calls.Wait.NORMAL:
            refusal = self._waits.check(queue, call, room)
            if refusal is not None:
                return refusal
        if room:
            self._slots.take(queue)
        else:
            refusal = await self._wait(queue, call)
        call.admitted_at = self._get_time()
        return refusal

    def release(self, call: calls.Call) -> None:
        """Gives a slot back."""
        queue = self._slots.get_queue(call)
        held_s = self._get_time() - call.admitted_at
        queue.hold_s += _NEWEST * (held_s - queue.hold_s)
        self._slots.give_back(queue)

    def record_acceptance(self, taken: bool) -> None:
        """Notes whether the backend server took a call that had a slot."""
        self._acceptance.record(taken)

    def estimate_retry_delay(self, call: calls.Call) -> float:
        """Returns when it is worth asking the backend server again, in s.

        It refused though a slot was given out: by the time that a call holds
        one, others have ended there. Callers that were told to wait a second
        came back late; a backend server that turns away every second call
        takes the next one as soon as any.
        """
        return max(refusals.LEAST_RETRY_S, self._slots.get_queue(call).hold_s)

    def _check_backend(self, call: calls.Call) -> outcomes.NotRun | None:
        backend = self._backend
        if backend.service != call.service:
            return refusals.refuse_foreign()
        if backend.state != control_pb2.READY:
            return refusals.refuse_leaving()
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
        """Has a call wait for a slot, and its story tell of it."""
        began = self._get_time()
        waiting = self._slots.waiting
        refusal = await self._waits.wait(queue, call)
        if refusal is None:
            refusal = self._check_again(queue, call)
        call.story.add(
            "waited for a slot",
            outcome="refused" if refusal else "admitted",
            waiting=waiting,
            in_flight=self._slots.in_flight,
            slots=self._slots.count,
            hold_ms=round(queue.hold_s * 1000),
            took_ms=round((self._get_time() - began) * 1000),
        )
        return refusal

    def _check_again(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        refusal = self._check_backend(call)
        if refusal is not None:
            self._slots.give_back(queue)
        return refusal
