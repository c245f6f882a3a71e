"""Builders and fakes for tests of the operators' program."""

from __future__ import annotations

import asyncio
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
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc
from merlintrestle.store import records
from tests.store import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from merlintrestle.documents import snapshot as snapshots

FLEETS = pathlib.Path(__file__).parents[2] / "fleets"
OTHER_OPERATOR = "bram"
START_MS = 1_800_000_000_000  # Since 1970.
# Control port of the first daemon of a fake fleet.
_FIRST_PORT = 1001


def build_change_id_source() -> Callable[[int], str]:
    """Returns a function that returns change ids with a serial number."""
    numbers = itertools.count(1)
    return lambda version: f"{version:012d}-{next(numbers):04d}"


def build_clock() -> Callable[[], int]:
    """Returns a clock that advances by one second with each reading."""
    times = itertools.count(START_MS, 1000)
    return lambda: next(times)


def build_proposal(path: pathlib.Path, operator: str) -> changes.Proposal:
    """Returns the proposal to apply a target document from a file."""
    document = reader.read_document(path.read_bytes(), path.name)
    return changes.Proposal(operator, document.organisation, document)


class CommandRunner:
    """Runs commands in this process against a fake store.

    Attributes:
        store: The fake store.
        dependencies: Dependencies of the commands, replaced by fakes.
    """

    def __init__(self, store: fakes.FakeStore | None = None):
        self.store = store or fakes.FakeStore()
        self.dependencies = session.Dependencies(
            open_store=lambda address, timeout_s: self.store,
            make_id=build_change_id_source(),
            read_clock_ms=build_clock(),
            retry_delay_s=0,
        )

    def use_fleet(self, fake_fleet: FakeFleet) -> None:
        """Replaces the daemons that commands ask by those of a fake fleet."""
        self.dependencies = self.dependencies._replace(
            ask_status=fake_fleet.ask_status,
            push_version=fake_fleet.push_version,
        )

    def activate_accepted_version(self, fake_fleet: FakeFleet) -> None:
        """Has each daemon of a fake fleet run the accepted version."""
        head = records.parse_head(self.store.entries[records.HEAD_KEY])
        fake_fleet.set_version(head.version, head.snapshot_digest)

    async def propose(self, proposal: changes.Proposal) -> None:
        """Proposes a change, usually during another operator's command."""
        proposer = changes.Proposer(
            self.store,
            self.dependencies.make_id,
            self.dependencies.read_clock_ms,
            0,
        )
        await proposer.propose(proposal)

    def run(self, *arguments: str, operator: str = "anna") -> testing.Result:
        """Runs a command and returns click's result."""
        return testing.CliRunner().invoke(
            command.main,
            arguments,
            obj=self.dependencies,
            env={
                "MERLINTRESTLE_STORE": "127.0.0.1:1",
                "MERLINTRESTLE_OPERATOR": operator,
            },
        )


class Race(fakes.Interruption):
    """Has another operator run commands during a command of a runner.

    Attributes:
        exit_codes: Exit codes of the other operator's commands.
    """

    def __init__(
        self,
        runner: CommandRunner,
        position: int | None,
        commands: Sequence[Sequence[str]],
    ):
        """Waits for the calls of the next command.

        Args:
            runner: Runs the commands of both operators.
            position: Number of calls of the first command after which the
                others run; None for never.
            commands: Arguments of the other operator's commands.
        """
        super().__init__(runner.store, position, self._run_commands)
        self.exit_codes: list[int] = []
        self._runner = runner
        self._commands = commands

    async def _run_commands(self) -> None:
        for command_arguments in self._commands:
            # A command has an event loop of its own, so it needs a thread.
            result = await asyncio.to_thread(
                self._runner.run, *command_arguments, operator=OTHER_OPERATOR
            )
            self.exit_codes.append(result.exit_code)


def write_rollout_state(
    store: fakes.FakeStore, state: control_pb2.RolloutState
) -> None:
    """Writes the state of the only order in a store, as daemons do."""

    async def write() -> None:
        storage = storages.RolloutStorage(store, storages.DefaultFormat())
        (order,) = await storage.read_orders()
        await storage.write_state(order, state)

    asyncio.run(write())


class FakeFleet:
    """Fake daemons that answer status requests in memory.

    Attributes:
        replies: Status of each daemon; their ports start at 1001.
        unreachable: Control addresses that do not answer.
        request_count: Number of requests so far.
        update_after_requests: Number of further requests until `update` is
            called, which is done before the last of them is answered; 0 for
            never.
        update: Called with this fleet to change the version of its daemons.
        on_next_request: Awaited once, at the next request.
    """

    def __init__(self, count: int):
        self.replies = [_build_reply(_FIRST_PORT + i) for i in range(count)]
        self.unreachable: set[str] = set()
        self.request_count = 0
        self.update_after_requests = 0
        self.update: Callable[[FakeFleet], None] | None = None
        self.on_next_request: Callable[[], Awaitable[None]] | None = None

    def set_version(self, version: int, digest: bytes) -> None:
        """Sets the version on each daemon."""
        for reply in self.replies:
            reply.running.version = version
            reply.running.digest = digest

    def add_calls(
        self,
        index: int,
        name: str,
        calls: int,
        answered: int,
        within_latency: int,
    ) -> None:
        """Adds counted calls of a class of the service balie to a daemon.

        Args:
            index: Index of the daemon.
            name: Name of the class.
            calls: Number of calls.
            answered: Number of calls that were answered; the others failed.
            within_latency: Number of calls answered within the target latency.
        """
        self.replies[index].classes.add(
            organisation="zaanoever",
            service="balie",
            name=name,
            window_s=10,
            calls=calls,
            answered=answered,
            within_latency=within_latency,
            failed=calls - answered,
        )

    async def push_version(
        self, address: str, timeout_s: float, snapshot: snapshots.Snapshot
    ) -> None:
        """Accepts a version and ignores it."""

    async def ask_status(
        self, address: str, include_members: bool, timeout_s: float
    ) -> control_pb2.StatusReply:
        """Returns the status of a daemon, as `fleet.ask_daemon` does."""
        self.request_count += 1
        await self._run_callbacks()
        if address in self.unreachable:
            raise fleet.DaemonUnavailableError("fake: no answer")
        reply = control_pb2.StatusReply()
        reply.CopyFrom(
            self.replies[int(address.rpartition(":")[2]) - _FIRST_PORT]
        )
        if include_members:
            reply.members.extend(status.self for status in self.replies)
        return reply

    async def _run_callbacks(self) -> None:
        if self.on_next_request is not None:
            callback, self.on_next_request = self.on_next_request, None
            await callback()
        if self.update_after_requests:
            self.update_after_requests -= 1
            if not self.update_after_requests and self.update is not None:
                self.update(self)


class _Control(control_pb2_grpc.ControlServicer):
    """Control service that answers each status request with the same reply."""

    def __init__(self, reply: control_pb2.StatusReply):
        self.reply = reply

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self.reply


@contextlib.asynccontextmanager
async def serve_status(version: int) -> AsyncIterator[str]:
    """Serves the status of a daemon by gRPC and yields its control address."""
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
