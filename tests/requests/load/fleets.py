"""Simulations of a fleet with load balancing, retries and admission control.

The daemons that callers call are real `dispatch.Dispatcher` objects, and those
of the upstreams use the real `admission.Admission`. Time is simulated. Messages
between daemons take no time unless a round-trip time is given.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
from typing import Any, NamedTuple, TYPE_CHECKING

import multidict

from merlintrestle.requests import backend as backends
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import picking
from merlintrestle.requests.load import repeats
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.transport import exchange_outcomes
from merlintrestle.requests.transport import headers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes
from tools import model

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from tests.requests.load import simulations


class Server(NamedTuple):
    """A simulated backend server.

    Attributes:
        work_s: Mean time that it needs for a call, in seconds.
        broken_fraction: Fraction of its calls that it ends by closing the
            connection without an answer.
    """

    work_s: float
    broken_fraction: float = 0.0


class _UpstreamDaemon:
    """The daemon of an upstream, with a simulated backend server.

    Attributes:
        calls: Number of calls that the backend server ran.
        offered: Ids of the requests that the backend server received.
        admission: Admission control of the backend server.
    """

    def __init__(
        self, server: Server, slots: int, table: fakes.FakeMemberTable, rng: Any
    ):
        self._server = server
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.calls = 0
        self.offered: set[str] = set()
        backend = backends.LocalBackend()
        backend.announce("kassa", "127.0.0.1:1", slots, control_pb2.READY)
        self.admission = admission.Admission(
            backend,
            fakes.FakeActiveVersion(builders.build_snapshot({})),
            table,
            self._loop.time,
        )

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and runs it, or refuses it."""
        arrived_at = self._loop.time()
        refusal = await self.admission.acquire(call)
        if refusal is not None:
            return refusal
        self.calls += 1
        self.offered.add(call.request_id)
        # A mean of 1, and the same standard deviation of the logarithm as in
        # `simulations`.
        factor = self._rng.lognormvariate(-0.125, 0.5)
        try:
            await asyncio.sleep(self._server.work_s * factor)
        finally:
            self.admission.release(call)
        if self._rng.random() < self._server.broken_fraction:
            return outcomes.Unknown("the connection broke", broken=True)
        load = self.admission.get_load()._replace(
            server_time_s=self._loop.time() - arrived_at
        )
        answer: Any = _Answer(loads.encode_load(load))
        return outcomes.Answered(answer, b"", [])


class _Answer:
    """The head of a successful answer."""

    def __init__(self, load: str):
        self.status = 200
        self.headers = multidict.CIMultiDict({headers.LOAD: load})


class _Network:
    """Sends calls to the daemons of the upstreams."""

    def __init__(
        self, daemons: dict[str, _UpstreamDaemon], round_trip_s: float
    ):
        self._daemons = daemons
        self._round_trip_s = round_trip_s

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent: multidict.CIMultiDict[str],
        *args: Any,
    ) -> outcomes.Outcome:
        """Sends a call to a daemon and returns its outcome."""
        del target, args
        received = dataclasses.replace(call)
        call_metadata = metadata.decode_metadata(sent[headers.METADATA])
        assert call_metadata is not None
        received.wait = call_metadata.wait
        try:
            async with asyncio.timeout_at(call.deadline):
                await asyncio.sleep(self._round_trip_s / 2)
                assert call_metadata.timeout_ms is not None
                now = asyncio.get_running_loop().time()
                received.deadline = now + call_metadata.timeout_ms / 1000
                received.return_trip_s = call_metadata.return_trip_ms / 1000
                outcome = await self._daemons[address].run(received)
                await asyncio.sleep(self._round_trip_s / 2)
        except TimeoutError:
            return exchange_outcomes.DEADLINE_EXCEEDED
        if not isinstance(outcome, outcomes.NotRun):
            return outcome
        answer = outcomes.render(outcome)
        load = self._daemons[address].admission.get_load()
        server_time_s = (
            asyncio.get_running_loop().time() - now - self._round_trip_s / 2
        )
        response: Any = _Answer(
            loads.encode_load(load._replace(server_time_s=server_time_s))
        )
        response.status = answer.status
        response.headers.update(answer.headers)
        body: Any = answer.body
        return outcomes.Answered(response, body, [])


class _NoLocalRunner:
    """The local runner of a daemon without a backend server."""

    def __init__(self) -> None:
        self.repeats = repeats.Repeats()


