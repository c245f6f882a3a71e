"""Shares of a backend server's slots for each class of work."""

from __future__ import annotations

import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.documents import snapshot

# Headroom above the mean demand in slots, for calls that arrive unevenly: a
# ratio, and a number of slots on top.
_HEADROOM_RATIO = 1.5
_BURST_SLOTS = 1.0


class Share(NamedTuple):
    """The slots that one class of work may use, derived from the targets.

    Attributes:
        guaranteed_slots: Slots that the class gets whenever it needs them.
        reserved_slots: Slots that must stay free for more important classes
            when the class borrows slots.
        max_wait_s: Longest wait for a slot, in seconds.
        large: True for long transfers, which hold a borrowed slot too long for
            others to get it back in time.
        importance: 1 (shed first) to 5 (shed last).
    """

    guaranteed_slots: float
    reserved_slots: int
    max_wait_s: float
    large: bool
    importance: int


NO_SHARE = Share(0.0, 0, 0.0, False, 1)


class Shares(NamedTuple):
    """The shares of all classes of work of a service.

    Attributes:
        classes: Shares by organisation and name of the class.
        large_slots: Slots that all long transfers together may hold at once.
    """

    classes: dict[tuple[str, str], Share]
    large_slots: int


def compute_shares(
    classes: Iterable[snapshot.ClassPlan], slots: int, service_slots: int
) -> Shares:
    """Computes the shares of a backend server's slots from the targets.

    A class is guaranteed slots in proportion to its demand, but no more than it
    needs at its declared rate with some headroom. Long transfers may borrow the
    remaining slots.

    Args:
        classes: All classes of work of the service.
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
            class_demand * slots_fraction * _HEADROOM_RATIO + _BURST_SLOTS
        )
        # No slot is reserved for a more important class that declares no rate:
        # its calls are served first from the queue, and of a dozen slots one
        # becomes free within hundredths of a second. A slot reserved for calls
        # that may never arrive would be a twelfth of the capacity, and calls
        # would be refused for lack of it under load.
        reserves_slot = any(
            other_plan.importance > plan.importance and other_plan.rate
            for other_plan in plans
        )
        shares[plan.organisation, plan.name] = Share(
            guaranteed_slots=min(slots * class_demand / demand, max_needed),
            reserved_slots=1 if reserves_slot and slots > 2 else 0,
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
