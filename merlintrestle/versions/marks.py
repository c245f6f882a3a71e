"""Recording of the versions that a daemon ran, by other daemons.

A daemon stores nothing across a restart. Before it first runs a version, some
other daemons, its witnesses, record the version. Such a record is called a
mark; see docs/design/0003-never-back.md.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import rendezvous
from merlintrestle.members import selection as selection_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import timing as timing_lib

events = event_logs.EventLog("versions")

WITNESS_COUNT = 3
# Witnesses that must record a version before it runs, and that must answer
# before a floor is known: any two pairs of three have a witness in common.
QUORUM = 2
# Members that can be witnesses, including replacements for those that are gone.
_MAX_CANDIDATES = 8
# Limits the memory of a witness if the members change often; the mark that was
# updated longest ago is dropped. Usually a witness keeps the marks of about 3
# daemons.
_MAX_MARKS = 20_000


class Witness:
    """Keeps the highest version that each other daemon has recorded here."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        get_time: Callable[[], float] = time.monotonic,
    ):
        self._table = table
        self._get_time = get_time
        self._versions_by_member: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._open_since: float | None = None

    def set_open(self) -> None:
        """Records that this daemon now accepts requests.

        Its uptime as a witness starts with the first call.
        """
        if self._open_since is None:
            self._open_since = self._get_time()

    def record(self, request: control_pb2.MarkRequest) -> control_pb2.MarkReply:
        """Records the version of a daemon; a lower one has no effect."""
        recorded_version = self._versions_by_member.pop(request.member_id, 0)
        self._versions_by_member[request.member_id] = max(
            recorded_version, request.version
        )
        if len(self._versions_by_member) > _MAX_MARKS:
            self._versions_by_member.popitem(last=False)
        return control_pb2.MarkReply(recorded=True)

    def get_highest_version(self) -> int:
        """Returns the highest version that any daemon has recorded here."""
        return max(self._versions_by_member.values(), default=0)

    def answer_floor(
        self, request: control_pb2.FloorRequest, highest_known: int
    ) -> control_pb2.FloorReply:
        """Answers a starting daemon that determines its floor.

        Args:
            request: The call.
            highest_known: The highest version that this daemon knows of.
        """
        reply = control_pb2.FloorReply(
            marked=self._versions_by_member.get(request.member_id, 0),
            known=highest_known,
            witnesses=self._list_witnesses(request.member_id),
        )
        if self._open_since is not None:
            reply.open = True
            reply.memory_ms = int(1000 * (self._get_time() - self._open_since))
        return reply

    def _list_witnesses(self, member_id: str) -> list[str]:
        """Returns the witnesses of a daemon, including those that are dead.

        The marks of a dead witness are lost, so it must count as a witness
        that does not answer. If dead witnesses were omitted, the next
        candidates would confirm a floor for a daemon that never recorded its
        versions with them.
        """
        candidates = [
            member.id
            for member in self._table.list_members()
            if member.state != control_pb2.LEAVING and member.id != member_id
        ]
        key = rendezvous.build_neighbours_key(member_id)
        return rendezvous.choose(key, candidates, WITNESS_COUNT)


class Marker:
    """Records the versions of this daemon with its witnesses."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.PeerClient,
        timing: timing_lib.Timing,
    ):
        self._table = table
        self._peers = peers
        self._timing = timing
        self._selection = selection_lib.MemberSelection(
            table,
            rendezvous.build_neighbours_key(table.local_id),
            _MAX_CANDIDATES,
        )
        self._recorded_versions: dict[tuple[str, int], int] = {}
        self._calls: dict[str, asyncio.Task[bool]] = {}

    async def close(self) -> None:
        """Cancels the calls in flight."""
        calls = list(self._calls.values())
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def get_candidates(self) -> list[str]:
        """Returns the members that can be witnesses, in order of preference."""
        return self._selection.get()

    async def mark(self, version: int) -> bool:
        """Calls the witnesses that have not recorded a version yet.

        A witness whose host refuses the connection is gone, and so are the
        marks that it kept; the next candidate replaces it at once. A witness
        that is only silent is kept until it is considered dead.

        Returns:
            True if a quorum of witnesses has recorded the version. A daemon
            without peers needs none and relies on the store.
        """
        refusing: set[str] = set()
        while True:
            witnesses = self._get_witnesses(refusing)
            if await self._mark_with(witnesses, version):
                return True
            newly_refusing = await self._find_refusing(witnesses, version)
            if not newly_refusing:
                return False
            refusing |= newly_refusing

    def _get_witnesses(self, refusing: set[str]) -> list[str]:
        usable = [
            witness
            for witness in self._selection.get()
            if witness not in refusing
        ]
        return usable[:WITNESS_COUNT]

    async def _mark_with(self, witnesses: list[str], version: int) -> bool:
        """Calls witnesses until a quorum has recorded a version.

        Calls that are then still in flight are not cancelled.

        Returns:
            False if all calls ended without a quorum.
        """
        min_recorded = min(QUORUM, len(witnesses))
        pending = {
            self._start_call(witness, version)
            for witness in witnesses
            if not self._has_recorded(witness, version)
        }
        while self._count_recorded(witnesses, version) < min_recorded:
            if not pending:
                return False
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        return True

    async def _find_refusing(
        self, witnesses: list[str], version: int
    ) -> set[str]:
        unmarked = [
            witness
            for witness in witnesses
            if not self._has_recorded(witness, version)
        ]
        results = await asyncio.gather(
            *(
                self._peers.refuses_connection(
                    witness, self._timing.call_timeout_s
                )
                for witness in unmarked
            )
        )
        return {
            witness
            for witness, refuses in zip(unmarked, results, strict=True)
            if refuses
        }

    def _count_recorded(self, witnesses: list[str], version: int) -> int:
        return sum(
            self._has_recorded(witness, version) for witness in witnesses
        )

    def _has_recorded(self, witness: str, version: int) -> bool:
        return (
            self._recorded_versions.get(self._get_process_key(witness), 0)
            >= version
        )

    def _get_process_key(self, witness: str) -> tuple[str, int]:
        """Returns a key of a witness and its process.

        A restarted witness has lost its marks. The incarnation does not
        identify the process: it also increases when a witness that was only
        late refutes that it is dead. If this were taken for a restart, a busy
        fleet would lose marks faster than it records them, and no daemon would
        open. A witness of an earlier release sends only its incarnation.
        """
        member = self._table.get(witness)
        if member is None:
            return witness, 0
        return witness, member.process or member.incarnation

    def _start_call(self, witness: str, version: int) -> asyncio.Task[bool]:
        call = self._calls.get(witness)
        if call is not None:
            return call
        task = asyncio.create_task(self._call_witness(witness, version))
        self._calls[witness] = task
        task.add_done_callback(lambda _: self._calls.pop(witness, None))
        return task

    async def _call_witness(self, witness: str, version: int) -> bool:
        process_key = self._get_process_key(witness)
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
            self._remove_recorded(witness)
            self._recorded_versions[process_key] = version
        return reply.recorded

    def _remove_recorded(self, witness: str) -> None:
        for process_key in list(self._recorded_versions):
            if process_key[0] == witness:
                del self._recorded_versions[process_key]
