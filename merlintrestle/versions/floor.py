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
# Attempts, about 5 s in total with the default timing, in which to wait for
# watchers to answer with the head and for a quorum of witnesses to answer. In
# later attempts other daemons may read the head too, and the head is accepted
# without a quorum.
_MAX_WAITING_ATTEMPTS = 5
# Limit of the reads of the head by the whole fleet while its watchers do not
# answer.
MAX_FLEET_READS_PER_S = 500


class FloorResolver:
    """Determines the floor from the store and from the witnesses.

    Attributes:
        floor: The lowest version that this daemon may run; None while it is
            unknown, 0 if no version has been accepted.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        marker: marks_lib.Marker,
        watcher: watcher_lib.Watcher,
        get_time: Callable[[], float] = time.monotonic,
    ):
        self.floor: int | None = None
        self._membership = membership
        self._timing = membership.timing
        self._marker = marker
        self._watcher = watcher
        self._get_time = get_time
        self._started_at = get_time()
        self._replies: dict[str, control_pb2.FloorReply] = {}

    async def resolve(self) -> None:
        """Queries other daemons and the store until the floor is determined."""
        await self._membership.wait_for_contact(self._timing.join_timeout_s)
        backoff = timing_lib.Backoff(0.2, self._timing.max_floor_retry_delay_s)
        attempt = 1
        while not await self.try_resolve(attempt):
            await asyncio.sleep(backoff.get_next_delay())
            attempt += 1

    async def try_resolve(self, attempt: int) -> bool:
        """Queries once; returns whether the floor is determined.

        The witnesses are queried even if the store answers: a store that
        returns data from before an outage must not downgrade this daemon.

        Args:
            attempt: Number of calls of this method, including this one.
        """
        await self._query_members()
        if self._is_confirmed():
            self.floor = self._get_highest_version()
            return True
        head_version = self._find_head_version()
        if head_version is None and self._may_read_head(attempt):
            head_version = await self._read_head_version()
        if head_version is None:
            return False
        if attempt <= _MAX_WAITING_ATTEMPTS and not self._has_enough_replies():
            return False
        self.floor = max(head_version, self._get_highest_version())
        return True

    async def _query_members(self) -> None:
        """Queries the witness candidates, then the witnesses that they name.

        The watchers of other zones are queried if those of this zone do not
        answer with the head, as when they are restarting too.
        """
        self._replies.clear()
        candidates = self._marker.get_candidates()[:_MAX_QUERIED_CANDIDATES]
        await self._query_each(
            [*candidates, *self._watcher.selection.get_local_zone_watchers()]
        )
        named_witnesses = {
            member_id
            for reply in self._replies.values()
            for member_id in reply.witnesses
        }
        await self._query_each(named_witnesses)
        if self._find_head_version() is None:
            await self._query_each(
                self._watcher.selection.list_remote_zone_watchers()
            )

    async def _query_each(self, member_ids: Iterable[str]) -> None:
        local_id = self._membership.table.local_id
        unanswered_ids = {
            member_id
            for member_id in member_ids
            if member_id not in self._replies and member_id != local_id
        }
        await asyncio.gather(
            *(self._query(member_id) for member_id in unanswered_ids)
        )

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

        Each reply names up to three witnesses of this daemon. A reply counts
        only if its sender has been open, and therefore has kept marks, since
        at least `min_witness_uptime_s` before this process began. For every
        list of witnesses in these replies, `marks.QUORUM` of the witnesses must
        have sent such a reply (all of them if the list is shorter). Any two of
        three witnesses include one of the two that recorded the last version. A
        witness that opened later proves nothing: its marks may have been lost
        with its previous process.
        """
        confirming = {
            member_id: reply
            for member_id, reply in self._replies.items()
            if self._has_sufficient_uptime(reply)
        }
        return bool(confirming) and all(
            _count_replies(reply.witnesses, confirming)
            >= min(marks_lib.QUORUM, len(reply.witnesses))
            for reply in confirming.values()
        )

    def _has_sufficient_uptime(self, reply: control_pb2.FloorReply) -> bool:
        """Returns whether a witness opened long enough before this process."""
        min_uptime_ms = (
            self._get_uptime_ms() + 1000 * self._timing.min_witness_uptime_s
        )
        return reply.open and reply.memory_ms >= min_uptime_ms

    def _has_enough_replies(self) -> bool:
        """Returns whether enough witnesses answered, whatever their uptime."""
        witnesses = self._marker.get_candidates()[: marks_lib.WITNESS_COUNT]
        min_replies = min(marks_lib.QUORUM, len(witnesses))
        return _count_replies(witnesses, self._replies) >= min_replies

    def _find_head_version(self) -> int | None:
        """Returns the head version that watchers read after this process began.

        Returns:
            The highest one if several watchers answered; None if none did.
        """
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

        In the first attempts only watchers read. Afterwards a random fraction
        of the daemons reads in each attempt, so that the fleet does not exceed
        `MAX_FLEET_READS_PER_S`; the others query the watchers again. The
        fraction is computed for the shortest delay between attempts, which is
        half of `max_floor_retry_delay_s` at the maximum of the backoff.
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
        return (
            attempt > _MAX_WAITING_ATTEMPTS and random.random() < read_fraction
        )

    async def _read_head_version(self) -> int | None:
        try:
            return await self._watcher.read_and_compile_head()
        except errors.MerlintrestleError as error:
            events.note("store silent", error=str(error))
            return None

    def _get_uptime_ms(self) -> int:
        return int(1000 * (self._get_time() - self._started_at))


def _count_replies(
    member_ids: Iterable[str], replies: dict[str, control_pb2.FloorReply]
) -> int:
    return sum(member_id in replies for member_id in member_ids)
