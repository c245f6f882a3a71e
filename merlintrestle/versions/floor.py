"""The floor: the lowest version that a starting daemon may run."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import marks as marks_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import watcher as watcher_lib

events = event_logs.EventLog("versions")

# Members asked besides the watchers of the zone.
_ASKED = 5
# Rounds, some 5 s together, in which others are waited for: watchers to answer
# with the head, and witnesses to confirm one.
_PATIENCE = 5
# Reads of the head per second that the whole fleet may put to the store when
# its watchers do not answer.
READ_BUDGET = 500


class Floor:
    """Learns the floor from the store and from the witnesses.

    Attributes:
        version: The floor; None while it is not known.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        marker: marks_lib.Marker,
        watcher: watcher_lib.Watcher,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.version: int | None = None
        self._membership = membership
        self._timing = membership.timing
        self._marker = marker
        self._watcher = watcher
        self._clock = clock
        self._started_at = clock()
        self._replies: dict[str, control_pb2.FloorReply] = {}

    async def learn(self) -> None:
        """Asks until the floor is known."""
        await self._membership.wait_for_contact(self._timing.join_timeout_s)
        backoff = timing_lib.Backoff(0.2, self._timing.max_floor_retry_delay_s)
        attempt = 1
        while not await self.try_learn(attempt):
            await asyncio.sleep(backoff.get_next_delay())
            attempt += 1

    async def try_learn(self, attempt: int) -> bool:
        """Asks once; True if the floor is known.

        The witnesses are asked also where the store answers: a store that
        answers reads from before an outage must not take this daemon back.

        Args:
            attempt: How often this has been called, this call included.
        """
        await self._ask_all()
        if self._is_vouched():
            self.version = self._get_highest()
            return True
        head = self._find_head()
        if head is None and self._may_read(attempt):
            head = await self._read_head()
        if head is None:
            return False
        if attempt <= _PATIENCE and not self._is_heard():
            return False
        self.version = max(head, self._get_highest())
        return True

    async def _ask_all(self) -> None:
        """Asks those in line to be witnesses, then whom these name.

        The watchers of other zones are asked where those of this zone are
        restarting too.
        """
        self._replies.clear()
        candidates = self._marker.get_candidates()[:_ASKED]
        await self._ask_each(
            [*candidates, *self._watcher.selection.get_watchers()]
        )
        named = {
            name for reply in self._replies.values() for name in reply.witnesses
        }
        await self._ask_each(named)
        if self._find_head() is None:
            await self._ask_each(self._watcher.selection.list_other_watchers())

    async def _ask_each(self, names: Iterable[str]) -> None:
        own_id = self._membership.table.local_id
        lacking = {
            name
            for name in names
            if name not in self._replies and name != own_id
        }
        await asyncio.gather(*(self._ask(name) for name in lacking))

    async def _ask(self, name: str) -> None:
        request = control_pb2.FloorRequest(
            member_id=self._membership.table.local_id,
            uptime_ms=self._get_uptime_ms(),
        )
        try:
            reply = await self._membership.peers.call(
                name, "Floor", request, self._timing.call_timeout_s
            )
        except peers_lib.PeerError:
            return
        if reply.head_age_ms > request.uptime_ms:
            # Read before this process began: an earlier process here may
            # have run what was accepted since.
            reply.head_read = False
        self._replies[name] = reply

    def _get_highest(self) -> int:
        return max(
            (
                max(reply.marked, reply.known)
                for reply in self._replies.values()
            ),
            default=0,
        )

    def _is_vouched(self) -> bool:
        """Tells whether the answers prove a floor without the store.

        Each of them names the witnesses, and two of these must have been
        open, and so have kept marks, long before this process began. Two that
        were open share one with the two that recorded the last mark. A
        witness that began later says nothing: its marks may have died with
        the process before it.
        """
        vouching = {
            name: reply
            for name, reply in self._replies.items()
            if self._has_memory(reply)
        }
        return bool(vouching) and all(
            _count(reply.witnesses, vouching)
            >= min(marks_lib.QUORUM, len(reply.witnesses))
            for reply in vouching.values()
        )

    def _has_memory(self, reply: control_pb2.FloorReply) -> bool:
        needed_ms = (
            self._get_uptime_ms() + 1000 * self._timing.min_witness_uptime_s
        )
        return reply.open and reply.memory_ms >= needed_ms

    def _is_heard(self) -> bool:
        """Tells whether enough witnesses answered, with memory or without."""
        witnesses = self._marker.get_candidates()[: marks_lib.WITNESSES]
        needed = min(marks_lib.QUORUM, len(witnesses))
        return _count(witnesses, self._replies) >= needed

    def _find_head(self) -> int | None:
        """Returns the head as a watcher read it after this process began."""
        return max(
            (
                reply.head_version
                for reply in self._replies.values()
                if reply.head_read
            ),
            default=None,
        )

    def _may_read(self, attempt: int) -> bool:
        """Tells whether to read the head without a watcher's help.

        For the first rounds that is left to the watchers. After them so small
        a share of the daemons reads in each round that all together keep to
        `READ_BUDGET`; the others ask again.
        """
        if self._watcher.selection.is_watcher():
            return True
        fleet = len(self._membership.table.list_usable_ids())
        share = READ_BUDGET * self._timing.max_floor_retry_delay_s / 2 / fleet
        return attempt > _PATIENCE and random.random() < share

    async def _read_head(self) -> int | None:
        try:
            return await self._watcher.refresh()
        except errors.MerlintrestleError as error:
            events.note("store silent", error=str(error))
            return None

    def _get_uptime_ms(self) -> int:
        return int(1000 * (self._clock() - self._started_at))


def _count(
    names: Iterable[str], replies: dict[str, control_pb2.FloorReply]
) -> int:
    return sum(name in replies for name in names)