class FleetSimulation:
    """Daemons without a local backend server, and their upstreams.

    Attributes:
        counts: Number of calls by result: "in time", "late", "refused",
            "failed", or "not offered" if they failed although no backend server
            received them.
    """

    def __init__(
        self,
        servers: list[Server],
        daemons: int,
        slots: int,
        round_trip_s: float = 0.0,
    ):
        self._round_trip_s = round_trip_s
        self._call_numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(1)
        self._loop = asyncio.get_running_loop()
        table = fakes.FakeMemberTable()
        upstreams = [
            builders.build_upstream(number, slots=slots)
            for number in range(len(servers))
        ]
        table.upstreams["kassa"] = tuple(upstreams)
        self._upstream_daemons = {
            f"{upstream.address}:{upstream.peer_port}": _UpstreamDaemon(
                server, slots, table, self._rng
            )
            for upstream, server in zip(upstreams, servers, strict=True)
        }
        self._daemons = [self._build_daemon(table) for _ in range(daemons)]

    def get_ratio(self, result: str) -> float:
        """Returns the fraction of all calls that had a result."""
        return self.counts[result] / self.counts.total()

    def count_calls_per_server(self) -> list[int]:
        """Returns how many calls each backend server ran."""
        return [daemon.calls for daemon in self._upstream_daemons.values()]

    async def run(
        self, callers: simulations.Callers, duration_s: float
    ) -> None:
        """Simulates callers for `duration_s` seconds."""
        end = self._loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < end:
                await asyncio.sleep(self._rng.expovariate(callers.rate))
                group.create_task(self._make_call(callers))

    def _build_daemon(
        self, table: fakes.FakeMemberTable
    ) -> dispatch.Dispatcher:
        network: Any = _Network(self._upstream_daemons, self._round_trip_s)
        runner: Any = _NoLocalRunner()
        # Budgets of a fleet of 11 daemons, also if another number is simulated.
        retry_budgets = budgets.Budgets(lambda: 11, self._loop.time)
        retry_budgets.set_bounds(0.2, 58.0, 10.0)
        return dispatch.Dispatcher(
            lambda: "",
            table,
            picking.Picker(
                "noord",
                lambda: "",
                lambda: False,
                self._loop.time,
                self._rng,
            ),
            runner,
            network,
            self._loop.time,
            retry_budgets,
            subsets.SubsetSelector(tracker.RolloutTracker(table.get_upstreams)),
        )

    async def _make_call(self, callers: simulations.Callers) -> None:
        began_at = self._loop.time()
        daemon = self._rng.choice(self._daemons)
        for _ in range(callers.retries + 1):
            call = self._build_call(callers, began_at)
            outcome = await daemon.run(call)
            if not isinstance(outcome, outcomes.NotRun):
                break
            remaining_s = began_at + callers.patience_s - self._loop.time()
            wait_s = min(outcome.retry_after_s or 1.0, remaining_s / 3)
            await asyncio.sleep(wait_s)
        self.counts[self._get_result(call, outcome, callers, began_at)] += 1

    def _build_call(
        self, callers: simulations.Callers, began_at: float
    ) -> calls.Call:
        latest_deadline = self._loop.time() + callers.plan.deadline_s
        call = builders.build_call(
            plan=callers.plan,
            deadline=min(began_at + callers.patience_s, latest_deadline),
            latency_deadline=began_at + callers.plan.latency_s,
        )
        call.request_id = str(next(self._call_numbers))
        return call

    def _was_offered(self, call: calls.Call) -> bool:
        """Returns whether any backend server received a call."""
        return any(
            call.request_id in daemon.offered
            for daemon in self._upstream_daemons.values()
        )

    def _get_result(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        callers: simulations.Callers,
        began_at: float,
    ) -> str:
        if isinstance(outcome, outcomes.NotRun):
            return "refused"
        if not isinstance(outcome, outcomes.Answered):
            return "failed" if self._was_offered(call) else "not offered"
        outcome.release()
        latency_s = self._loop.time() - began_at
        return "in time" if latency_s <= callers.plan.latency_s else "late"


def simulate(
    servers: list[Server],
    callers: simulations.Callers,
    duration_s: float,
    daemons: int = 11,
    slots: int = 12,
    round_trip_s: float = 0.0,
) -> FleetSimulation:
    """Simulates the calls of callers to a fleet.

    Args:
        servers: The backend servers.
        callers: The callers. Their `work_s` is not used, as each backend server
            has its own.
        duration_s: How long callers begin new calls, in seconds.
        daemons: Number of daemons that callers call. Each daemon only knows its
            own calls.
        slots: Number of slots of each backend server.
        round_trip_s: Round-trip time between two daemons, in seconds.
    """

    async def run() -> FleetSimulation:
        simulation = FleetSimulation(servers, daemons, slots, round_trip_s)
        await simulation.run(callers, duration_s)
        return simulation

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())
