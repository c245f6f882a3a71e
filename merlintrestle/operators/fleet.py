"""The fleet as operators see it: which daemons run which version."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple, TYPE_CHECKING

import grpc
import grpc.aio

from merlintrestle import errors
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc
from merlintrestle.versions import deltas

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from merlintrestle.documents import snapshot as snapshots

    AskStatus = Callable[[str, bool, float], Awaitable[control_pb2.StatusReply]]
    PushVersion = Callable[[str, float, snapshots.Snapshot], Awaitable[None]]

IN_FORCE = "in force"
BEHIND = "behind"
CLOSED = "closed"
DIFFERS = "differs"
UNREACHABLE = "unreachable"
# The accepted version is not known, so there is nothing to compare with.
RUNS = "runs"

# Open channels at once; bounds memory and sockets in a fleet of thousands.
_MAX_ASKED_AT_ONCE = 64
_MAX_REPLY_BYTES = 16 * 1024 * 1024
_SERVING = (control_pb2.ALIVE, control_pb2.SUSPECT)


class DaemonUnavailableError(errors.MerlintrestleError):
    """A daemon did not answer, so nothing is known about the fleet."""


class Daemon(NamedTuple):
    """One daemon and whether it runs the accepted version.

    Attributes:
        id: Its member id, "ip:control_port".
        zone: Its availability zone.
        service: Service of its backend server; empty: none.
        state: "in force", "behind", "closed", "differs", "unreachable", or
            "runs" where the accepted version is not known.
        version: The version that it runs; 0 where that is not known.
        detail: Why it is closed or unreachable.
    """

    id: str
    zone: str
    service: str
    state: str
    version: int
    detail: str


class MemberStatus(NamedTuple):
    """What one member answered.

    Attributes:
        member: The member as the first daemon knows it.
        reply: Its answer; None: there was none.
        problem: Why there was none.
    """

    member: control_pb2.Member
    reply: control_pb2.StatusReply | None
    problem: str


async def ask_daemon(
    address: str, members: bool, timeout_s: float
) -> control_pb2.StatusReply:
    """Asks one daemon for its status.

    Args:
        address: Its control address, "ip:port".
        members: Also ask for the members that it knows.
        timeout_s: Longest wait in seconds.

    Raises:
        DaemonUnavailableError: It did not answer.
    """
    options = [("grpc.max_receive_message_length", _MAX_REPLY_BYTES)]
    async with grpc.aio.insecure_channel(address, options) as channel:
        stub = control_pb2_grpc.ControlStub(channel)
        request = control_pb2.StatusRequest(members=members)
        try:
            return await stub.Status(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise DaemonUnavailableError(
                f"{error.code().name.lower()}: {error.details()}"
            ) from error


async def push_version(
    address: str, timeout_s: float, snapshot: snapshots.Snapshot
) -> None:
    """Gives an accepted version to one daemon, which spreads it.

    Watchers bring it too. It matters where the store fails just as it accepts;
    a daemon that does not answer changes nothing of what was accepted.

    Args:
        address: Its control address, "ip:port".
        timeout_s: Longest wait in seconds.
        snapshot: The accepted version.
    """
    request = control_pb2.HoldRequest(
        offer=deltas.make_offer(snapshot),
        snapshot=deltas.make_snapshot_message(snapshot),
    )
    async with grpc.aio.insecure_channel(address) as channel:
        stub = control_pb2_grpc.ControlStub(channel)
        with contextlib.suppress(grpc.aio.AioRpcError):
            await stub.Hold(request, timeout=timeout_s)


async def list_members(
    address: str, timeout_s: float, ask: AskStatus = ask_daemon
) -> list[control_pb2.Member]:
    """Returns the members that serve, as one daemon knows them.

    Members that are leaving or dead take no new work, so what they run does
    not matter to callers.

    Raises:
        DaemonUnavailableError: The daemon did not answer.
    """
    try:
        reply = await ask(address, True, timeout_s)
    except DaemonUnavailableError as error:
        raise DaemonUnavailableError(f"daemon {address}: {error}") from error
    known = {member.id: member for member in reply.members}
    known.setdefault(reply.self.id, reply.self)
    serving = [one for one in known.values() if one.state in _SERVING]
    return sorted(serving, key=lambda member: member.id)


async def ask_members(
    members: Iterable[control_pb2.Member],
    timeout_s: float,
    ask: AskStatus = ask_daemon,
) -> list[MemberStatus]:
    """Asks each member for its status, a bounded number at once."""
    places = asyncio.Semaphore(_MAX_ASKED_AT_ONCE)

    async def ask_one(member: control_pb2.Member) -> MemberStatus:
        address = f"{member.address}:{member.control_port}"
        async with places:
            try:
                return MemberStatus(
                    member, await ask(address, False, timeout_s), ""
                )
            except DaemonUnavailableError as error:
                return MemberStatus(member, None, str(error))

    return await asyncio.gather(*(ask_one(member) for member in members))


def check_daemon(
    answer: MemberStatus, version: int | None, digest: bytes
) -> Daemon:
    """Says whether a daemon runs a version or a newer one.

    Args:
        answer: What it answered.
        version: The accepted version; None: not known.
        digest: Digest of that version's snapshot; empty: not compared.
    """
    member, reply = answer.member, answer.reply
    if reply is None:
        state, held, detail = UNREACHABLE, 0, answer.problem
    else:
        held, detail = reply.running.version, ""
        state = IN_FORCE
        if reply.closed:
            state, detail = CLOSED, reply.closed_reason
        elif version is None:
            state = RUNS
        elif held < version:
            state = BEHIND
        elif held == version and digest not in (b"", reply.running.digest):
            state, detail = DIFFERS, "another snapshot of the same version"
    return Daemon(
        member.id, member.zone, member.backend.service, state, held, detail
    )


def list_not_in_force(daemons: Sequence[Daemon]) -> tuple[Daemon, ...]:
    """Returns the daemons that do not run the accepted version."""
    return tuple(one for one in daemons if one.state != IN_FORCE)
