"""Status of the fleet: which daemons run which version."""

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

# Values of `Daemon.state`.
IN_FORCE = "in force"
BEHIND = "behind"
# The daemon refuses every request until a floor is known.
CLOSED = "closed"
# The daemon runs another snapshot under the number of the accepted version.
DIFFERS = "differs"
UNREACHABLE = "unreachable"
# The accepted version is unknown, so the running one cannot be compared.
RUNS = "runs"

# Limits memory and sockets in a fleet of thousands of daemons.
_MAX_CONCURRENT_REQUESTS = 64
_MAX_REPLY_BYTES = 16 * 1024 * 1024
# States of the members that take new calls.
_SERVING_STATES = (control_pb2.ALIVE, control_pb2.SUSPECT)


class DaemonUnavailableError(errors.MerlintrestleError):
    """A daemon did not answer a status request.

    If it is the daemon that lists the members, the status of the whole fleet is
    unknown.
    """


class Daemon(NamedTuple):
    """A daemon and whether it runs the accepted version.

    Attributes:
        id: Member id of the daemon, "ip:control_port".
        zone: Availability zone of the daemon.
        service: Service of its backend server; empty if there is none.
        state: "in force", "behind", "closed", "differs" or "unreachable"; or
            "runs" if the accepted version is unknown.
        version: The version that the daemon runs; 0 if it is unknown.
        detail: Reason of the state "closed", "differs" or "unreachable", or
            that the daemon refuses requests with API keys.
        is_stale: Whether the daemon refuses requests with API keys, as a newer
            version may have been accepted.
    """

    id: str
    zone: str
    service: str
    state: str
    version: int
    detail: str
    is_stale: bool = False


class MemberStatus(NamedTuple):
    """Answer of a member to a status request, or why there was none.

    Attributes:
        member: The member, as the daemon that lists the members knows it.
        reply: The answer; None if there was none.
        problem: Error message if there was no answer, else empty.
    """

    member: control_pb2.Member
    reply: control_pb2.StatusReply | None
    problem: str


async def ask_daemon(
    address: str, include_members: bool, timeout_s: float
) -> control_pb2.StatusReply:
    """Returns the status of a daemon.

    Args:
        address: Control address of the daemon, "ip:port".
        include_members: Whether the status includes the members that the
            daemon knows.
        timeout_s: Maximum time to wait, in seconds.

    Raises:
        DaemonUnavailableError: The daemon did not answer.
    """
    options = [("grpc.max_receive_message_length", _MAX_REPLY_BYTES)]
    async with grpc.aio.insecure_channel(address, options) as channel:
        stub = control_pb2_grpc.ControlStub(channel)
        request = control_pb2.StatusRequest(members=include_members)
        try:
            return await stub.Status(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise DaemonUnavailableError(
                f"{error.code().name.lower()}: {error.details()}"
            ) from error


async def push_version(
    address: str, timeout_s: float, snapshot: snapshots.Snapshot
) -> None:
    """Sends an accepted version to a daemon, which distributes it.

    The daemons that watch the store distribute it as well, so this is needed
    only if the store fails immediately after it accepted the version. An error
    is ignored, as the version stays accepted.

    Args:
        address: Control address of the daemon, "ip:port".
        timeout_s: Maximum time to wait, in seconds.
        snapshot: The accepted version.
    """
    request = control_pb2.HoldRequest(
        offer=deltas.build_offer(snapshot),
        snapshot=deltas.build_snapshot_message(snapshot),
    )
    async with grpc.aio.insecure_channel(address) as channel:
        stub = control_pb2_grpc.ControlStub(channel)
        with contextlib.suppress(grpc.aio.AioRpcError):
            await stub.Hold(request, timeout=timeout_s)


async def list_members(
    address: str, timeout_s: float, ask_status: AskStatus = ask_daemon
) -> list[control_pb2.Member]:
    """Returns the members that take new calls, as one daemon knows them.

    Members that are leaving or dead take no new calls, so the version that they
    run does not matter to callers.

    Args:
        address: Control address of the daemon, "ip:port".
        timeout_s: Maximum time to wait, in seconds.
        ask_status: Returns the status of a daemon, as `ask_daemon` does.

    Raises:
        DaemonUnavailableError: The daemon did not answer.
    """
    try:
        reply = await ask_status(address, True, timeout_s)
    except DaemonUnavailableError as error:
        raise DaemonUnavailableError(f"daemon {address}: {error}") from error
    members = {member.id: member for member in reply.members}
    members.setdefault(reply.self.id, reply.self)
    serving = [
        member for member in members.values() if member.state in _SERVING_STATES
    ]
    return sorted(serving, key=lambda member: member.id)


async def ask_members(
    members: Iterable[control_pb2.Member],
    timeout_s: float,
    ask_status: AskStatus = ask_daemon,
) -> list[MemberStatus]:
    """Returns the status of each member, in the order of the members.

    The number of concurrent requests is limited.

    Args:
        members: The members.
        timeout_s: Maximum time to wait for each answer, in seconds.
        ask_status: Returns the status of a daemon, as `ask_daemon` does.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def ask_member(member: control_pb2.Member) -> MemberStatus:
        address = f"{member.address}:{member.control_port}"
        async with semaphore:
            try:
                return MemberStatus(
                    member, await ask_status(address, False, timeout_s), ""
                )
            except DaemonUnavailableError as error:
                return MemberStatus(member, None, str(error))

    return await asyncio.gather(*(ask_member(member) for member in members))


def check_daemon(
    member_status: MemberStatus, version: int | None, digest: bytes
) -> Daemon:
    """Compares the version that a daemon runs with an accepted one.

    A daemon that runs a newer version is "in force" as well.

    Args:
        member_status: The answer of the daemon.
        version: The accepted version; None if it is unknown.
        digest: Digest of the version's snapshot; empty if it is not compared.
    """
    member, reply = member_status.member, member_status.reply
    if reply is None:
        state, running_version, detail = UNREACHABLE, 0, member_status.problem
    else:
        running_version, detail = reply.running.version, ""
        state = IN_FORCE
        if reply.closed:
            state, detail = CLOSED, reply.closed_reason
        elif version is None:
            state = RUNS
        elif running_version < version:
            state = BEHIND
        elif running_version == version and digest not in (
            b"",
            reply.running.digest,
        ):
            state, detail = DIFFERS, "another snapshot of the same version"
        if reply.stale:
            detail = detail or _describe_staleness(reply)
    return Daemon(
        member.id,
        member.zone,
        member.backend.service,
        state,
        running_version,
        detail,
        reply is not None and reply.stale,
    )


def _describe_staleness(reply: control_pb2.StatusReply) -> str:
    """Returns why a daemon refuses requests with API keys."""
    age = (
        f"{reply.freshness_age_ms / 1000:.1f} s ago"
        if reply.freshness_age_ms
        else "never"
    )
    return (
        "refuses requests with API keys: its version was last known to be the "
        f"newest {age}"
    )


def list_not_in_force(daemons: Sequence[Daemon]) -> tuple[Daemon, ...]:
    """Returns the daemons that do not run the accepted version.

    If the accepted version is unknown, these are all daemons.
    """
    return tuple(daemon for daemon in daemons if daemon.state != IN_FORCE)
