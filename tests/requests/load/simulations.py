"""Plays of load: callers and one backend server in simulated time."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend
from merlintrestle.requests.load import admission
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes
from tools import model

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import outcomes


# Spread of the time that a call needs: the logarithm's standard deviation, so
# that one in twenty takes more than twice the mean.
_SPREAD = 0.5

# How long callers of single calls wait, in seconds.
_LIMIT_S = 2.5


class Callers(NamedTuple):
    """Callers of one class of work.

    Attributes:
        plan: The class.
        rate: Calls that they make a second.
        work_s: Mean time that the backend server needs for one, in seconds.
        patience_s: How long they wait from the first attempt on, in seconds.
        retries: How often they come back after a refusal.
    """

    plan: snapshot.ClassPlan
    rate: float
    work_s: float
    patience_s: float
    retries: int


class Simulation:
    """One backend server and its callers.

    Attributes:
        counts: Calls by class and by what became of them: "in time", "late"
            or "refused".
    """

    def __init__(self, slots: int, seed: int = 1):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._chance = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        own = backend.LocalBackend()
        own.announce("kassa", "127.0.0.1:1", slots, control_pb2.READY)
        self._admission = admission.Admission(
            own,
            fakes.Holder(builders.build_snapshot({})),
            fakes.Table(),
            self._loop.time,
        )

    async def run(self, length_s: float, *callers: Callers) -> None:
        """Plays the load of some callers for a time."""
        async with asyncio.TaskGroup() as group:
            for one in callers:
                group.create_task(self._make_calls(one, length_s, group))

    def get_ratio(self, name: str, result: str) -> float:
        """Returns the part of the calls of a class with one result."""
        all_calls = sum(
            count for key, count in self.counts.items() if key[0] == name
        )
        return self.counts[name, result] / all_calls

    async def occupy(
        self, plan: snapshot.ClassPlan, due_s: float
    ) -> calls.Call:
        """Has a call take a slot, which must be free."""
        call = self._build_call(plan, due_s)
        assert await self._admission.acquire(call) is None
        return call

    async def request_slot(
        self, plan: snapshot.ClassPlan, due_s: float
    ) -> outcomes.NotRun | None:
        """Has a call ask for a slot; its target is over in `due_s`."""
        return await self._admission.acquire(self._build_call(plan, due_s))

    async def wait_for_slot(
        self, plan: snapshot.ClassPlan, due_s: float, turns: list[float]
    ) -> None:
        """Has a call take a slot, adds `due_s` to the turns, gives it back."""
        call = await self.occupy(plan, due_s)
        turns.append(due_s)
        self.release(call)

    def release(self, call: calls.Call) -> None:
        """Gives a slot back."""
        self._admission.release(call)

    def _build_call(self, plan: snapshot.ClassPlan, due_s: float) -> calls.Call:
        now = self._loop.time()
        return builders.build_call(
            plan=plan, deadline=now + _LIMIT_S, due=now + due_s
        )

    async def _make_calls(
        self, callers: Callers, length_s: float, group: asyncio.TaskGroup
    ) -> None:
        until = self._loop.time() + length_s
        while self._loop.time() < until:
            await asyncio.sleep(self._chance.expovariate(callers.rate))
            group.create_task(self._make_call(callers))

    async def _make_call(self, callers: Callers) -> None:
        began = self._loop.time()
        result = "refused"
        for _ in range(callers.retries + 1):
            refused_for_s = await self._try(callers, began)
            if refused_for_s is None:
                took_s = self._loop.time() - began
                in_time = took_s <= callers.plan.latency_s
                result = "in time" if in_time else "late"
                break
            left_s = began + callers.patience_s - self._loop.time()
            await asyncio.sleep(min(refused_for_s, left_s / 3))
        self.counts[callers.plan.name, result] += 1

    async def _try(self, callers: Callers, began: float) -> float | None:
        """Makes one attempt; returns when to come back if it is refused."""
        call = builders.build_call(
            plan=callers.plan,
            deadline=began + callers.patience_s,
            due=began + callers.plan.latency_s,
        )
        refusal = await self._admission.acquire(call)
        if refusal is not None:
            return refusal.retry_after_s or 1.0
        spread = self._chance.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
        await asyncio.sleep(callers.work_s * spread)
        self._admission.release(call)
        return None


def simulate(
    slots: int, length_s: float, *callers: Callers, seed: int = 1
) -> Simulation:
    """Plays the load of some callers on one backend server."""

    async def run() -> Simulation:
        played = Simulation(slots, seed)
        await played.run(length_s, *callers)
        return played

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())
