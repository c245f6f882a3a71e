"""Meeting: the parts of a fleet find each other by records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.members import selection as choice_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import source as source_lib

events = event_logs.EventLog("versions")


class Meeting:
    """Names members of the zone in the store and meets those named there."""

    def __init__(
        self,
        membership: membership_lib.Membership,
        source: source_lib.Source,
        clock: Callable[[], float],
    ):
        """Connects members and store; `clock` tells the time in seconds."""
        self._membership = membership
        self._timing = membership.timing
        self._source = source
        self._clock = clock
        self._seeds: list[str] = []
        self._seeds_at = 0.0
        self._find_s = self._timing.seeds_write_interval_s
        self._choice = choice_lib.choose_in_local_zone(
            membership.table, "seeds", seeds_lib.SEEDS_PER_ZONE
        )

    async def meet_herd(self) -> None:
        """Meets others that started at the same time, before it watches.

        Where a whole fleet starts, each daemon finds the records of seeds
        empty and is the only watcher that it knows: all of them read the value
        once more for themselves and again for their watch. Named in the
        records first they meet, and few stay chosen. A store that fails here
        holds back no watch: the watcher names itself again later.
        """
        own_id = self._membership.table.local_id
        if any(
            one.id != own_id for one in self._membership.table.list_members()
        ):
            return
        try:
            await self.name_seeds()
        except errors.MerlintrestleError as error:
            events.warn("no seeds written", error=str(error))

    async def name_seeds(self) -> None:
        """Names members of the zone in the store, for first contact.

        Raises:
            errors.MerlintrestleError: The store did not answer.
        """
        seeds = self._choice.get()
        age_s = self._clock() - self._seeds_at
        changed = (
            seeds != self._seeds
            and age_s >= self._timing.seeds_write_interval_s
        )
        if (
            self._seeds
            and not changed
            and age_s < self._timing.seeds_check_interval_s
        ):
            await self._find_others(age_s)
            return
        zone = self._membership.table.local_member.zone
        before = await self._source.write_seeds(zone, seeds)
        self._seeds = seeds
        self._seeds_at = self._clock()
        await self._membership.contact_unknown(before)

    async def _find_others(self, age_s: float) -> None:
        """Looks for parts of the fleet, soon after the start and then rarely.

        Where all start at once, a few may meet each other alone; their callers
        would find no upstream for most services until the next check. What is
        looked at after 1, 2, 4 and 8 s has been written by then.
        """
        if (
            age_s < self._find_s
            or self._find_s >= self._timing.seeds_check_interval_s
        ):
            return
        self._find_s *= 2
        await self._membership.contact_stored_seeds()
