"""Marks: what a daemon records of others, and has recorded of itself."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from merlintrestle.members import peers as peers_lib
from merlintrestle.members import rendezvous
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import table as table_lib
    from merlintrestle.members import timing as timing_lib

logger = logging.getLogger(__name__)

WITNESSES = 3
QUORUM = 2


class Witness:
    """Keeps the versions that other daemons marked with this one."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._marks: dict[str, int] = {}
        self._open_since: float | None = None

    def open(self) -> None:
        """Notes that this daemon is open; it vouches from now on."""
        if self._open_since is None:
            self._open_since = self._clock()

    def record(self, request: control_pb2.MarkRequest) -> control_pb2.MarkReply:
        """Records the version of a daemon."""
        held = self._marks.get(request.member_id, 0)
        self._marks[request.member_id] = max(held, request.version)
        return control_pb2.MarkReply(recorded=True)

    def answer(
        self, request: control_pb2.FloorRequest, known: int
    ) -> control_pb2.FloorReply:
        """Says what this daemon knows of versions another one ran."""
        reply = control_pb2.FloorReply(
            marked=self._marks.get(request.member_id, 0), known=known
        )
        if self._open_since is not None:
            reply.open = True
            reply.memory_ms = int(1000 * (self._clock() - self._open_since))
        return reply


class Marker:
    """Marks the versions of this daemon with its witnesses."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.Peers,
        timing: timing_lib.Timing,
    ):
        self._table = table
        self._peers = peers
        self._timing = timing
        self._marked: dict[tuple[str, int], int] = {}

    def get_witnesses(self) -> list[str]:
        """Returns the ids of this daemon's witnesses."""
        own_id = self._table.own_id
        others = [i for i in self._table.usable_ids() if i != own_id]
        return rendezvous.choose(f"witness/{own_id}", others, WITNESSES)

    async def mark(self, version: int) -> bool:
        """Marks a version with the witnesses that lack it.

        Returns:
            True if enough of them have recorded it.
        """
        witnesses = self.get_witnesses()
        lacking = [
            name for name in witnesses if not self._has_mark(name, version)
        ]
        await asyncio.gather(*(self._send(name, version) for name in lacking))
        recorded = [name for name in witnesses if self._has_mark(name, version)]
        return len(recorded) >= min(QUORUM, len(witnesses))

    def _has_mark(self, witness: str, version: int) -> bool:
        return self._marked.get(self._get_process(witness), 0) >= version

    def _get_process(self, witness: str) -> tuple[str, int]:
        """Names a witness and its incarnation: a restarted one forgot."""
        member = self._table.get(witness)
        return witness, member.incarnation if member is not None else 0

    async def _send(self, witness: str, version: int) -> None:
        process = self._get_process(witness)
        request = control_pb2.MarkRequest(
            member_id=self._table.own_id, version=version
        )
        try:
            reply = await self._peers.call(
                witness, "Mark", request, self._timing.call
            )
        except peers_lib.PeerError as error:
            logger.info("versions: not marked: %s", error)
            return
        if reply.recorded:
            self._marked = {
                key: value
                for key, value in self._marked.items()
                if key[0] != witness
            }
            self._marked[process] = version
