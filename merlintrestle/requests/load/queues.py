"""Queues: the calls of one class of work at the own backend server."""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.load import shares

if TYPE_CHECKING:
    import asyncio

    from merlintrestle.documents import snapshot

# Part of the latency target that a call is thought to hold a slot, until some
# were seen, where the targets do not say.
_WORK_PART = 0.25
# Multiple of the mean time that most calls end within.
_MOST_HOLDS = 1.5
# A wait that people do not notice, in seconds: the usual bound for an answer
# that seems immediate. Calls shorter than that may wait so long even if it is
# most of their target: a refusal fails the call on whose behalf they are made.
_UNNOTICED_S = 0.1
# Part of the latency target for which a call may wait that is late already: it
# only fills what calls in time leave, which shows within that time.
_LATE_PART = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for a slot; ordered by whose turn it is.

    Attributes:
        late: True if it cannot be answered within its latency target any more.
        due: Time of the event loop at which its target is over, in seconds.
        granted: Set to whether it got a slot.
    """

    late: bool
    due: float
    granted: asyncio.Future[bool]

    def __lt__(self, other: Waiter) -> bool:
        return (self.late, self.due) < (other.late, other.due)

    def give_up(self) -> None:
        """Has it wait no longer, unless it has got a slot already."""
        if not self.granted.done():
            self.granted.set_result(False)


class ClassQueue:
    """Calls of one class of work at the own backend server.

    Calls in time go first, of these the ones whose target is over first: they
    were refused elsewhere and came back. A late answer is worth less to its
    caller than one in time, and served first it makes the next one late too.

    Attributes:
        plan: The class.
        share: What the class may use.
        in_flight: Its calls that hold a slot.
        hold_s: How long a call held a slot lately, in seconds.
        waiting: Its calls that wait for a slot, the next one first.
    """

    __slots__ = ("hold_s", "in_flight", "plan", "share", "waiting")

    def __init__(self, plan: snapshot.ClassPlan):
        self.plan = plan
        self.share = shares.NO_SHARE
        self.in_flight = 0
        self.hold_s = plan.work_s or plan.latency_s * _WORK_PART
        self.waiting: list[Waiter] = []

    @property
    def under_guarantee(self) -> bool:
        """True if the next call is within what the class is promised."""
        return self.in_flight < max(1.0, self.share.guarantee)

    def add(self, waiter: Waiter) -> None:
        """Has a call wait at its place."""
        bisect.insort(self.waiting, waiter)

    def is_late(self, left_s: float) -> bool:
        """Returns whether a call misses its target even without a wait.

        Args:
            left_s: What is left of its latency target, in seconds.
        """
        return not self.share.large and left_s < self.hold_s

    def is_in_time(self, left_s: float) -> bool:
        """Returns whether most calls would be answered within their target.

        Args:
            left_s: What is left of the latency target, in seconds.
        """
        return left_s >= _MOST_HOLDS * self.hold_s

    def get_patience(self, left_s: float) -> float:
        """Returns how long a call in time may wait for a slot, in seconds.

        Where the targets say nothing of the work, the time that most calls
        lately took is left of the latency target. A full backend server serves
        no more calls for a longer queue, and all that waited in it are late.

        Args:
            left_s: What is left of its latency target, in seconds.
        """
        if self.plan.work_s:
            return min(self.share.wait_s, left_s - self.plan.work_s)
        spare_s = max(0.0, left_s - _MOST_HOLDS * self.hold_s)
        if self.hold_s > _UNNOTICED_S:
            return spare_s
        return max(_UNNOTICED_S, spare_s)

    def get_late_patience(self) -> float:
        """Returns how long a late call may wait for a slot, in seconds."""
        return self.plan.latency_s * _LATE_PART

    def rank(self) -> tuple[bool, int, bool, float, float]:
        """Returns a key that is greater for the class to be served first."""
        in_time = not (self.waiting and self.waiting[0].late)
        return (self.under_guarantee, *self.order(in_time))

    def order(self, in_time: bool) -> tuple[int, bool, float, float]:
        """Returns a key that is greater for calls to be served first.

        Of two equally important classes without a promised rate the shorter
        calls go first: they are mostly made on behalf of calls that hold a
        slot elsewhere and fail with them.
        """
        used = self.in_flight / max(1.0, self.share.guarantee)
        hold_s = 0.0 if self.share.guarantee else self.hold_s
        return self.share.importance, in_time, -hold_s, -used

    def count_before(self, key: tuple[int, bool, float, float]) -> int:
        """Returns how many of its waiting calls go before those of a key."""
        late = sum(waiter.late for waiter in self.waiting)
        count = len(self.waiting) - late if self.order(True) > key else 0
        return count + (late if self.order(False) > key else 0)
