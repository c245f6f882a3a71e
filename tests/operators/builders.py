"""Builders for tests of the operators' program."""

from __future__ import annotations

import contextlib
import itertools
import pathlib
from typing import Any, TYPE_CHECKING

from click import testing
import grpc.aio

from merlintrestle.documents import reader
from merlintrestle.operators import changes
from merlintrestle.operators import command
from merlintrestle.operators import fleet
from merlintrestle.operators import session
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc
from merlintrestle.store import records
from tests.store import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from merlintrestle.documents import snapshot as snapshots

FLEETS = pathlib.Path(__file__).parents[2] / "fleets"
START_MS = 1_800_000_000_000


def build_make_id() -> Callable[[int], str]:
    """Returns a source of change ids that counts."""
    numbers = itertools.count(1)
    return lambda version: f"{version:012d}-{next(numbers):04d}"


def build_clock() -> Callable[[], int]:
    """Returns a clock that goes on by a second with each reading."""
    times = itertools.count(START_MS, 1000)
    return lambda: next(times)


def build_proposal(path: pathlib.Path, operator: str) -> changes.Proposal:
    """Returns the proposal to apply a file."""
    document = reader.read_document(path.read_bytes(), path.name)
    return changes.Proposal(operator, document.organisation, document)


class CommandRunner:
    """Runs commands of one operator against a fake store.

    Attributes:
        store: The fake store.
        dependencies: What the commands use in place of the real ones.
    """

    def __init__(self, store: fakes.FakeStore | None = None):
        self.store = store or fakes.FakeStore()
        self.dependencies = session.Dependencies(
            open_store=lambda address, timeout_s: self.store,
            make_id=build_make_id(),
            read_clock_ms=build_clock(),
            retry_delay_s=0,
        )

    def use_fleet(self, replies: FakeFleet) -> None:
        """Lets the commands ask a fake fleet."""
        self.dependencies = self.dependencies._replace(
            ask_status=replies.ask_status, push_version=replies.push_version
        )

    def run_accepted_version(self, replies: FakeFleet) -> None:
        """Lets every daemon of a fake fleet run the accepted version."""
        head = records.parse_head(self.store.entries[records.HEAD_KEY])
        replies.run_version(head.version, head.snapshot_digest)

    async def propose_now(self, proposal: changes.Proposal) -> None:
        """Proposes a change while the command of another operator runs."""
        proposer = changes.Proposer(
            self.store,
            self.dependencies.make_id,
            self.dependencies.read_clock_ms,
            0,
        )
        await proposer.propose(proposal)

    def run(self, *arguments: str, operator: str = "anna") -> testing.Result:
        """Runs one command and returns click's result."""
        return testing.CliRunner().invoke(
            command.main,
            arguments,
            obj=self.dependencies,
            env={
                "MERLINTRESTLE_STORE": "127.0.0.1:1",
                "MERLINTRESTLE_OPERATOR": operator,
            },
        )


class FakeFleet:
    """Daemons that answer status requests in memory.

    Attributes:
        replies: Status of each daemon; ports count from 1001.
        unreachable: Addresses that do not answer.
        request_count: Requests so far.
        update_after_requests: `update` is called after so many requests.
        update: Lets the daemons run what is accepted.
        on_next_request: Awaited once, at the next request.
    """

    def __init__(self, count: int):
        self.replies = [_build_reply(1001 + i) for i in range(count)]
        self.unreachable: set[str] = set()
        self.request_count = 0
        self.update_after_requests = 0
        self.update: Callable[[FakeFleet], None] | None = None
        self.on_next_request: Callable[[], Awaitable[None]] | None = None

    def run_version(self, version: int, digest: bytes) -> None:
        """Lets every daemon run a version."""
        for reply in self.replies:
            reply.running.version = version
            reply.running.digest = digest

    def count_calls(
        self, index: int, name: str, calls: int, answered: int, within: int
    ) -> None:
        """Adds calls of a class of balie to one daemon."""
        self.replies[index].classes.add(
            organisation="zaanoever",
            service="balie",
            name=name,
            window_s=10,
            calls=calls,
            answered=answered,
            within_latency=within,
            failed=calls - answered,
        )

    async def push_version(
        self, address: str, timeout_s: float, snapshot: snapshots.Snapshot
    ) -> None:
        """Takes an accepted version and leaves it at that."""

    async def ask_status(
        self, address: str, members: bool, timeout_s: float
    ) -> control_pb2.StatusReply:
        """Answers as `fleet.ask_daemon` does."""
        self.request_count += 1
        await self._act()
        if address in self.unreachable:
            raise fleet.DaemonUnavailableError("fake: no answer")
        reply = control_pb2.StatusReply()
        reply.CopyFrom(self.replies[int(address.rpartition(":")[2]) - 1001])
        if members:
            reply.members.extend(one.self for one in self.replies)
        return reply

    async def _act(self) -> None:
        if self.on_next_request is not None:
            act, self.on_next_request = self.on_next_request, None
            await act()
        if self.update_after_requests:
            self.update_after_requests -= 1
            if not self.update_after_requests and self.update is not None:
                self.update(self)


class _Control(control_pb2_grpc.ControlServicer):
    def __init__(self, reply: control_pb2.StatusReply):
        self.reply = reply

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self.reply


@contextlib.asynccontextmanager
async def serve_status(version: int) -> AsyncIterator[str]:
    """Serves the status of one daemon over gRPC and gives its address."""
    server = grpc.aio.server()
    port = server.add_insecure_port("127.0.0.1:0")
    reply = _build_reply(port)
    reply.running.version = version
    control_pb2_grpc.add_ControlServicer_to_server(_Control(reply), server)
    await server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.stop(None)


def _build_reply(port: int) -> control_pb2.StatusReply:
    member = control_pb2.Member(
        id=f"127.0.0.1:{port}",
        address="127.0.0.1",
        control_port=port,
        zone="kantoor-dijk",
        state=control_pb2.ALIVE,
        backend=control_pb2.Backend(service="balie"),
    )
    return control_pb2.StatusReply(self=member)
