"""Deterministic simulation of concurrent daemons.

Each store request, each recall and the end of each run on a backend server is a
step of a daemon. It waits until the test resumes it, so the test chooses the
order of the steps.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import at_most_once
from merlintrestle.requests.unrepeatable import claims
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import sent_calls
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.schema import request_pb2

# Iterations of the event loop that suffice for each task to end or to reach its
# next step.
_LOOP_ITERATIONS = 30
# Time from the start of a call to its deadline, in seconds.
_DEADLINE_S = 10.0


class Run(NamedTuple):
    """One run of a call on a backend server.

    Attributes:
        key: Idempotency key of the call.
        call_number: Number of the call.
        at: Time of the run, in seconds.
    """

    key: str
    call_number: int
    at: float


class Daemon:
    """A simulated daemon, reduced to its claims and its at-most-once runner.

    Attributes:
        frozen: Whether it is suspended: its steps are not resumed, and it does
            not answer other daemons.
        dead: Whether it has crashed.
        simulation: The simulation to which it belongs.
        number: Number of the daemon.
        pending_steps: Futures for which its steps wait until resumed.
        claims: Its claims.
        runner: Runs each payout at most once.
    """

    def __init__(self, simulation: Simulation, number: int):
        """Initializes a daemon.

        Args:
            simulation: The simulation to which it belongs.
            number: Number of the daemon.
        """
        self.frozen = False
        self.dead = False
        self.simulation = simulation
        self.number = number
        self.pending_steps: list[asyncio.Future[None]] = []
        holder = sent_calls.Holder(f"10.0.0.{number}:1", f"10.0.0.{number}", 1)
        self.claims = claims.Claims(
            lambda: holder,
            _SteppedStore(self),
            leases.ClaimLease(_SteppedStore(self), self._get_time),
            self,
            "claims/",
            self._get_time,
            self._get_time,
        )
        self.runner = at_most_once.AtMostOnceRunner(
            self.claims,
            _AdmitAll(),  # type: ignore[arg-type]
            self._forward,
        )

    async def wait_for_resume(self) -> None:
        """Adds a pending step and waits until the test resumes it."""
        future: asyncio.Future[None] = asyncio.Future()
        self.pending_steps.append(future)
        await future

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Recalls a claim of another daemon, as one step.

        Args:
            claim: The claim.
            claim_key: Key of the claim in the store.
            wait_s: Time that the recall takes on the simulated clock, in
                seconds.

        Returns:
            The reply; None if the daemon is frozen or has crashed.
        """
        await self.wait_for_resume()
        self.simulation.store.now += wait_s
        # The last byte of the IP address is the number of the daemon.
        holder = self.simulation.daemons[int(claim.member_id.split(".")[3][0])]
        if holder.frozen or holder.dead:
            return None
        return await holder.claims.answer_recall(claim.claim_id, 0)

    async def _forward(self, call: calls.Call) -> outcomes.Outcome:
        call_number = int(call.headers["Call-Number"])
        backend_result = self.simulation.take_backend_result()
        if backend_result == "refused":
            return outcomes.NotRun("could not connect", elsewhere=True)
        run = Run(call.key, call_number, self.simulation.store.now)
        self.simulation.runs.append(run)
        await self.wait_for_resume()
        if backend_result == "broken":
            return outcomes.Unknown("the connection broke")
        return outcomes.Ran("stands for an answer that is not kept")

    def _get_time(self) -> float:
        return self.simulation.store.now


class Simulation:
    """Simulation of three daemons, their store, and callers that send payouts.

    Attributes:
        store: The store that the daemons share.
        runs: Runs of calls on the backend servers, in order.
        backend_results: Results of the next requests to backend servers:
            "answered", "refused" or "broken". All later ones are answered.
        results: Idempotency key and outcome of each finished call, by call
            number. Calls to daemons that have crashed get no outcome.
        daemons: The daemons.
    """

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.runs: list[Run] = []
        self.backend_results: list[str] = []
        self.results: dict[int, tuple[str, outcomes.Outcome]] = {}
        self.daemons = [Daemon(self, number) for number in range(3)]
        self._tasks: list[asyncio.Task[None]] = []

    def take_backend_result(self) -> str:
        """Returns the result of the next request to a backend server."""
        return (
            self.backend_results.pop(0) if self.backend_results else "answered"
        )

    def send_payout(self, number: int, key: str) -> None:
        """Sends a payout from a caller to a daemon.

        Args:
            number: Number of the daemon.
            key: Idempotency key of the payout.
        """
        daemon = self.daemons[number]
        call_number = len(self._tasks)
        call = builders.build_call(key, self.store.now + _DEADLINE_S)
        call.headers["Call-Number"] = str(call_number)
        self._tasks.append(
            asyncio.create_task(self._run(daemon, call_number, call))
        )

    def crash(self, number: int) -> None:
        """Replaces a daemon by a new one that has none of its state."""
        self.daemons[number].dead = True
        self.daemons[number] = Daemon(self, number)

    def resume_step(self, number: int, index: int) -> None:
        """Resumes one pending step of a daemon, unless it is frozen.

        Args:
            number: Number of the daemon.
            index: Index of the step, modulo the number of pending steps.
        """
        daemon = self.daemons[number]
        if daemon.pending_steps and not daemon.frozen:
            position = index % len(daemon.pending_steps)
            daemon.pending_steps.pop(position).set_result(None)

    async def run_until_blocked(self) -> None:
        """Runs all tasks until each of them has ended or waits at a step."""
        for _ in range(_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Resumes all daemons until no step is pending, without new faults.

        The rounds are bounded in case a call never ends. Such a call has no
        outcome in `results`.
        """
        self.store.faults.clear()
        self.store.apply_delayed_writes()
        for _ in range(200):
            for daemon in self.daemons:
                daemon.frozen = False
                self.resume_step(daemon.number, 0)
            await self.run_until_blocked()
            if not any(daemon.pending_steps for daemon in self.daemons):
                break

    async def close(self) -> None:
        """Cancels all tasks."""
        tasks: list[asyncio.Task[Any]] = [*self._tasks]
        for daemon in self.daemons:
            tasks.extend(daemon.runner.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, daemon: Daemon, call_number: int, call: calls.Call
    ) -> None:
        outcome = await daemon.runner.run(call)
        if not daemon.dead:
            self.results[call_number] = (call.key, outcome)


class _AdmitAll:
    """A fake `load.admission.Admission` that admits all calls."""

    async def acquire(self, call: calls.Call) -> None:
        return None

    def release(self, call: calls.Call, sent: bool = True) -> None:
        pass


class _SteppedStore:
    """The shared store, with each call of a daemon as one step."""

    def __init__(self, daemon: Daemon):
        self._daemon = daemon
        self.era = daemon.simulation.store.era

    def __getattr__(self, name: str) -> Any:
        async def call(*arguments: Any) -> Any:
            await self._daemon.wait_for_resume()
            method = getattr(self._daemon.simulation.store, name)
            return await method(*arguments)

        return call
