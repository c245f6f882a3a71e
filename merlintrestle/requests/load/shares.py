"""Shares of a backend server's slots for each class of work."""

from __future__ import annotations

import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.documents import snapshot

# Headroom for calls that arrive unevenly: the mean demand in slots is
# multiplied by the ratio, and the number of slots is added.
_HEADROOM_RATIO = 1.5
_HEADROOM_SLOTS = 1.0


class Share(NamedTuple):
    """The slots that one class of work may use, derived from the targets.

    Attributes:
        guaranteed_slots: Number of slots that the class gets whenever it needs
            them.
        kept_free_slots: Number of slots that the class must keep free for more
            important classes when it borrows slots.
        max_wait_s: Longest wait for a slot, in seconds.
        large: Whether the class is for large transfers, which hold a borrowed
            slot too long for other classes to get it back in time.
        importance: Order of shedding, from 1 (first) to 5 (last).
    """

    guaranteed_slots: float
    kept_free_slots: int
    max_wait_s: float
    large: bool
    importance: int


NO_SHARE = Share(0.0, 0, 0.0, False, 1)


class Shares(NamedTuple):
    """The shares of all classes of work of a service.

    Attributes:
        classes: Shares by organisation and name of the class.
        large_slots: Number of slots that all large transfers together may
            hold.
    """

    classes: dict[tuple[str, str], Share]
    large_slots: int


def compute_shares(
    classes: Iterable[snapshot.ClassPlan], slots: int, service_slots: int
) -> Shares:
    """Computes the shares of a backend server's slots from the targets.

    A class is guaranteed slots in proportion to its demand, but no more than it
    needs at its declared rate with some headroom. Large transfers may only
    borrow the slots that are not guaranteed to other classes.

    Args:
        classes: The known classes of work of the service.
        slots: Number of slots of this backend server.
        service_slots: Number of slots of all backend servers of the service.

    Returns:
        The shares of all classes.
    """
    plans = tuple(classes)
    demand = sum(plan.rate * plan.work_s for plan in plans) or 1.0
    slots_fraction = slots / max(slots, service_slots)
    shares = {}
    for plan in plans:
        class_demand = plan.rate * plan.work_s
        max_needed = (
            class_demand * slots_fraction * _HEADROOM_RATIO + _HEADROOM_SLOTS
        )
        # No slot is kept free for a more important class that declares no rate.
        # Its calls are served first from the queue, and with a dozen slots one
        # becomes free within hundredths of a second. A slot that is kept free
        # for calls that may never arrive would be a twelfth of the capacity,
        # and under load other calls would be refused for lack of it.
        keeps_slot_free = any(
            other_plan.importance > plan.importance and other_plan.rate
            for other_plan in plans
        )
        shares[plan.organisation, plan.name] = Share(
            guaranteed_slots=min(slots * class_demand / demand, max_needed),
            kept_free_slots=1 if keeps_slot_free and slots > 2 else 0,
            max_wait_s=max(0.0, plan.latency_s - plan.work_s),
            large=plan.large,
            importance=plan.importance,
        )
    small_slots = sum(
        max(1.0, share.guaranteed_slots)
        for share in shares.values()
        if not share.large
    )
    return Shares(shares, max(1, math.floor(slots - small_slots)))
