"""Picking: which upstream gets a call."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from merlintrestle.members import table


class Picker:
    """Picks the less loaded of two upstreams chosen at random."""

    def __init__(self, zone: str, chance: random.Random | None = None):
        """Sets the own availability zone and the source of chance."""
        self._zone = zone
        self._chance = chance or random.Random()
        self._in_flight: dict[str, int] = {}

    def pick(
        self, upstreams: tuple[table.Upstream, ...], tried: Collection[str]
    ) -> table.Upstream | None:
        """Returns an upstream that was not tried yet; None: there is none."""
        left = [one for one in upstreams if one.member_id not in tried]
        if not left:
            return None
        if len(left) == 1:
            return left[0]
        first, second = self._chance.sample(left, 2)
        return min(first, second, key=self._weigh)

    def enter(self, member_id: str) -> None:
        """Counts a call that is being sent to an upstream."""
        self._in_flight[member_id] = self._in_flight.get(member_id, 0) + 1

    def leave(self, member_id: str) -> None:
        """Counts a call as ended."""
        left = self._in_flight[member_id] - 1
        if left:
            self._in_flight[member_id] = left
        else:
            del self._in_flight[member_id]

    def _weigh(self, upstream: table.Upstream) -> float:
        return (self._in_flight.get(upstream.member_id, 0) + 1) / upstream.slots
