"""Plays of load over a fleet: picking, retries and slots in simulated time.

The daemons are the real `dispatch.Dispatch` with its parts and the real
admission beside each backend server; what lies between them takes no time.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
from typing import Any, NamedTuple, TYPE_CHECKING

import multidict

from merlintrestle.requests import backend
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import picking
from merlintrestle.requests.load import repeats
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import results
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes
from tools import model

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from tests.requests.load import simulations


class Server(NamedTuple):
    """A backend server of the play.

    Attributes:
        work_s: Mean time that it needs for a call, in seconds.
        broken: Part of its calls after which it breaks the connection.
    """

    work_s: float
    broken: float = 0.0


class _Beside:
    """The daemon beside one backend server, as other daemons see it."""

    def __init__(
        self, server: Server, slots: int, table: fakes.Table, chance: Any
    ):
        self._server = server
        self._chance = chance
        self._loop = asyncio.get_running_loop()
        self.calls = 0
        self.offered: set[str] = set()
        own = backend.LocalBackend()
        own.announce("kassa", "127.0.0.1:1", slots, control_pb2.READY)
        self.slots = admission.Admission(
            own,
            fakes.Holder(builders.build_snapshot({})),
            table,
            self._loop.time,
        )

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and runs it, or refuses it."""
        began = self._loop.time()
        refusal = await self.slots.acquire(call)
        if refusal is not None:
            return refusal
        self.calls += 1
        self.offered.add(call.request_id)
        spread = self._chance.lognormvariate(-0.125, 0.5)
        try:
            await asyncio.sleep(self._server.work_s * spread)
        finally:
            self.slots.release(call)
        if self._chance.random() < self._server.broken:
            return outcomes.Unknown("the connection broke", broken=True)
        load = self.slots.get_load()._replace(
            server_time_s=self._loop.time() - began
        )
        answer: Any = _Answer(loads.encode_load(load))
        return outcomes.Answered(answer, b"", [])


class _Answer:
    """The head of a good answer."""

    def __init__(self, load: str):
        self.status = 200
        self.headers = multidict.CIMultiDict({headers.LOAD: load})


class _Wire:
    """Takes calls to the daemons beside the backend servers."""

    def __init__(self, daemons: dict[str, _Beside], way_s: float):
        self._daemons = daemons
        self._way_s = way_s

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent: multidict.CIMultiDict[str],
        *others: Any,
    ) -> outcomes.Outcome:
        """Passes on what a daemon makes of the call that it gets."""
        del target, others
        passed = dataclasses.replace(call)
        asked = metadata.decode_metadata(sent[headers.PASSED])
        assert asked is not None
        passed.wait = asked.wait
        try:
            async with asyncio.timeout_at(call.deadline):
                await asyncio.sleep(self._way_s / 2)
                assert asked.timeout_ms is not None
                now = asyncio.get_running_loop().time()
                passed.deadline = now + asked.timeout_ms / 1000
                passed.return_trip_s = asked.return_trip_ms / 1000
                outcome = await self._daemons[address].run(passed)
                await asyncio.sleep(self._way_s / 2)
        except TimeoutError:
            return results.NOT_IN_TIME
        if not isinstance(outcome, outcomes.NotRun):
            return outcome
        answer = outcomes.render(outcome)
        load = self._daemons[address].slots.get_load()
        spent_s = asyncio.get_running_loop().time() - now - self._way_s / 2
        read: Any = _Answer(
            loads.encode_load(load._replace(server_time_s=spent_s))
        )
        read.status = answer.status
        read.headers.update(answer.headers)
        body: Any = answer.body
        return outcomes.Answered(read, body, [])


class _Nobody:
    """Stands where a daemon has no backend server of its own."""

    def __init__(self) -> None:
        self.repeats = repeats.Repeats()


