"""Builders for members and tables, and a fake network."""

from __future__ import annotations

import inspect
import time
from typing import Any, TYPE_CHECKING

from merlintrestle.members import peers as peers_lib
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

# Short intervals. Tests wait for events and not for these intervals.
FAST_TIMING = timing_lib.Timing(
    heartbeat_interval_s=0.1,
    silence_timeout_s=0.5,
    call_timeout_s=0.5,
    fetch_timeout_s=2.0,
    flush_delay_s=0.01,
    reconnect_delay_s=0.02,
    max_reconnect_delay_s=0.1,
    suspicion_timeout_s=0.4,
    anti_entropy_interval_s=0.2,
    pause_threshold_s=0.3,
    start_jitter_s=0.3,
    join_timeout_s=1.0,
    max_store_retry_delay_s=0.1,
    max_floor_retry_delay_s=0.1,
    max_watch_retry_delay_s=0.1,
    seeds_write_interval_s=0.1,
    seeds_check_interval_s=3600.0,
    head_refresh_interval_s=0.2,
    min_witness_uptime_s=0.2,
    hedge_delay_s=0.1,
    store_fallback_delay_s=0.3,
    watcher_settling_time_s=0.1,
)


def build_member(
    number: int = 1,
    incarnation: int = 1,
    state: control_pb2.MemberState = control_pb2.ALIVE,
    zone: str = "zone-a",
    service: str = "",
    link_mbps: float = 0.0,
) -> control_pb2.Member:
    """Builds the record of a member.

    With a service, the member has a READY backend server.
    """
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
        link_mbps=link_mbps,
    )
    if service:
        member.backend.CopyFrom(build_backend(service))
    return member


def build_backend(
    service: str = "balie",
    state: control_pb2.BackendState = control_pb2.READY,
) -> control_pb2.Backend:
    """Builds the record of a backend server."""
    return control_pb2.Backend(
        service=service, slots=12, state=state, ready_since_ms=1
    )


def build_table(number: int = 1) -> table_lib.MemberTable:
    """Builds the table of a daemon that knows no other member."""
    return table_lib.MemberTable(build_member(number))


class FakeNetwork:
    """Connects daemons without sockets.

    Attributes:
        handlers: Functions that answer requests, by member id and method.
        silent: Ids of daemons that do not answer.
        refused: Ids of daemons whose host refuses connections.
        cut: Pairs (source id, target id) between which calls fail.
        calls: (source id, target id, method) of every call, in order.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Callable[[Any], Any]]] = {}
        self.silent: set[str] = set()
        self.refused: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.calls: list[tuple[str, str, str]] = []

    def is_reachable(self, source: str, target: str) -> bool:
        """Tells whether a call between two daemons would be answered."""
        unreachable = self.silent | self.refused
        return (
            target in self.handlers
            and target not in unreachable
            and (source, target) not in self.cut
        )


class FakePeerClient(peers_lib.PeerClient):
    """Client for the calls of a daemon over a fake network."""

    def __init__(self, network: FakeNetwork, local_id: str):
        super().__init__()
        self._network = network
        self._local_id = local_id

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
        stub_class: Any = None,
    ) -> Any:
        """Calls the target's handler of the method."""
        self._network.calls.append((self._local_id, address, method))
        if not self._network.is_reachable(self._local_id, address):
            raise peers_lib.PeerError(f"{address}: {method}: unavailable")
        reply = self._network.handlers[address][method](request)
        if inspect.isawaitable(reply):
            reply = await reply
        self.last_received_at = time.monotonic()
        return reply

    async def fetch(
        self,
        address: str,
        request: control_pb2.FetchRequest,
        part_timeout_s: float,
        on_part: Callable[[], None],
    ) -> control_pb2.FetchReply:
        """Calls the target's handler; the reply is a single part."""
        reply = await self.call(address, "Fetch", request, part_timeout_s)
        on_part()
        return reply

    async def refuses_connection(self, address: str, timeout_s: float) -> bool:
        """Tells whether the target's host refuses connections."""
        return address in self._network.refused
