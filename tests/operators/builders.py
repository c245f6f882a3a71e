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


class Desk:
    """Runs commands of one operator against a fake store.

    Attributes:
        store: The fake store.
        sources: What the commands use in place of the real ones.
    """

    def __init__(self, store: fakes.FakeStore | None = None):
        self.store = store or fakes.FakeStore()
        self.sources = session.Sources(
            open_store=lambda address, timeout_s: self.store,
            make_id=build_make_id(),
            read_ms=build_clock(),
            pause_s=0,
        )

    def use_fleet(self, replies: FakeFleet) -> None:
        """Lets the commands ask a fake fleet."""
        self.sources = self.sources._replace(
            ask=replies.ask, hand_over=replies.hand_over
        )

    def run_accepted(self, replies: FakeFleet) -> None:
        """Lets every daemon of a fake fleet run the accepted version."""
        head = records.parse_head(self.store.entries[records.HEAD_KEY])
        replies.run_version(head.version, head.snapshot_digest)

    async def propose_now(self, proposal: changes.Proposal) -> None:
        """Proposes a change while the command of another operator runs."""
        proposer = changes.Proposer(
            self.store, self.sources.make_id, self.sources.read_ms, 0
        )
        await proposer.propose(proposal)

    def run(self, *arguments: str, operator: str = "anna") -> testing.Result:
        """Runs one command and returns click's result."""
        return testing.CliRunner().invoke(
            command.main,
            arguments,
            obj=self.sources,
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
        asks: Requests so far.
        follow_after_asks: `follow` is called after so many requests.
        follow: Lets the daemons run what is accepted.
        on_ask: Awaited once, at the next request.
    """

    def __init__(self, count: int):
        self.replies = [_build_reply(1001 + i) for i in range(count)]
        self.unreachable: set[str] = set()
        self.asks = 0
        self.follow_after_asks = 0
        self.follow: Callable[[FakeFleet], None] | None = None
        self.on_ask: Callable[[], Awaitable[None]] | None = None

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

    async def hand_over(
        self, address: str, timeout_s: float, snapshot: snapshots.Snapshot
    ) -> None:
        """Takes an accepted version and leaves it at that."""

    async def ask(
        self, address: str, members: bool, timeout_s: float
    ) -> control_pb2.StatusReply:
        """Answers as `fleet.ask_daemon` does."""
        self.asks += 1
        await self._act()
        if address in self.unreachable:
            raise fleet.DaemonUnavailableError("fake: no answer")
        reply = control_pb2.StatusReply()
        reply.CopyFrom(self.replies[int(address.rpartition(":")[2]) - 1001])
        if members:
            reply.members.extend(one.self for one in self.replies)
        return reply

    async def _act(self) -> None:
        if self.on_ask is not None:
            act, self.on_ask = self.on_ask, None
            await act()
        if self.follow_after_asks:
            self.follow_after_asks -= 1
            if not self.follow_after_asks and self.follow is not None:
                self.follow(self)


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
