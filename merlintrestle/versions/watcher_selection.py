"""Selection of the daemons that watch the head."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.members import selection as selection_lib
from merlintrestle.members import table as table_lib
from merlintrestle.versions import failover as failover_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.versions import store_reads as store_reads_lib

WATCHERS_PER_ZONE = 2


class WatcherSelection:
    """Selects the watchers of all zones from the member table.

    Attributes:
        failover: Makes this daemon watch if the watchers are cut off.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        reads: store_reads_lib.StoreReads,
        get_time: Callable[[], float],
    ):
        """Connects the components.

        Args:
            membership: The members to select from.
            reads: The latest reads of the store.
            get_time: Monotonic time in seconds.
        """
        self._membership = membership
        self._settling_time_s = membership.timing.watcher_settling_time_s
        self._get_time = get_time
        self._selected_at: float | None = None
        self._watchers = selection_lib.choose_in_local_zone(
            membership.table, "watch", WATCHERS_PER_ZONE
        )
        self.failover = failover_lib.Failover(
            membership, reads, self.list_watchers, get_time
        )

    def list_watchers(self) -> list[str]:
        """Returns the ids of the watchers of all zones."""
        return [
            *self.get_local_zone_watchers(),
            *self.list_remote_zone_watchers(),
        ]

    def get_local_zone_watchers(self) -> list[str]:
        """Returns the ids of the watchers of the local zone."""
        return self._watchers.get()

    def list_remote_zone_watchers(self) -> list[str]:
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
            member_id
            for zone, members in sorted(zones.items())
            for member_id in selection_lib.choose_by_link_speed(
                selection_lib.build_zone_key("watch", zone),
                members,
                WATCHERS_PER_ZONE,
            )
        ]

    def get_rank(self) -> int | None:
        """Returns the index of this daemon among the watchers of all zones.

        The watchers are sorted by id. A daemon that is a watcher only because
        it is isolated, or in place of others, has the last rank. Returns None
        if this daemon is not a watcher.
        """
        if not self.is_watcher():
            return None
        watchers = sorted(self.list_watchers())
        local_id = self._membership.table.local_id
        return (
            watchers.index(local_id) if local_id in watchers else len(watchers)
        )

    def is_watcher(self) -> bool:
        """Returns whether this daemon has been selected for a while.

        An isolated daemon counts as selected, as it can get new versions only
        from the store, and so does one that watches in place of watchers that
        are cut off from it.

        In a mass restart each member table initially holds only the local
        daemon, which is therefore selected. If it became a watcher at once, all
        daemons would read the store.
        """
        now = self._get_time()
        if not self.is_selected() and not self._membership.is_isolated():
            self._selected_at = None
            return self.failover.is_active()
        if self._selected_at is None:
            self._selected_at = now
        return now - self._selected_at >= self._settling_time_s

    def is_selected(self) -> bool:
        """Returns whether the table selects this daemon for its zone."""
        local_id = self._membership.table.local_id
        return local_id in self.get_local_zone_watchers()
