"""Queues of calls to the local backend server, one for each class of work.

A call is late if it misses its latency target even without a wait, and in time
otherwise. Calls of large transfers have no latency target and are never late.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from merlintrestle.requests.load import fair_order
from merlintrestle.requests.load import shares
from merlintrestle.requests.load import usual_loads

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests.load import waiters

# Weight of the latest call in the moving average of slot hold times.
_HOLD_EWMA_WEIGHT = 0.1
# Initial hold time of a slot, as a fraction of the latency target, if the
# targets state no work time. The measured hold times replace it.
_DEFAULT_HOLD_FRACTION = 0.25
# Time in which a measured hold time halves while no call can be measured, in
# seconds.
_HOLD_HALF_LIFE_S = 1.0
# Most calls end within this multiple of the mean hold time.
_TYPICAL_HOLD_RATIO = 1.5
# A wait that people do not perceive, in seconds: the usual limit for an answer
# that seems immediate. Calls with a shorter hold time may wait this long,
# however short their latency target is, as a refusal would make their parent
# call fail.
_IMPERCEPTIBLE_WAIT_S = 0.1
# Maximum wait of a late call, as a fraction of the latency target. A late call
# only gets capacity that calls in time leave unused. This time suffices to find
# out whether there is any.
_MAX_LATE_WAIT_FRACTION = 0.5


class ClassQueue:
    """Calls of one class of work to the local backend server.

    Calls in time are served before late ones. Within each group, the call with
    the earliest latency deadline is served first, so that a retry after a
    refusal elsewhere is served before newer calls. An answer is worth less to
    its caller if it is late, and serving a late call first would make the next
    call late as well.

    While calls of workspaces wait, the calls of each workspace are served in
    this order, and the workspaces take turns (see `fair_order`).

    Attributes:
        plan: The class of work.
        share: The slots that the class may use.
        in_flight: Number of its calls that hold a slot.
        hold_s: Moving average of the time that a call holds a slot, in
            seconds.
        waiting: Its calls that wait for a slot, those in time first and each
            group by latency deadline.
        fair_order: Order of the workspaces; None while no call of one waits.
    """

    __slots__ = (
        "fair_order",
        "_hold_updated_at",
        "_initial_hold_s",
        "_usual_loads",
        "hold_s",
        "in_flight",
        "plan",
        "share",
        "waiting",
    )

    def __init__(self, plan: snapshot.ClassPlan):
        self.plan = plan
        self.share = shares.NO_SHARE
        self.in_flight = 0
        self._initial_hold_s = (
            plan.work_s or plan.latency_s * _DEFAULT_HOLD_FRACTION
        )
        self.hold_s = self._initial_hold_s
        self._hold_updated_at = 0.0
        self.waiting: list[waiters.Waiter] = []
        self.fair_order: fair_order.FairOrder | None = None
        self._usual_loads = usual_loads.UsualLoads()

    @property
    def below_guarantee(self) -> bool:
        """True if the next call is within the guaranteed slots."""
        return self.in_flight < max(1.0, self.share.guaranteed_slots)

    @property
    def workspaces_waiting(self) -> int:
        """Number of workspaces with waiting calls."""
        return self.fair_order.workspace_count if self.fair_order else 0

    def add(self, waiter: waiters.Waiter) -> None:
        """Inserts a waiting call in the order of service."""
        if self.fair_order is not None:
            self.fair_order.add(waiter)
        elif waiter.workspace:
            self.fair_order = fair_order.FairOrder(
                self._usual_loads, (*self.waiting, waiter)
            )
        bisect.insort(self.waiting, waiter)

    def pop_next(self) -> waiters.Waiter:
        """Removes and returns the waiting call that is served next."""
        if self.fair_order is None:
            return self.waiting.pop(0)
        waiter = self.fair_order.pop_next()
        self.waiting.remove(waiter)
        self._discard_order_if_idle()
        return waiter

    def remove(self, waiter: waiters.Waiter) -> None:
        """Removes a waiting call."""
        self.waiting.remove(waiter)
        if self.fair_order is not None:
            self.fair_order.remove(waiter)
            self._discard_order_if_idle()

    def get_least_valuable(self) -> tuple[float, waiters.Waiter]:
        """Returns the call to shed if the queues are full.

        This is the last call of the workspace with the most waiting calls.

        Returns:
            The number of waiting calls of its workspace divided by the weight
            (0 if no call of a workspace waits), and the call.
        """
        if self.fair_order is None:
            return 0.0, self.waiting[-1]
        return self.fair_order.get_largest()

    def get_next_length(self, workspace: str) -> float:
        """Returns the weighted number of waiting calls with a new one."""
        if self.fair_order is None:
            waiting = 0 if workspace else len(self.waiting)
            return (waiting + 1) / self._usual_loads.get_weight(workspace)
        return self.fair_order.get_next_length(workspace)

    def get_position(self, waiter: waiters.Waiter) -> int:
        """Returns the place of a new call in the order of service, from 1."""
        if self.fair_order is not None:
            return self.fair_order.get_position(waiter)
        position = bisect.bisect_right(self.waiting, waiter) + 1
        if waiter.workspace and position > 1:
            return fair_order.FairOrder(
                self._usual_loads, self.waiting
            ).get_position(waiter)
        return position

    def update_hold(self, held_s: float, now: float) -> None:
        """Updates the mean hold time by that of a call that has ended.

        Args:
            held_s: The hold time in seconds.
            now: Monotonic time in seconds.
        """
        self.hold_s += _HOLD_EWMA_WEIGHT * (held_s - self.hold_s)
        self._hold_updated_at = now

    def age_hold(self, now: float) -> None:
        """Lowers the mean hold time of a class of which no call runs.

        A few long holds, as when the process was suspended, can raise it so far
        that all calls are refused as too late. No call would be measured any
        more, and the class would be refused forever.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.in_flight:
            elapsed_s = now - self._hold_updated_at
            aged_s = self.hold_s * 0.5 ** (elapsed_s / _HOLD_HALF_LIFE_S)
            self.hold_s = min(self.hold_s, max(self._initial_hold_s, aged_s))
        self._hold_updated_at = now

    def record_hold(self, held_s: float, workspace: str, now: float) -> None:
        """Records how long a call held its slot, for the shares of workspaces.

        Args:
            held_s: The hold time in seconds.
            workspace: Workspace of the call; empty if there is none.
            now: Monotonic time in seconds.
        """
        if workspace:
            self._usual_loads.record(workspace, held_s, now)
        if self.fair_order is not None and self.hold_s > 0:
            self.fair_order.settle(workspace, held_s / self.hold_s)

    def _discard_order_if_idle(self) -> None:
        if self.fair_order and not self.fair_order.workspace_count:
            self.fair_order = None

    def is_late(self, latency_budget_s: float) -> bool:
        """Returns whether a call misses its target even without a wait.

        Args:
            latency_budget_s: Time until its latency deadline, in seconds.
        """
        return not self.share.large and latency_budget_s < self.hold_s

    def is_likely_in_time(self, latency_budget_s: float) -> bool:
        """Returns whether a call that is served now is likely in time.

        Most calls end within the remaining time. A call with less time is not
        necessarily late.

        Args:
            latency_budget_s: Time until its latency deadline, in seconds.
        """
        return latency_budget_s >= _TYPICAL_HOLD_RATIO * self.hold_s

    def get_max_wait(self, latency_budget_s: float) -> float:
        """Returns how long a call in time may wait for a slot, in seconds.

        If the targets state no work time, the time within which most recent
        calls ended is kept free before the latency deadline. With a longer
        queue a full backend server would not serve more calls, and the calls in
        it would be late.

        Args:
            latency_budget_s: Time until its latency deadline, in seconds.
        """
        if self.plan.work_s:
            return min(
                self.share.max_wait_s, latency_budget_s - self.plan.work_s
            )
        spare_s = max(0.0, latency_budget_s - _TYPICAL_HOLD_RATIO * self.hold_s)
        if self.hold_s > _IMPERCEPTIBLE_WAIT_S:
            return spare_s
        return max(_IMPERCEPTIBLE_WAIT_S, spare_s)

    def get_max_late_wait(self) -> float:
        """Returns how long a late call may wait for a slot, in seconds."""
        return self.plan.latency_s * _MAX_LATE_WAIT_FRACTION

    def get_class_priority(self) -> tuple[bool, int, bool, float, float]:
        """Returns the priority of the class; the greatest is served first."""
        in_time = not (self.waiting and self.waiting[0].late)
        return (self.below_guarantee, *self.get_call_priority(in_time))

    def get_call_priority(
        self, in_time: bool
    ) -> tuple[int, bool, float, float]:
        """Returns the priority of waiting calls; the greatest is served first.

        Of two equally important classes without guaranteed slots, the one with
        the shorter hold time is served first. Its calls are mostly nested:
        their parent calls hold slots of other backend servers, and fail if the
        nested calls fail.

        Args:
            in_time: Whether the calls are in time.
        """
        used_ratio = self.in_flight / max(1.0, self.share.guaranteed_slots)
        hold_s = 0.0 if self.share.guaranteed_slots else self.hold_s
        return self.share.importance, in_time, -hold_s, -used_ratio

    def count_ahead(self, priority: tuple[int, bool, float, float]) -> int:
        """Returns the number of waiting calls with a greater priority."""
        late_count = sum(waiter.late for waiter in self.waiting)
        count = (
            len(self.waiting) - late_count
            if self.get_call_priority(True) > priority
            else 0
        )
        return count + (
            late_count if self.get_call_priority(False) > priority else 0
        )
