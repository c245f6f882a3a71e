"""The floor: the lowest version that a starting daemon may run."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import marks as marks_lib

if TYPE_CHECKING:
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import watcher as watcher_lib

logger = logging.getLogger(__name__)


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
    ):
        self.version: int | None = None
        self._membership = membership
        self._timing = membership.timing
        self._marker = marker
        self._watcher = watcher

    async def learn(self) -> None:
        """Asks until the floor is known.

        The witnesses are asked also where the store answers: a store that
        answers reads from before an outage must not take this daemon back.
        """
        await self._membership.wait_for_contact(self._timing.settle)
        backoff = timing_lib.Backoff(0.2, self._timing.store_retry_max)
        while self.version is None:
            replies = await self._ask_witnesses()
            highest = max(
                (max(reply.marked, reply.known) for reply in replies),
                default=0,
            )
            if self._is_vouched(replies):
                self.version = highest
                return
            head = await self._read_head()
            if head is not None:
                self.version = max(head, highest)
                return
            await asyncio.sleep(backoff.get_wait())

    def _is_vouched(self, replies: list[control_pb2.FloorReply]) -> bool:
        memory_ms = 1000 * self._timing.memory
        vouching = [
            reply
            for reply in replies
            if reply.open and reply.memory_ms >= memory_ms
        ]
        return len(vouching) >= marks_lib.QUORUM

    async def _ask_witnesses(self) -> list[control_pb2.FloorReply]:
        answers = await asyncio.gather(
            *(self._ask(name) for name in self._marker.get_witnesses())
        )
        return [reply for reply in answers if reply is not None]

    async def _ask(self, witness: str) -> control_pb2.FloorReply | None:
        request = control_pb2.FloorRequest(
            member_id=self._membership.table.own_id
        )
        try:
            return await self._membership.peers.call(
                witness, "Floor", request, self._timing.call
            )
        except peers_lib.PeerError:
            return None

    async def _read_head(self) -> int | None:
        await asyncio.sleep(random.uniform(0, self._timing.settle))
        try:
            return await self._watcher.refresh()
        except errors.MerlintrestleError as error:
            logger.info("versions: no head: %s", error)
            return None
