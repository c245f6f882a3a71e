"""Turns: which daemons watch the head, and whether this one does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.members import selection as choice_lib
from merlintrestle.members import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import control_pb2

WATCHERS_PER_ZONE = 2


class Turns:
    """Knows the watchers of all zones, as the table of members has them."""

    def __init__(
        self,
        membership: membership_lib.Membership,
        clock: Callable[[], float],
    ):
        """Sets the members; `clock` tells the time in seconds."""
        self._membership = membership
        self._settle_s = membership.timing.watcher_settling_time_s
        self._clock = clock
        self._chosen_at: float | None = None
        self._watchers = choice_lib.choose_in_local_zone(
            membership.table, "watch", WATCHERS_PER_ZONE
        )

    def get_watchers(self) -> list[str]:
        """Returns the ids of the watchers of this daemon's zone."""
        return self._watchers.get()

    def list_other_watchers(self) -> list[str]:
        """Returns the ids of the watchers of all other zones."""
        table = self._membership.table
        zones: dict[str, list[control_pb2.Member]] = {}
        for member in table.list_members():
            if (
                not table_lib.is_gone(member)
                and member.zone != table.local_member.zone
            ):
                zones.setdefault(member.zone, []).append(member)
        return [
            name
            for zone, members in sorted(zones.items())
            for name in choice_lib.choose_by_link_speed(
                choice_lib.build_zone_key("watch", zone),
                members,
                WATCHERS_PER_ZONE,
            )
        ]

    def get_turn(self) -> int | None:
        """Returns how many watchers come before this one; None: it is none."""
        if not self.is_chosen():
            return None
        watchers = sorted([*self.get_watchers(), *self.list_other_watchers()])
        own_id = self._membership.table.local_id
        return watchers.index(own_id) if own_id in watchers else len(watchers)

    def is_chosen(self) -> bool:
        """Tells whether this daemon has been a watcher of its zone for a while.

        In a herd each table begins with its own daemon, which then is the
        watcher of its zone. If that counted, all would read the store.
        """
        now = self._clock()
        own_id = self._membership.table.local_id
        if (
            own_id not in self.get_watchers()
            and not self._membership.is_isolated()
        ):
            self._chosen_at = None
            return False
        if self._chosen_at is None:
            self._chosen_at = now
        return now - self._chosen_at >= self._settle_s
