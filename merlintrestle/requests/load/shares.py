"""Shares: what each class of work may use of a backend server's slots."""

from __future__ import annotations

import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.documents import snapshot

# Slots above the mean need, for calls that come unevenly.
_HEADROOM = 1.5
_BURST_SLOTS = 1.0


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
