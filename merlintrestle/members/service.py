"""gRPC service for control calls between daemons."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import grpc.aio

from merlintrestle import errors
from merlintrestle.members import accounting
from merlintrestle.members import parts
from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import distribution as distribution_lib
    from merlintrestle.versions import freshness_poller as freshness_poller_lib

_OPTIONS = [
    ("grpc.max_receive_message_length", peers_lib.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", peers_lib.MAX_MESSAGE_BYTES),
    # Probes of the bandwidth-delay product would add traffic.
    ("grpc.http2.bdp_probe", 0),
    # With port reuse, two daemons on one port would each receive half of the
    # other's calls.
    ("grpc.so_reuseport", 0),
]


class ControlServer:
    """The gRPC server on the control port.

    Attributes:
        server: The gRPC server; other servicers can be added before `start`.
        port: The bound port.
    """

    def __init__(self, address: str, port: int):
        """Binds the control port; port 0 selects a free port.

        Must be called inside a running event loop.

        Raises:
            errors.MerlintrestleError: The port cannot be bound.
        """
        self.server = grpc.aio.server(options=_OPTIONS)
        try:
            self.port = self.server.add_insecure_port(f"{address}:{port}")
        except RuntimeError as error:
            raise errors.MerlintrestleError(
                f"control port {address}:{port} cannot be bound"
            ) from error

    async def start(self, servicer: ControlServicer) -> None:
        """Starts serving."""
        control_pb2_grpc.add_ControlServicer_to_server(servicer, self.server)
        await self.server.start()

    async def close(self, grace_s: float = 0.2) -> None:
        """Stops serving; open links and calls end after `grace_s` seconds."""
        await self.server.stop(grace_s)


class ControlServicer(control_pb2_grpc.ControlServicer):
    """Answers control calls from other daemons and operators."""

    def __init__(
        self,
        membership: membership_lib.Membership,
        distribution: distribution_lib.Distribution,
        get_classes: Callable[
            [], Sequence[control_pb2.ClassStatus]
        ] = lambda: (),
        get_in_flight: Callable[[], int] = lambda: 0,
        poller: freshness_poller_lib.FreshnessPoller | None = None,
        describe: Sequence[Callable[[control_pb2.StatusReply], None]] = (),
    ):
        """Initializes the servicer.

        Args:
            membership: Answers calls about members and links.
            distribution: Answers calls about versions.
            get_classes: Returns the measurements of each class of calls.
            get_in_flight: Returns the number of requests in flight.
            poller: Answers other daemons how fresh the version is; None if
                this daemon has no proofs.
            describe: Add to the status of this daemon.
        """
        self._describe = describe
        self._poller = poller
        self._membership = membership
        self._distribution = distribution
        self._get_classes = get_classes
        self._get_in_flight = get_in_flight

    async def Link(self, request_iterator: Any, context: Any) -> None:  # noqa: N802
        """Serves a link opened by a peer."""
        del request_iterator
        await self._membership.serve_link(context)

    async def Fetch(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns the newest version."""
        del context
        reply = self._distribution.archive.answer_fetch(request)
        return _count("Fetch", request, reply)

    async def FetchParts(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Streams the newest version in compressed parts."""
        del context
        _count_received("FetchParts", request)
        for part in parts.split_message(
            self._distribution.archive.answer_fetch(request)
        ):
            accounting.count_sent("FetchParts", part)
            yield part

    async def Hold(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Stores a version that an operator sends after its acceptance."""
        del context
        held = self._distribution.hold_from_operator(request)
        return _count("Hold", request, control_pb2.HoldReply(held=held))

    async def Mark(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Records the version that a daemon runs, as its witness."""
        del context
        reply = self._distribution.witness.record(request)
        return _count("Mark", request, reply)

    async def Floor(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns what is known about the versions that a daemon has run."""
        del context
        reply = await self._distribution.answer_floor(request)
        return _count("Floor", request, reply)

    async def Members(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Exchanges member records by bucket."""
        del context
        reply = self._membership.answer_members(request)
        return _count("Members", request, reply)

    async def Probe(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Probes a member for another daemon.

        A request with the id of this daemon is answered without a probe.
        """
        del context
        local_id = self._membership.table.local_id
        reached = request.member_id == local_id or await self._membership.probe(
            request.member_id
        )
        return _count("Probe", request, control_pb2.ProbeReply(reached=reached))

    async def Freshness(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns the latest proof of freshness."""
        del context
        reply = control_pb2.FreshnessReply()
        if self._poller is not None:
            reply = await self._poller.answer(request)
        return _count("Freshness", request, reply)

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns what this daemon runs and measures."""
        del context
        active_version = self._distribution.active_version
        reply = control_pb2.StatusReply(
            closed=bool(active_version.closed_reason),
            closed_reason=active_version.closed_reason,
            classes=self._get_classes(),
            in_flight=self._get_in_flight(),
            store_reachable=self._distribution.store_reachable,
        )
        reply.self.CopyFrom(self._membership.table.local_member)
        if active_version.active_snapshot is not None:
            reply.running.version = active_version.active_snapshot.version
            reply.running.digest = active_version.active_snapshot.digest
        if self._poller is not None:
            self._poller.describe(reply)
        for describe in self._describe:
            describe(reply)
        if request.members:
            reply.members.extend(self._membership.table.list_members())
        return reply


def _count_received(kind: str, request: Any) -> None:
    accounting.count_received(kind, request, accounting.CALL_OVERHEAD_BYTES)


def _count(kind: str, request: Any, reply: Any) -> Any:
    """Counts the bytes of a request and its reply; returns the reply."""
    _count_received(kind, request)
    accounting.count_sent(kind, reply, accounting.CALL_OVERHEAD_BYTES)
    return reply
