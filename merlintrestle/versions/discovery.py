"""Peer discovery through seed records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.members import selection as selection_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")


class PeerDiscovery:
    """Writes seeds of the zone to the store and contacts the stored seeds."""

    def __init__(
        self,
        membership: membership_lib.Membership,
        source: source_lib.ConfigurationSource,
        get_time: Callable[[], float],
    ):
        """Connects members and store; `get_time` returns time in seconds."""
        self._membership = membership
        self._timing = membership.timing
        self._source = source
        self._get_time = get_time
        self._seeds: list[str] = []
        self._seeds_written_at = 0.0
        self._next_search_age_s = self._timing.seeds_write_interval_s
        self._selection = selection_lib.choose_in_local_zone(
            membership.table, "seeds", seeds_lib.SEEDS_PER_ZONE
        )

    async def contact_peers(self) -> None:
        """Contacts peers that started at the same time, before watching.

        Does nothing if this daemon already knows another member.

        When a whole fleet starts, each daemon finds the seed records empty
        and knows of no other watcher, so every daemon would read the head and
        then also watch it, which transfers the head again. With the seeds
        written first, the daemons find each other and few remain watchers. A
        failing store does not delay the watch: the seeds are written later.
        """
        local_id = self._membership.table.local_id
        if any(
            member.id != local_id
            for member in self._membership.table.list_members()
        ):
            return
        try:
            await self.update_seeds()
        except errors.MerlintrestleError as error:
            events.warn("no seeds written", error=str(error))

    def forget_written(self) -> None:
        """Makes the next update write the seeds, as the store lost them."""
        self._seeds = []

    async def update_seeds(self) -> None:
        """Writes the zone's seeds if they changed or were written long ago.

        Otherwise contacts the stored seeds if this is due.

        Raises:
            errors.MerlintrestleError: The store did not answer.
        """
        seeds = self._selection.get()
        age_s = self._get_time() - self._seeds_written_at
        is_change_due = (
            seeds != self._seeds
            and age_s >= self._timing.seeds_write_interval_s
        )
        if (
            self._seeds
            and not is_change_due
            and age_s < self._timing.seeds_check_interval_s
        ):
            await self._search_peers(age_s)
            return
        zone = self._membership.table.local_member.zone
        previous_seeds = await self._source.write_seeds(zone, seeds)
        self._seeds = seeds
        self._seeds_written_at = self._get_time()
        await self._membership.contact_unknown(previous_seeds)

    async def _search_peers(self, age_s: float) -> None:
        """Contacts the stored seeds, at growing intervals after the start.

        When all daemons start at once, a few may find only each other; their
        callers would find no upstream for most services until the next check.
        Meanwhile the others write their records. The first contact is
        `seeds_write_interval_s` after the write; the time then doubles until
        it reaches `seeds_check_interval_s`: 1, 2, 4, 8 and 16 s with
        `timing.QUICK`.
        """
        if (
            age_s < self._next_search_age_s
            or self._next_search_age_s >= self._timing.seeds_check_interval_s
        ):
            return
        self._next_search_age_s *= 2
        await self._membership.contact_stored_seeds()
