"""Queues of calls to the local backend server, one for each class of work."""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.load import shares

if TYPE_CHECKING:
    import asyncio

    from merlintrestle.documents import snapshot

# Assumed hold time of a slot, as a fraction of the latency target, until calls
# of the class have been measured. Applies if the targets state no work time.
_DEFAULT_HOLD_FRACTION = 0.25
# Most calls end within this multiple of the mean hold time.
_TYPICAL_HOLD_RATIO = 1.5
# A wait that people do not perceive, in seconds: the usual limit for an answer
# that seems immediate. Calls with a shorter hold time may wait this long even
# if it is most of their latency target: a refusal makes their parent call fail.
_IMPERCEPTIBLE_WAIT_S = 0.1
# Maximum wait of a late call, as a fraction of the latency target. A late call
# only gets capacity that calls in time leave unused, and whether there is any
# shows within this time.
_MAX_LATE_WAIT_FRACTION = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for a slot; sorted in the order of service.

    Attributes:
        late: True if the call can no longer be answered within its latency
            target.
        latency_deadline: Time of the event loop by which the latency target is
            met, in seconds.
        granted: Resolves to True if the call gets a slot, False if it stops
            waiting without one.
    """

    late: bool
    latency_deadline: float
    granted: asyncio.Future[bool]

    def __lt__(self, other: Waiter) -> bool:
        return (self.late, self.latency_deadline) < (
            other.late,
            other.latency_deadline,
        )

    def stop_waiting(self) -> None:
        """Ends the wait without a slot, unless one is granted already."""
        if not self.granted.done():
            self.granted.set_result(False)


class ClassQueue:
    """Calls of one class of work to the local backend server.

    Calls in time are served before late ones, and those with the earliest
    latency deadline first: they are retries after a refusal elsewhere. A late
    answer is worth less to its caller than one in time, and serving it first
    would make the next call late too.

    Attributes:
        plan: The class of work.
        share: The slots that the class may use.
        in_flight: Number of its calls that hold a slot.
        hold_s: Moving average of the time that a call holds a slot, in
            seconds.
        waiting: Its calls that wait for a slot, the next one first.
    """

    __slots__ = ("hold_s", "in_flight", "plan", "share", "waiting")

    def __init__(self, plan: snapshot.ClassPlan):
        self.plan = plan
        self.share = shares.NO_SHARE
        self.in_flight = 0
        self.hold_s = plan.work_s or plan.latency_s * _DEFAULT_HOLD_FRACTION
        self.waiting: list[Waiter] = []

    @property
    def below_guarantee(self) -> bool:
        """True if the next call is within the guaranteed slots."""
        return self.in_flight < max(1.0, self.share.guaranteed_slots)

    def add(self, waiter: Waiter) -> None:
        """Inserts a waiting call in the order of service."""
        bisect.insort(self.waiting, waiter)

    def is_late(self, remaining_s: float) -> bool:
        """Returns whether a call misses its target even without a wait.

        Args:
            remaining_s: Time until its latency deadline, in seconds.
        """
        return not self.share.large and remaining_s < self.hold_s

    def is_in_time(self, remaining_s: float) -> bool:
        """Returns whether most calls would be answered within their target.

        Args:
            remaining_s: Time until the latency deadline, in seconds.
        """
        return remaining_s >= _TYPICAL_HOLD_RATIO * self.hold_s

    def get_max_wait(self, remaining_s: float) -> float:
        """Returns how long a call in time may wait for a slot, in seconds.

        If the targets state no work time, the time within which most recent
        calls ended is kept free before the latency deadline. On a full backend
        server, a longer queue serves no more calls and makes those in it late.

        Args:
            remaining_s: Time until the latency deadline, in seconds.
        """
        if self.plan.work_s:
            return min(self.share.max_wait_s, remaining_s - self.plan.work_s)
        spare_s = max(0.0, remaining_s - _TYPICAL_HOLD_RATIO * self.hold_s)
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
        the shorter calls is served first: these are mostly made on behalf of
        calls that hold a slot on another backend server and fail with them.

        Args:
            in_time: Whether the calls can be answered within their target.
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
