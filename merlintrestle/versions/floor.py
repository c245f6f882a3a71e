"""Determination of the floor, the lowest version a starting daemon may run."""

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

# Witness candidates that are queried, besides the watchers of the zone.
_MAX_QUERIED_CANDIDATES = 5
# Rounds, about 5 s in total, in which to wait for watchers to answer with the
# head and for witnesses to confirm a floor.
_MAX_WAITING_ROUNDS = 5
# Reads of the head by the whole fleet while its watchers do not answer.
MAX_FLEET_READS_PER_S = 500


class Floor:
    """Determines the floor from the store and from the witnesses.

    Attributes:
        version: The floor; None while it is unknown.
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
        """Queries other daemons and the store until the floor is known."""
        await self._membership.wait_for_contact(self._timing.join_timeout_s)
        backoff = timing_lib.Backoff(0.2, self._timing.max_floor_retry_delay_s)
        attempt = 1
        while not await self.try_learn(attempt):
            await asyncio.sleep(backoff.get_next_delay())
            attempt += 1

    async def try_learn(self, attempt: int) -> bool:
        """Queries once; returns whether the floor is known.

        The witnesses are queried even if the store answers: a store that
        returns data from before an outage must not downgrade this daemon.

        Args:
            attempt: Number of calls of this method, including this one.
        """
        await self._query_members()
        if self._is_confirmed():
            self.version = self._get_highest_version()
            return True
        head = self._find_head()
        if head is None and self._may_read_head(attempt):
            head = await self._read_head()
        if head is None:
            return False
        if attempt <= _MAX_WAITING_ROUNDS and not self._has_enough_replies():
            return False
        self.version = max(head, self._get_highest_version())
        return True

    async def _query_members(self) -> None:
        """Queries the witness candidates, then the witnesses that they name.

        The watchers of other zones are queried if those of this zone do not
        answer with the head, as when they are restarting too.
        """
        self._replies.clear()
        candidates = self._marker.get_candidates()[:_MAX_QUERIED_CANDIDATES]
        await self._query_each(
            [*candidates, *self._watcher.selection.get_watchers()]
        )
        named_witnesses = {
            member_id
            for reply in self._replies.values()
            for member_id in reply.witnesses
        }
        await self._query_each(named_witnesses)
        if self._find_head() is None:
            await self._query_each(
                self._watcher.selection.list_other_watchers()
            )

    async def _query_each(self, member_ids: Iterable[str]) -> None:
        local_id = self._membership.table.local_id
        missing = {
            member_id
            for member_id in member_ids
            if member_id not in self._replies and member_id != local_id
        }
        await asyncio.gather(*(self._query(member_id) for member_id in missing))

    async def _query(self, member_id: str) -> None:
        request = control_pb2.FloorRequest(
            member_id=self._membership.table.local_id,
            uptime_ms=self._get_uptime_ms(),
        )
        try:
            reply = await self._membership.peers.call(
                member_id, "Floor", request, self._timing.call_timeout_s
            )
        except peers_lib.PeerError:
            return
        if reply.head_age_ms > request.uptime_ms:
            # The head was read before this process began. An earlier process
            # at this address may have run a version accepted since then.
            reply.head_read = False
        self._replies[member_id] = reply

    def _get_highest_version(self) -> int:
        return max(
            (
                max(reply.marked, reply.known)
                for reply in self._replies.values()
            ),
            default=0,
        )

    def _is_confirmed(self) -> bool:
        """Returns whether the replies prove the floor without the store.

        Each reply names the witnesses, and two of these must have been open,
        and therefore have kept marks, since long before this process began.
        Any two of them include one of the two that recorded the last mark. A
        witness that started later proves nothing: its marks may have been
        lost with its previous process.
        """
        confirming = {
            member_id: reply
            for member_id, reply in self._replies.items()
            if self._has_memory(reply)
        }
        return bool(confirming) and all(
            _count_replies(reply.witnesses, confirming)
            >= min(marks_lib.QUORUM, len(reply.witnesses))
            for reply in confirming.values()
        )

    def _has_memory(self, reply: control_pb2.FloorReply) -> bool:
        needed_ms = (
            self._get_uptime_ms() + 1000 * self._timing.min_witness_uptime_s
        )
        return reply.open and reply.memory_ms >= needed_ms

    def _has_enough_replies(self) -> bool:
        """Returns whether enough witnesses answered, whatever their uptime."""
        witnesses = self._marker.get_candidates()[: marks_lib.WITNESSES]
        needed = min(marks_lib.QUORUM, len(witnesses))
        return _count_replies(witnesses, self._replies) >= needed

    def _find_head(self) -> int | None:
        """Returns the head that a watcher read after this process began."""
        return max(
            (
                reply.head_version
                for reply in self._replies.values()
                if reply.head_read
            ),
            default=None,
        )

    def _may_read_head(self, attempt: int) -> bool:
        """Returns whether this daemon may read the head from the store itself.

        In the first rounds only watchers read. Afterwards a fraction of the
        daemons reads in each round, so that the fleet does not exceed
        `MAX_FLEET_READS_PER_S`; the others query the watchers again.
        """
        if self._watcher.selection.is_watcher():
            return True
        fleet_size = len(self._membership.table.list_usable_ids())
        read_fraction = (
            MAX_FLEET_READS_PER_S
            * self._timing.max_floor_retry_delay_s
            / 2
            / fleet_size
        )
        return attempt > _MAX_WAITING_ROUNDS and random.random() < read_fraction

    async def _read_head(self) -> int | None:
        try:
            return await self._watcher.refresh()
        except errors.MerlintrestleError as error:
            events.note("store silent", error=str(error))
            return None

    def _get_uptime_ms(self) -> int:
        return int(1000 * (self._clock() - self._started_at))


def _count_replies(
    member_ids: Iterable[str], replies: dict[str, control_pb2.FloorReply]
) -> int:
    return sum(member_id in replies for member_id in member_ids)
