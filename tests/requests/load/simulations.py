"""Simulations of callers and one backend server, in simulated time."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend as backends
from merlintrestle.requests.load import admission
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes
from tools import model

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import outcomes


# Standard deviation of the logarithm of the work time. About one call in twenty
# takes more than twice the mean.
_WORK_TIME_SIGMA = 0.5

# Timeout of the calls that are not made by `Callers`, in seconds.
_CALL_TIMEOUT_S = 2.5


class Callers(NamedTuple):
    """Callers of one class of work.

    Attributes:
        plan: The class of work.
        rate: Calls per second, of all callers together.
        work_s: Mean time that the backend server needs for a call, in seconds.
        patience_s: How long a caller waits from its first attempt on, in
            seconds.
        retries: Maximum number of retries of a caller after refusals.
        workspace: Name of their workspace; empty if there is none.
    """

    plan: snapshot.ClassPlan
    rate: float
    work_s: float
    patience_s: float
    retries: int
    workspace: str = ""


class Simulation:
    """One backend server and its callers.

    Attributes:
        counts: Number of calls by workspace, or class if there is none, and
            result: "in time", "late" or "refused".
        started_at: Times at which calls were sent to the backend server, in
            seconds.
        retry_delays_s: Retry delays of the refusals, in seconds.
    """

    def __init__(
        self, slots: int, seed: int = 1, rate_limit: float | None = None
    ):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.started_at: list[float] = []
        self.retry_delays_s: list[float] = []
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._backend = backend = backends.LocalBackend()
        self.set_slots(slots)
        self._admission = admission.Admission(
            backend,
            fakes.FakeActiveVersion(builders.build_snapshot({})),
            fakes.FakeMemberTable(),
            self._loop.time,
        )
        self._admission.set_rate_limit(rate_limit)

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots of the backend server."""
        self._backend.announce("kassa", "127.0.0.1:1", slots, control_pb2.READY)

    def set_rate_limit(self, rate_limit: float | None) -> None:
        """Sets the rate limit of the backend server; None: no limit."""
        self._admission.set_rate_limit(rate_limit)

    async def run(self, duration_s: float, *callers: Callers) -> None:
        """Simulates callers for `duration_s` seconds."""
        async with asyncio.TaskGroup() as group:
            for class_callers in callers:
                group.create_task(
                    self._make_calls(class_callers, duration_s, group)
                )

    def get_ratio(self, name: str, result: str) -> float:
        """Returns the fraction of calls with a result.

        Args:
            name: Workspace of the calls; their class if there is none.
            result: The result, as in `counts`.
        """
        all_calls = sum(
            count for key, count in self.counts.items() if key[0] == name
        )
        return self.counts[name, result] / all_calls

    async def occupy(
        self, plan: snapshot.ClassPlan, latency_budget_s: float
    ) -> calls.Call:
        """Acquires a slot, and asserts that the call is not refused.

        Args:
            plan: Class of the call.
            latency_budget_s: Seconds until the latency deadline of the call.
        """
        call = self._build_call(plan, latency_budget_s)
        assert await self._admission.acquire(call) is None
        return call

    async def request_slot(
        self, plan: snapshot.ClassPlan, latency_budget_s: float
    ) -> outcomes.NotRun | None:
        """Requests a slot, and waits for it if the call may wait.

        Args:
            plan: Class of the call.
            latency_budget_s: Seconds until the latency deadline of the call.

        Returns:
            The refusal; None if the call got a slot.
        """
        return await self._admission.acquire(
            self._build_call(plan, latency_budget_s)
        )

    async def wait_for_slot(
        self,
        plan: snapshot.ClassPlan,
        latency_budget_s: float,
        granted: list[float],
    ) -> None:
        """Waits for a slot, and releases it at once.

        Args:
            plan: Class of the call.
            latency_budget_s: Seconds until the latency deadline of the call.
            granted: List to which `latency_budget_s` is appended when the call
                gets its slot.
        """
        call = await self.occupy(plan, latency_budget_s)
        granted.append(latency_budget_s)
        self.release(call)

    def release(self, call: calls.Call) -> None:
        """Releases the slot of a call."""
        self._admission.release(call)

    def _build_call(
        self, plan: snapshot.ClassPlan, latency_budget_s: float
    ) -> calls.Call:
        now = self._loop.time()
        return builders.build_call(
            plan=plan,
            deadline=now + _CALL_TIMEOUT_S,
            latency_deadline=now + latency_budget_s,
        )

    async def _make_calls(
        self, callers: Callers, duration_s: float, group: asyncio.TaskGroup
    ) -> None:
        end = self._loop.time() + duration_s
        while self._loop.time() < end:
            await asyncio.sleep(self._rng.expovariate(callers.rate))
            group.create_task(self._make_call(callers))

    async def _make_call(self, callers: Callers) -> None:
        began_at = self._loop.time()
        result = "refused"
        for _ in range(callers.retries + 1):
            retry_after_s = await self._attempt(callers, began_at)
            if retry_after_s is None:
                latency_s = self._loop.time() - began_at
                in_time = latency_s <= callers.plan.latency_s
                result = "in time" if in_time else "late"
                break
            remaining_s = began_at + callers.patience_s - self._loop.time()
            await asyncio.sleep(min(retry_after_s, remaining_s / 3))
        self.counts[callers.workspace or callers.plan.name, result] += 1

    async def _attempt(self, callers: Callers, began_at: float) -> float | None:
        """Makes one attempt.

        Returns:
            Retry delay in seconds; None if the call was answered.
        """
        call = builders.build_call(
            plan=callers.plan,
            deadline=began_at + callers.patience_s,
            latency_deadline=began_at + callers.plan.latency_s,
            workspace=callers.workspace,
        )
        refusal = await self._admission.acquire(call)
        if refusal is not None:
            retry_after_s = refusal.retry_after_s or 1.0
            self.retry_delays_s.append(retry_after_s)
            return retry_after_s
        self.started_at.append(self._loop.time())
        factor = self._rng.lognormvariate(
            -(_WORK_TIME_SIGMA**2) / 2, _WORK_TIME_SIGMA
        )
        await asyncio.sleep(callers.work_s * factor)
        self._admission.release(call)
        return None


def simulate(
    slots: int,
    duration_s: float,
    *callers: Callers,
    seed: int = 1,
    rate_limit: float | None = None,
) -> Simulation:
    """Simulates callers of one backend server for `duration_s` seconds.

    Args:
        slots: Number of slots of the backend server.
        duration_s: How long callers begin new calls, in seconds.
        *callers: The callers of each class.
        seed: Seed of the random numbers.
        rate_limit: Calls per second that the backend server accepts; None: no
            limit.
    """

    async def run() -> Simulation:
        simulation = Simulation(slots, seed, rate_limit)
        await simulation.run(duration_s, *callers)
        return simulation

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())
