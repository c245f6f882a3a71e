"""Builders of members, tables and short intervals."""

from __future__ import annotations

from merlintrestle.members import table as table_lib
from merlintrestle.members import timing
from merlintrestle.schema import control_pb2

# Short enough for tests; proofs wait on events, never on these.
FAST = timing.Timing(
    heartbeat=0.1,
    silence=0.5,
    call=0.5,
    fetch=2.0,
    flush=0.01,
    reconnect=0.02,
    reconnect_max=0.1,
    suspicion=0.4,
    exchange=0.2,
    pause=0.3,
    start_jitter=0.05,
    store_retry_max=0.1,
    seeds_write=0.1,
    head_refresh=0.2,
    memory=0.2,
    settle=0.2,
)


def build_member(
    number: int = 1,
    incarnation: int = 1,
    state: control_pb2.MemberState = control_pb2.ALIVE,
    zone: str = "zone-a",
    service: str = "",
) -> control_pb2.Member:
    """Builds a member; with a service it has a READY backend server."""
    port = 9000 + number
    member = control_pb2.Member(
        id=f"127.0.0.1:{port}",
        address="127.0.0.1",
        control_port=port,
        peer_port=port + 1000,
        zone=zone,
        region="region",
        incarnation=incarnation,
        state=state,
    )
    if service:
        member.backend.CopyFrom(build_backend(service))
    return member


def build_backend(
    service: str = "balie",
    state: control_pb2.BackendState = control_pb2.READY,
) -> control_pb2.Backend:
    """Builds the announcement of a backend server."""
    return control_pb2.Backend(
        service=service, slots=12, state=state, ready_since_ms=1
    )


def build_table(number: int = 1) -> table_lib.MemberTable:
    """Builds the table of a daemon that knows itself alone."""
    return table_lib.MemberTable(build_member(number))
