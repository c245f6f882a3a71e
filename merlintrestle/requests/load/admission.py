"""Admission control for calls to the local backend server."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import acceptance
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import queue_admission
from merlintrestle.requests.load import rate_limits
from merlintrestle.requests.load import refusals
from merlintrestle.requests.load import slots as slots_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.load import queues

# A call is refused if less than this fraction of the mean hold time remains
# until its `refuse_by`. Work times are skewed: at most a third of the calls end
# within half of the mean.
_MIN_HOLD_FRACTION = 0.5


class Admission:
    """Admits calls to the local backend server or refuses them."""

    def __init__(
        self,
        backend: backends.LocalBackend,
        active_version: interfaces.ActiveVersion,
        table: interfaces.MemberTable,
        get_time: Callable[[], float] = time.monotonic,
        rate_limit_burst_s: float = 0.0,
    ):
        """Initializes admission control.

        Args:
            backend: The local backend server, with its number of slots.
            active_version: The active version, with the declared targets.
            table: Lists the upstreams of each service.
            get_time: Returns the monotonic time in seconds.
            rate_limit_burst_s: See `rate_limits.RateLimiter`.
        """
        self._get_time = get_time
        self._backend = backend
        self._acceptance = acceptance.AcceptanceRate(get_time)
        self._limiter = rate_limits.RateLimiter(get_time, rate_limit_burst_s)
        self._slots = slots_lib.Slots(
            backend, active_version, table, self._limiter
        )
        self._queue_admission = queue_admission.QueueAdmission(
            self._slots, self._acceptance, self._limiter
        )

    @property
    def in_flight(self) -> int:
        """Number of calls that hold a slot."""
        return self._slots.in_flight

    @property
    def workspaces_waiting(self) -> int:
        """Number of workspaces with waiting calls, counted for each class."""
        return self._slots.workspaces_waiting

    def has_capacity(self) -> bool:
        """Returns whether the local backend server can run another call now."""
        backend = self._backend
        return (
            self._slots.in_flight < backend.slots
            and backend.state == control_pb2.READY
            and self._acceptance.is_healthy()
            and self._limiter.may_send()
        )

    def set_rate_limit(self, rate: float | None) -> None:
        """Sets the rate limit of the backend server.

        Args:
            rate: Calls per second that it accepts; None: no limit.
        """
        self._limiter.set_rate(rate)
        # Waiting calls may be granted sooner under the new limit.
        self._slots.grant_free_slots()

    def record_resend(self) -> None:
        """Counts a call that is sent to the backend server once more."""
        self._limiter.record_send()

    def get_load(self) -> loads.Load:
        """Returns the load that is reported to other daemons."""
        return loads.Load(
            self._slots.in_flight + self._slots.waiting,
            self._backend.slots,
            self._slots.get_mean_hold(),
            acceptance_rate=self._acceptance.get(),
        )

    async def acquire(self, call: calls.Call) -> outcomes.NotRun | None:
        """Acquires a slot, waiting as long as the latency target allows.

        Returns:
            None if the call holds a slot, until `release`; otherwise the
            refusal.
        """
        refusal = self._check_backend(call)
        if refusal is not None:
            return refusal
        queue = self._slots.get_queue(call)
        self._slots.update_shares()
        if self._is_too_late(queue, call):
            return refusals.refuse_too_late()
        if self._slots.waiting:
            # The rate limit may have allowed a waiting call since.
            self._slots.grant_free_slots()
        # Only the queue of this class is checked: a waiting call of another
        # class that may use a free slot was granted it when it became free.
        may_start = not queue.waiting and self._slots.may_start(queue)
        if call.wait is not calls.Wait.NORMAL:
            refusal = self._queue_admission.check_wait(queue, call, may_start)
            if refusal is not None:
                return refusal
        if may_start:
            self._slots.acquire(queue)
        else:
            refusal = await self._wait_for_slot(queue, call)
        call.admitted_at = self._get_time()
        return refusal

    def release(self, call: calls.Call, sent: bool = True) -> None:
        """Releases the slot of a call.

        Args:
            call: The call.
            sent: Whether it was sent to the backend server.
        """
        queue = self._slots.get_queue(call)
        now = self._get_time()
        held_s = now - call.admitted_at
        if call.workspace or queue.fair_order is not None:
            queue.record_hold(held_s, call.workspace, now)
        queue.update_hold(held_s, now)
        self._slots.release(queue, sent)

    def record_acceptance(self, accepted: bool) -> None:
        """Records whether the backend server accepted an admitted call.

        Args:
            accepted: Whether it accepted the call; False if it rejected it.
        """
        self._acceptance.record(accepted)

    def estimate_retry_delay(self, call: calls.Call) -> float:
        """Returns the retry delay after the backend server rejects a call.

        The delay, in seconds, is the mean hold time of a slot, within which
        other calls on the backend server end. With a longer delay, such as one
        second, callers would retry too late to meet their latency targets. A
        backend server that rejects every second call is as likely to accept an
        early retry as a late one.
        """
        return max(
            refusals.MIN_RETRY_AFTER_S, self._slots.get_queue(call).hold_s
        )

    def _check_backend(self, call: calls.Call) -> outcomes.NotRun | None:
        backend = self._backend
        if backend.service != call.service:
            return refusals.refuse_wrong_service()
        if backend.state != control_pb2.READY:
            return refusals.refuse_not_ready()
        return None

    def _is_too_late(self, queue: queues.ClassQueue, call: calls.Call) -> bool:
        """Returns whether a call would probably not end before its deadline.

        It would hold a slot until its deadline, and its caller would not know
        whether it ran.
        """
        remaining_s = call.refuse_by - asyncio.get_running_loop().time()
        if remaining_s >= _MIN_HOLD_FRACTION * queue.hold_s:
            return False
        queue.age_hold(self._get_time())
        too_late = remaining_s < _MIN_HOLD_FRACTION * queue.hold_s
        if too_late:
            call.decision_log.add(
                "too late",
                hold_ms=round(queue.hold_s * 1000),
                in_flight=queue.in_flight,
            )
        return too_late

    async def _wait_for_slot(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        """Waits for a slot and adds the wait to the call's decision log."""
        began_at = self._get_time()
        waiting = self._slots.waiting
        refusal = await self._queue_admission.wait(queue, call)
        if refusal is None:
            refusal = self._recheck_backend(queue, call)
        call.decision_log.add(
            "waited for a slot",
            outcome="refused" if refusal else "admitted",
            waiting=waiting,
            in_flight=self._slots.in_flight,
            slots=self._slots.count,
            hold_ms=round(queue.hold_s * 1000),
            took_ms=round((self._get_time() - began_at) * 1000),
        )
        return refusal

    def _recheck_backend(
        self, queue: queues.ClassQueue, call: calls.Call
    ) -> outcomes.NotRun | None:
        refusal = self._check_backend(call)
        if refusal is not None:
            self._slots.release(queue, sent=False)
        return refusal