class FleetSimulation:
    """Daemons without a backend server of their own, and some upstreams.

    Attributes:
        counts: Calls by what became of them: "in time", "late", "refused",
            "failed", or "in doubt" if they failed and none was offered to a
            backend server.
    """

    def __init__(
        self,
        servers: list[Server],
        daemons: int,
        slots: int,
        way_s: float = 0.0,
    ):
        self._way_s = way_s
        self._numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self._chance = random.Random(1)
        self._loop = asyncio.get_running_loop()
        table = fakes.Table()
        upstreams = [
            builders.build_upstream(number, slots=slots)
            for number in range(len(servers))
        ]
        table.upstreams["kassa"] = tuple(upstreams)
        self._besides = {
            f"{upstream.address}:{upstream.peer_port}": _Beside(
                server, slots, table, self._chance
            )
            for upstream, server in zip(upstreams, servers, strict=True)
        }
        self._daemons = [self._build_daemon(table) for _ in range(daemons)]

    def get_ratio(self, result: str) -> float:
        """Returns the part of the calls with one result."""
        return self.counts[result] / self.counts.total()

    def list_calls(self) -> list[int]:
        """Returns how many calls each backend server ran."""
        return [beside.calls for beside in self._besides.values()]

    async def run(self, callers: simulations.Callers, length_s: float) -> None:
        """Plays the load of some callers for a time."""
        until = self._loop.time() + length_s
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < until:
                await asyncio.sleep(self._chance.expovariate(callers.rate))
                group.create_task(self._make_call(callers))

    def _build_daemon(self, table: fakes.Table) -> dispatch.Dispatcher:
        wire: Any = _Wire(self._besides, self._way_s)
        nobody: Any = _Nobody()
        bounds = budgets.Budgets(lambda: 11, self._loop.time)
        bounds.set_bounds(0.2, 58.0, 10.0)
        return dispatch.Dispatcher(
            lambda: "",
            table,
            picking.Picker(
                "noord",
                lambda: "",
                lambda: False,
                self._loop.time,
                self._chance,
            ),
            nobody,
            wire,
            self._loop.time,
            bounds,
            subsets.SubsetSelector(books.RolloutTracker(table.get_upstreams)),
        )

    async def _make_call(self, callers: simulations.Callers) -> None:
        began = self._loop.time()
        daemon = self._chance.choice(self._daemons)
        for _ in range(callers.retries + 1):
            call = self._build_call(callers, began)
            outcome = await daemon.run(call)
            if not isinstance(outcome, outcomes.NotRun):
                break
            left_s = began + callers.patience_s - self._loop.time()
            wait_s = min(outcome.retry_after_s or 1.0, left_s / 3)
            await asyncio.sleep(wait_s)
        self.counts[self._judge(call, outcome, callers, began)] += 1

    def _build_call(
        self, callers: simulations.Callers, began: float
    ) -> calls.Call:
        limit = self._loop.time() + callers.plan.deadline_s
        call = builders.build_call(
            plan=callers.plan,
            deadline=min(began + callers.patience_s, limit),
            due=began + callers.plan.latency_s,
        )
        call.request_id = str(next(self._numbers))
        return call

    def _is_offered(self, call: calls.Call) -> bool:
        return any(
            call.request_id in one.offered for one in self._besides.values()
        )

    def _judge(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        callers: simulations.Callers,
        began: float,
    ) -> str:
        if isinstance(outcome, outcomes.NotRun):
            return "refused"
        if not isinstance(outcome, outcomes.Answered):
            return "failed" if self._is_offered(call) else "in doubt"
        outcome.release()
        took_s = self._loop.time() - began
        return "in time" if took_s <= callers.plan.latency_s else "late"


def simulate(
    servers: list[Server],
    callers: simulations.Callers,
    length_s: float,
    daemons: int = 11,
    slots: int = 12,
    way_s: float = 0.0,
) -> FleetSimulation:
    """Plays the load of some callers over some daemons.

    Args:
        servers: The backend servers.
        callers: The callers.
        length_s: How long they go on to call, in seconds.
        daemons: How many there are; each knows its own calls alone.
        slots: Slots of each backend server.
        way_s: What a hop to another daemon and back takes, in seconds.
    """

    async def run() -> FleetSimulation:
        played = FleetSimulation(servers, daemons, slots, way_s)
        await played.run(callers, length_s)
        return played

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())
