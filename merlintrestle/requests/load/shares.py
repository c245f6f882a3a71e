"""Shares: what each class of work may use of a backend server's slots."""

from __future__ import annotations

import collections
import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from merlintrestle.documents import snapshot

# Slots above the mean need, for calls that come unevenly.
_HEADROOM = 1.5
_BURST_SLOTS = 1.0
# Part of the latency target that a call is thought to hold a slot, until some
# were seen, where the targets do not say.
_WORK_PART = 0.25
# Multiple of the mean time that nearly all calls end within. With 1.5 and a
# wait of 0.1 s for all, a service at 1.2 times its capacity answered 0.53 of
# the lookups in time; without any wait, 0.71.
_MOST_HOLDS = 2.0
# A wait that people do not notice, in seconds: the usual bound for an answer
# that seems immediate. Calls shorter than that may wait so long even if it is
# most of their target: a refusal fails the call on whose behalf they are made.
_UNNOTICED_S = 0.1


class Share(NamedTuple):
    """What one class of work may use, derived from the targets.

    Attributes:
        guarantee: Slots that it gets whenever it needs them.
        reserve: Slots that must stay free for more important classes when it
            borrows more.
        wait_s: Longest wait for a slot, in seconds.
        large: True for long transfers, which never give a borrowed slot back
            in time.
        importance: 1 (shed first) to 5 (shed last).
    """

    guarantee: float
    reserve: int
    wait_s: float
    large: bool
    importance: int


NO_SHARE = Share(0.0, 0, 0.0, False, 1)


class Shares(NamedTuple):
    """The shares of all classes of work of a service.

    Attributes:
        classes: Shares by organisation and name of the class.
        large_slots: Slots that all long transfers together may hold.
    """

    classes: dict[tuple[str, str], Share]
    large_slots: int


class ClassQueue:
    """Calls of one class of work at the own backend server.

    Attributes:
        plan: The class.
        share: What the class may use.
        in_flight: Its calls that hold a slot.
        hold_s: How long a call held a slot lately, in seconds.
        waiting: Its calls that wait for a slot.
    """

    __slots__ = ("hold_s", "in_flight", "plan", "share", "waiting")

    def __init__(self, plan: snapshot.ClassPlan):
        self.plan = plan
        self.share = NO_SHARE
        self.in_flight = 0
        self.hold_s = plan.work_s or plan.latency_s * _WORK_PART
        self.waiting: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )

    @property
    def under_guarantee(self) -> bool:
        """True if the next call is within what the class is promised."""
        return self.in_flight < max(1.0, self.share.guarantee)

    def get_patience(self) -> float:
        """Returns how long a call may wait for a slot, in seconds.

        Where the targets say nothing of the work, the time that most calls
        lately took is left of the latency target. A full backend server serves
        no more calls for a longer queue, and all that waited in it are late.
        """
        if self.plan.work_s:
            return self.share.wait_s
        left_s = max(0.0, self.share.wait_s - _MOST_HOLDS * self.hold_s)
        if self.hold_s > _UNNOTICED_S:
            return left_s
        return max(_UNNOTICED_S, left_s)

    def rank(self) -> tuple[bool, int, float, float]:
        """Returns a key that is greater for the class to be served first.

        Of two equally important classes without a promised rate the shorter
        calls go first: they are mostly made on behalf of calls that hold a
        slot elsewhere and fail with them.
        """
        used = self.in_flight / max(1.0, self.share.guarantee)
        hold_s = 0.0 if self.share.guarantee else self.hold_s
        return self.under_guarantee, self.share.importance, -hold_s, -used

    def precedes(self, other: ClassQueue) -> bool:
        """Returns whether its waiting calls go before those of another."""
        return self.rank()[1:] > other.rank()[1:]


def compute_shares(
    classes: Iterable[snapshot.ClassPlan], slots: int, service_slots: int
) -> Shares:
    """Derives the shares of a backend server from the targets.

    A class is promised its part of the slots, but no more than it needs at its
    expected rate with some headroom; what is left may be lent to transfers.

    Args:
        classes: All classes of work of the service.
        slots: Slots of this backend server.
        service_slots: Slots of all backend servers of the service.
    """
    plans = tuple(classes)
    demand = sum(plan.rate * plan.work_s for plan in plans) or 1.0
    part = slots / max(slots, service_slots)
    shares = {}
    for plan in plans:
        own = plan.rate * plan.work_s
        need = own * part * _HEADROOM + _BURST_SLOTS
        # A class whose rate is not stated has no claim to an idle slot: its
        # calls go first in the queue, and of a dozen slots one comes free
        # within hundredths of a second. A slot kept for calls that may never
        # come would be a twelfth of the service, refused under load.
        greater = any(
            other.importance > plan.importance and other.rate for other in plans
        )
        shares[plan.organisation, plan.name] = Share(
            guarantee=min(slots * own / demand, need),
            reserve=1 if greater and slots > 2 else 0,
            wait_s=max(0.0, plan.latency_s - plan.work_s),
            large=plan.large,
            importance=plan.importance,
        )
    small = sum(
        max(1.0, share.guarantee)
        for share in shares.values()
        if not share.large
    )
    return Shares(shares, max(1, math.floor(slots - small)))
