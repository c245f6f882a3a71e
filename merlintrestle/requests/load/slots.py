"""Slots: whom the slots of the own backend server are given to."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from merlintrestle.requests.load import queues
from merlintrestle.requests.load import shares

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table as tables
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls

# Waiting calls per slot, of all classes together.
WAITING_PER_SLOT = 4


class Slots:
    """The slots of the own backend server and the calls that wait for one.

    A class of work gets the slots promised to it whenever it needs them and
    borrows what others leave unused. Borrowed slots are not taken back: they
    come free after one call. That is soon enough but for long transfers, which
    therefore borrow only what is promised to nobody.

    Attributes:
        count: How many there are.
        in_flight: Calls that hold one.
        waiting: Calls that wait for one.
    """

    def __init__(
        self,
        backend: backends.LocalBackend,
        holder: interfaces.Holder,
        table: interfaces.MemberTable,
    ):
        """Sets what is known of slots, targets and others."""
        self._backend = backend
        self._holder = holder
        self._table = table
        self.count = 0
        self.in_flight = 0
        self.waiting = 0
        self._queues: dict[tuple[str, str], queues.ClassQueue] = {}
        self._large_in_flight = 0
        self._large_count = 1
        self._plan: snapshot.ServicePlan | None = None
        self._upstreams: tuple[tables.Upstream, ...] = ()

    def get_queue(self, call: calls.Call) -> queues.ClassQueue:
        """Returns the queue of a call's class."""
        key = (call.organisation, call.plan.name)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = queues.ClassQueue(call.plan)
            self._plan = None
        return queue

    def update_shares(self) -> None:
        """Derives the shares again where targets or upstreams changed."""
        running = self._holder.running
        service = self._backend.service
        plan = running.services.get(service) if running else None
        upstreams = self._table.get_upstreams(service)
        count = self._backend.slots
        if (
            self._plan is not None
            and plan is self._plan
            and upstreams is self._upstreams
            and count == self.count
        ):
            return
        self._plan = plan
        self._upstreams = upstreams
        self.count = count
        self._add_queues(plan)
        self._share()

    def has_room(self, queue: queues.ClassQueue) -> bool:
        """Returns whether a class may take one more slot now."""
        share = queue.share
        free = self.count - self.in_flight
        if free <= 0:
            return False
        if share.large and self._large_in_flight >= self._large_count:
            return False
        return queue.under_guarantee or free > share.reserve

    def take(self, queue: queues.ClassQueue) -> None:
        """Gives a slot to a call of a class."""
        queue.in_flight += 1
        self.in_flight += 1
        if queue.share.large:
            self._large_in_flight += 1

    def give_back(self, queue: queues.ClassQueue) -> None:
        """Takes back the slot of a call and gives it to one that waits."""
        queue.in_flight -= 1
        self.in_flight -= 1
        if queue.share.large:
            self._large_in_flight -= 1
        if self.waiting:
            self.wake()

    def wake(self) -> None:
        """Gives free slots to calls that wait."""
        while self.waiting:
            ready = [
                queue
                for queue in self._queues.values()
                if queue.waiting and self.has_room(queue)
            ]
            if not ready:
                return
            queue = max(ready, key=queues.ClassQueue.rank)
            granted = queue.waiting.pop(0).granted
            self.waiting -= 1
            # One that was cancelled has not left the queue yet.
            if not granted.done():
                self.take(queue)
                granted.set_result(True)

    def add(self, queue: queues.ClassQueue, waiter: queues.Waiter) -> None:
        """Has a call wait at its place."""
        queue.add(waiter)
        self.waiting += 1

    def remove(self, queue: queues.ClassQueue, waiter: queues.Waiter) -> None:
        """Has a call wait no longer, if it still does."""
        if waiter in queue.waiting:
            queue.waiting.remove(waiter)
            self.waiting -= 1

    def make_room(self, queue: queues.ClassQueue) -> bool:
        """Sheds a waiting call of the least important class if it must."""
        if self.waiting < self.count * WAITING_PER_SLOT:
            return True
        waiting = [other for other in self._queues.values() if other.waiting]
        least = min(waiting, key=lambda other: other.share.importance)
        if least.share.importance >= queue.share.importance:
            return False
        waiter = least.waiting.pop()
        self.waiting -= 1
        waiter.give_up()
        return True

    def estimate_wait(
        self, queue: queues.ClassQueue, waiter: queues.Waiter
    ) -> float:
        """Returns the time until a call that comes now would get a slot.

        The class gets what is promised to it and what the others leave, or
        its turn when the slots come free one after the other, whichever is
        sooner.
        """
        ahead = bisect.bisect_right(queue.waiting, waiter) + 1
        promised_s = ahead * queue.hold_s / self._count_usable(queue)
        if queue.share.large:
            return promised_s
        before = self._count_before(queue, waiter)
        in_turn_s = (before + ahead) * self.get_mean_hold() / self.count
        return min(promised_s, in_turn_s)

    def get_mean_hold(self) -> float:
        """Returns how long the calls in flight hold their slots, in seconds."""
        busy = [queue for queue in self._queues.values() if queue.in_flight]
        if not busy:
            return 0.0
        held_s = sum(queue.in_flight * queue.hold_s for queue in busy)
        return held_s / self.in_flight

    def _count_usable(self, queue: queues.ClassQueue) -> float:
        """Returns how many slots a class has, promised or left by others."""
        left = self.count - (self.in_flight - queue.in_flight)
        if queue.share.large:
            left = min(left, self._large_count)
        return max(1.0, queue.share.guarantee, left)

    def _count_before(
        self, queue: queues.ClassQueue, waiter: queues.Waiter
    ) -> int:
        """Returns how many waiting calls of other classes go before a call."""
        key = queue.order(not waiter.late)
        return sum(
            other.count_before(key)
            for other in self._queues.values()
            if other is not queue
        )

    def _add_queues(self, plan: snapshot.ServicePlan | None) -> None:
        for one in plan.classes if plan else ():
            key = (one.organisation, one.name)
            if key not in self._queues:
                self._queues[key] = queues.ClassQueue(one)

    def _share(self) -> None:
        # Classes of routes by host are known from their calls alone.
        classes = [queue.plan for queue in self._queues.values()]
        service_count = sum(upstream.slots for upstream in self._upstreams)
        computed = shares.compute_shares(classes, self.count, service_count)
        self._large_count = computed.large_slots
        for key, queue in self._queues.items():
            queue.share = computed.classes[key]
        self._large_in_flight = sum(
            queue.in_flight
            for queue in self._queues.values()
            if queue.share.large
        )
