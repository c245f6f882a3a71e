"""Allocation of the slots of the local backend server to calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.load import queues
from merlintrestle.requests.load import shares

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table as tables
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import rate_limits
    from merlintrestle.requests.load import waiters

# Maximum number of waiting calls for each slot, of all classes together. With
# longer queues a full backend server would not serve more calls, and the calls
# in them would be late.
MAX_WAITING_PER_SLOT = 4


class Slots:
    """The slots of the local backend server and the calls that wait for one.

    A class of work gets its guaranteed slots whenever it needs them and borrows
    slots that other classes leave unused. A borrowed slot is not revoked: it
    becomes free when the call ends. This is soon enough except for large
    transfers, which therefore only borrow slots that are not guaranteed to any
    class.

    If the backend server has a rate limit, a call gets a slot only when it may
    also be sent under that limit.

    Attributes:
        count: Number of slots.
        in_flight: Number of calls that hold a slot.
        waiting: Number of calls that wait for a slot.
    """

    def __init__(
        self,
        backend: backends.LocalBackend,
        active_version: interfaces.ActiveVersion,
        table: interfaces.MemberTable,
        limiter: rate_limits.RateLimiter,
    ):
        """Initializes the slots.

        Args:
            backend: The local backend server, with its number of slots.
            active_version: The active version, with the declared targets.
            table: Lists the upstreams of each service.
            limiter: Rate limit of the backend server.
        """
        self._limiter = limiter
        self._limit_timer: asyncio.TimerHandle | None = None
        self._backend = backend
        self._active_version = active_version
        self._table = table
        self.count = 0
        self.in_flight = 0
        self.waiting = 0
        self._queues: dict[tuple[str, str], queues.ClassQueue] = {}
        self._large_in_flight = 0
        self._max_large_in_flight = 1
        # The service plan of the current shares; None: they must be recomputed.
        self._service_plan: snapshot.ServicePlan | None = None
        self._upstreams: tuple[tables.Upstream, ...] = ()

    @property
    def workspaces_waiting(self) -> int:
        """Number of workspaces with waiting calls, counted for each class."""
        return sum(queue.workspaces_waiting for queue in self._queues.values())

    def get_queue(self, call: calls.Call) -> queues.ClassQueue:
        """Returns the queue of the call's class of work."""
        key = (call.organisation, call.plan.name)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = queues.ClassQueue(call.plan)
            # The shares must be recomputed.
            self._service_plan = None
        return queue

    def update_shares(self) -> None:
        """Recomputes the shares if targets, upstreams or slots have changed."""
        active_snapshot = self._active_version.active_snapshot
        service = self._backend.service
        plan = (
            active_snapshot.services.get(service) if active_snapshot else None
        )
        upstreams = self._table.get_upstreams(service)
        count = self._backend.slots
        if (
            self._service_plan is not None
            and plan is self._service_plan
            and upstreams is self._upstreams
            and count == self.count
        ):
            return
        self._service_plan = plan
        self._upstreams = upstreams
        self.count = count
        self._add_queues(plan)
        self._compute_shares()

    def may_start(self, queue: queues.ClassQueue) -> bool:
        """Returns whether a call of a class may be sent now.

        There must be a free slot that the class may use, and the rate limit
        must allow the call.
        """
        return self.has_free_slot(queue) and self._limiter.may_send()

    def has_free_slot(self, queue: queues.ClassQueue) -> bool:
        """Returns whether there is a free slot that a class may use."""
        share = queue.share
        free = self.count - self.in_flight
        if free <= 0:
            return False
        if share.large and self._large_in_flight >= self._max_large_in_flight:
            return False
        return queue.below_guarantee or free > share.kept_free_slots

    def acquire(self, queue: queues.ClassQueue) -> None:
        """Acquires a slot for a call of a class."""
        self._limiter.record_send()
        queue.in_flight += 1
        self.in_flight += 1
        if queue.share.large:
            self._large_in_flight += 1

    def release(self, queue: queues.ClassQueue, sent: bool = True) -> None:
        """Releases the slot of a call and grants it to a waiting call.

        Args:
            queue: Queue of the call's class.
            sent: Whether the call was sent to the backend server; if not, it
                doesn't count against the rate limit.
        """
        if not sent:
            self._limiter.cancel_send()
        queue.in_flight -= 1
        self.in_flight -= 1
        if queue.share.large:
            self._large_in_flight -= 1
        if self.waiting:
            self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grants free slots to waiting calls, as far as the rate limit allows.

        What it does not allow yet is granted later by a timer.
        """
        while self.waiting:
            if not self._limiter.may_send():
                self._schedule_grant()
                return
            ready = [
                queue
                for queue in self._queues.values()
                if queue.waiting and self.has_free_slot(queue)
            ]
            if not ready:
                return
            queue = max(ready, key=queues.ClassQueue.get_class_priority)
            granted = queue.pop_next().granted
            self.waiting -= 1
            # A cancelled call may still be in the queue.
            if not granted.done():
                self.acquire(queue)
                granted.set_result(True)

    def add(self, queue: queues.ClassQueue, waiter: waiters.Waiter) -> None:
        """Adds a waiting call to its queue."""
        queue.add(waiter)
        self.waiting += 1
        if not self._limiter.may_send():
            self._schedule_grant()

    def remove(self, queue: queues.ClassQueue, waiter: waiters.Waiter) -> None:
        """Removes a call from its queue unless it was removed before."""
        if waiter in queue.waiting:
            queue.remove(waiter)
            self.waiting -= 1

    def ensure_queue_space(
        self, queue: queues.ClassQueue, workspace: str = ""
    ) -> bool:
        """Sheds a waiting call if the queues are full and a new call may wait.

        The last call of the least important class with waiting calls is shed,
        provided that this class is less important than the class of `queue`.
        While calls of workspaces wait, it is the last call of the workspace
        with the most waiting calls in proportion to its weight. A class of
        equal importance also sheds it, provided that the workspace of the new
        call would have fewer waiting calls.

        Args:
            queue: Queue of the new call's class.
            workspace: Workspace of the new call; empty if there is none.

        Returns:
            Whether the new call may wait.
        """
        if self.waiting < self.count * MAX_WAITING_PER_SLOT:
            return True
        candidates = [
            candidate
            for candidate in self._queues.values()
            if candidate.waiting
        ]
        importance = min(candidate.share.importance for candidate in candidates)
        if importance > queue.share.importance:
            return False
        shed_queue, (length, waiter) = max(
            (
                (candidate, candidate.get_least_valuable())
                for candidate in candidates
                if candidate.share.importance == importance
            ),
            key=lambda entry: entry[1][0],
        )
        if (
            importance == queue.share.importance
            and length <= queue.get_next_length(workspace)
        ):
            return False
        shed_queue.remove(waiter)
        self.waiting -= 1
        waiter.stop_waiting()
        return True

    def estimate_wait(
        self, queue: queues.ClassQueue, waiter: waiters.Waiter
    ) -> float:
        """Returns the expected wait of a new call for a slot, in seconds.

        It is the shorter of two estimates: the wait for one of the slots that
        the class can use (guaranteed, or left unused by other classes), and the
        wait until the call is the next in the order of all classes, as slots
        become free one after the other. Under a rate limit, it is no shorter
        than the time until the calls ahead and this one may be sent.
        """
        position = queue.get_position(waiter)
        ahead = self._count_ahead(queue, waiter)
        limit_wait_s = self._limiter.get_delay(ahead + position)
        if limit_wait_s and self.has_free_slot(queue):
            return limit_wait_s
        return max(
            limit_wait_s, self._estimate_slot_wait(queue, position, ahead)
        )

    def _estimate_slot_wait(
        self, queue: queues.ClassQueue, position: int, ahead: int
    ) -> float:
        """Returns the expected wait for a slot alone, in seconds.

        Args:
            queue: Queue of the call's class.
            position: Place of the call in its queue, from 1.
            ahead: Number of calls of other classes ahead of it.
        """
        class_wait_s = position * queue.hold_s / self._count_usable_slots(queue)
        if queue.share.large:
            return class_wait_s
        in_turn_s = (ahead + position) * self.get_mean_hold() / self.count
        return min(class_wait_s, in_turn_s)

    def get_mean_hold(self) -> float:
        """Returns the mean hold time of the calls in flight, in seconds."""
        busy = [queue for queue in self._queues.values() if queue.in_flight]
        if not busy:
            return 0.0
        held_s = sum(queue.in_flight * queue.hold_s for queue in busy)
        return held_s / self.in_flight

    def _schedule_grant(self) -> None:
        """Schedules the next grant for when the rate limit allows a call."""
        if self._limit_timer is None:
            self._limit_timer = asyncio.get_running_loop().call_later(
                self._limiter.get_delay(), self._grant_after_delay
            )

    def _grant_after_delay(self) -> None:
        self._limit_timer = None
        self.grant_free_slots()

    def _count_usable_slots(self, queue: queues.ClassQueue) -> float:
        """Returns how many slots a class can use, guaranteed or unused."""
        available = self.count - (self.in_flight - queue.in_flight)
        if queue.share.large:
            available = min(available, self._max_large_in_flight)
        return max(1.0, queue.share.guaranteed_slots, available)

    def _count_ahead(
        self, queue: queues.ClassQueue, waiter: waiters.Waiter
    ) -> int:
        """Returns the number of calls of other classes ahead of a call."""
        priority = queue.get_call_priority(not waiter.late)
        return sum(
            other_queue.count_ahead(priority)
            for other_queue in self._queues.values()
            if other_queue is not queue
        )

    def _add_queues(self, plan: snapshot.ServicePlan | None) -> None:
        """Adds a queue for each new class of the service plan."""
        for class_plan in plan.classes if plan else ():
            key = (class_plan.organisation, class_plan.name)
            if key not in self._queues:
                self._queues[key] = queues.ClassQueue(class_plan)

    def _compute_shares(self) -> None:
        # Classes of routes by host are not in the service plan. They become
        # known with their first call, which adds their queue.
        classes = [queue.plan for queue in self._queues.values()]
        service_slots = sum(upstream.slots for upstream in self._upstreams)
        computed = shares.compute_shares(classes, self.count, service_slots)
        self._max_large_in_flight = computed.large_slots
        for key, queue in self._queues.items():
            queue.share = computed.classes[key]
        self._large_in_flight = sum(
            queue.in_flight
            for queue in self._queues.values()
            if queue.share.large
        )
