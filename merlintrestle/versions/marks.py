"""Marks: the versions that daemons ran, kept by other daemons.

A daemon keeps nothing over a restart. Before it first runs a version it has
some others, its witnesses, record that; see docs/design/0003-never-back.md.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import rendezvous
from merlintrestle.members import selection as choice_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import timing as timing_lib

events = event_logs.EventLog("versions")

WITNESSES = 3
# Acknowledgements before a version runs, and answers before a floor is known:
# any two of three have one in common.
QUORUM = 2
# Members in line for a witness that is gone.
_CANDIDATES = 8
# Marks kept by one witness, which expects those of some 3 daemons.
_MAX_MARKS = 20_000


class Witness:
    """Keeps the versions that other daemons marked with this one."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._table = table
        self._clock = clock
        self._marks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._open_since: float | None = None

    def open(self) -> None:
        """Notes that this daemon is open; it vouches from now on."""
        if self._open_since is None:
            self._open_since = self._clock()

    def record(self, request: control_pb2.MarkRequest) -> control_pb2.MarkReply:
        """Records the version of a daemon; a lower one changes nothing."""
        held = self._marks.pop(request.member_id, 0)
        self._marks[request.member_id] = max(held, request.version)
        if len(self._marks) > _MAX_MARKS:
            self._marks.popitem(last=False)
        return control_pb2.MarkReply(recorded=True)

    def get_highest(self) -> int:
        """Returns the highest version that any daemon marked here."""
        return max(self._marks.values(), default=0)

    def answer(
        self, request: control_pb2.FloorRequest, known: int
    ) -> control_pb2.FloorReply:
        """Says what this daemon knows of versions another one ran."""
        reply = control_pb2.FloorReply(
            marked=self._marks.get(request.member_id, 0),
            known=known,
            witnesses=self._list_witnesses(request.member_id),
        )
        if self._open_since is not None:
            reply.open = True
            reply.memory_ms = int(1000 * (self._clock() - self._open_since))
        return reply

    def _list_witnesses(self, member_id: str) -> list[str]:
        """Returns the witnesses of a daemon, the dead among them too.

        Marks that died with a witness must be missed. Without the dead, the
        next in line would vouch for a daemon that never marked with them.
        """
        candidates = [
            member.id
            for member in self._table.list_members()
            if member.state != control_pb2.LEAVING and member.id != member_id
        ]
        key = rendezvous.build_neighbours_key(member_id)
        return rendezvous.choose(key, candidates, WITNESSES)


class Marker:
    """Marks the versions of this daemon with its witnesses."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.PeerClient,
        timing: timing_lib.Timing,
    ):
        self._table = table
        self._peers = peers
        self._timing = timing
        self._choice = choice_lib.MemberSelection(
            table, rendezvous.build_neighbours_key(table.local_id), _CANDIDATES
        )
        self._marked: dict[tuple[str, int], int] = {}
        self._sending: dict[str, asyncio.Task[bool]] = {}

    async def close(self) -> None:
        """Ends the calls under way."""
        sending = list(self._sending.values())
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    def get_candidates(self) -> list[str]:
        """Returns the members in line to be witnesses, the first ones first."""
        return self._choice.get()

    async def mark(self, version: int) -> bool:
        """Marks a version with the witnesses that lack it.

        A witness whose host refuses the connection is gone, and so are the
        marks it kept; the next in line takes its place at once. One that is
        merely silent keeps its place until it is held for dead.

        Returns:
            True if enough of them have recorded it. A daemon that is alone
            relies on the store.
        """
        refused: set[str] = set()
        while True:
            witnesses = self._get_witnesses(refused)
            if await self._mark_with(witnesses, version):
                return True
            newly = await self._find_refused(witnesses, version)
            if not newly:
                return False
            refused |= newly

    def _get_witnesses(self, refused: set[str]) -> list[str]:
        usable = [name for name in self._choice.get() if name not in refused]
        return usable[:WITNESSES]

    async def _mark_with(self, witnesses: list[str], version: int) -> bool:
        """Marks until enough have recorded; the rest goes on meanwhile."""
        needed = min(QUORUM, len(witnesses))
        pending = {
            self._start_sending(name, version)
            for name in witnesses
            if not self._has_mark(name, version)
        }
        while self._count_marks(witnesses, version) < needed:
            if not pending:
                return False
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        return True

    async def _find_refused(
        self, witnesses: list[str], version: int
    ) -> set[str]:
        lacking = [i for i in witnesses if not self._has_mark(i, version)]
        answers = await asyncio.gather(
            *(
                self._peers.refuses_connection(i, self._timing.call_timeout_s)
                for i in lacking
            )
        )
        return {
            name
            for name, refused in zip(lacking, answers, strict=True)
            if refused
        }

    def _count_marks(self, witnesses: list[str], version: int) -> int:
        return sum(self._has_mark(name, version) for name in witnesses)

    def _has_mark(self, witness: str, version: int) -> bool:
        return self._marked.get(self._get_process(witness), 0) >= version

    def _get_process(self, witness: str) -> tuple[str, int]:
        """Names a witness and its process: a restarted one forgot.

        Its incarnation does not tell: it also rises when a witness that was
        only late refutes that it is dead. Counted as a restart, that voided
        marks faster than a busy fleet could make them, and no daemon opened.
        One of an earlier release tells no more than its incarnation.
        """
        member = self._table.get(witness)
        if member is None:
            return witness, 0
        return witness, member.process or member.incarnation

    def _start_sending(self, witness: str, version: int) -> asyncio.Task[bool]:
        running = self._sending.get(witness)
        if running is not None:
            return running
        task = asyncio.create_task(self._send(witness, version))
        self._sending[witness] = task
        task.add_done_callback(lambda _: self._sending.pop(witness, None))
        return task

    async def _send(self, witness: str, version: int) -> bool:
        process = self._get_process(witness)
        request = control_pb2.MarkRequest(
            member_id=self._table.local_id, version=version
        )
        try:
            reply = await self._peers.call(
                witness, "Mark", request, self._timing.call_timeout_s
            )
        except peers_lib.PeerError as error:
            events.note("not marked", witness=witness, error=str(error))
            return False
        if reply.recorded:
            self._forget_marks(witness)
            self._marked[process] = version
        return reply.recorded

    def _forget_marks(self, witness: str) -> None:
        for process in list(self._marked):
            if process[0] == witness:
                del self._marked[process]
