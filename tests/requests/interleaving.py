"""A driver that decides in which order concurrent steps of daemons happen."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import at_most_once
from merlintrestle.requests.unrepeatable import claims
from merlintrestle.requests.unrepeatable import leases
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.schema import request_pb2

# Turns of the event loop in which everything that can go on does so.
_TURNS = 30
_DEADLINE_S = 10.0


class Run(NamedTuple):
    """One run of a request on a backend server.

    Attributes:
        key: Idempotency-Key of the request.
        body: Which sending it was.
        at: Time in seconds.
    """

    key: str
    call_number: int
    at: float


class Daemon:
    """Claims of one daemon, with steps that wait for the driver."""

    def __init__(self, world: World, number: int):
        self.frozen = False
        self.dead = False
        self.world = world
        self.number = number
        self.waiting: list[asyncio.Future[None]] = []
        owner = claims.Owner(f"10.0.0.{number}:1", f"10.0.0.{number}", 1)
        self.claims = claims.Claims(
            lambda: owner,
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

    async def step(self) -> None:
        """Waits until the driver lets this daemon go on."""
        future: asyncio.Future[None] = asyncio.Future()
        self.waiting.append(future)
        await future

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Asks another daemon, as it is when the driver lets it be asked."""
        await self.step()
        self.world.store.now += wait_s
        holder = self.world.daemons[int(claim.member_id.split(".")[3][0])]
        if holder.frozen or holder.dead:
            return None
        return await holder.claims.answer_recall(claim.claim_id, 0)

    async def _forward(self, call: calls.Call) -> outcomes.Outcome:
        sending = int(call.headers["Sending"])
        fate = self.world.take_fate()
        if fate == "refused":
            return outcomes.NotRun("could not connect", elsewhere=True)
        run = Run(call.key, sending, self.world.store.now)
        self.world.runs.append(run)
        await self.step()
        if fate == "broken":
            return outcomes.Unknown("the connection broke")
        return outcomes.Ran("stands for an answer that is not kept")

    def _get_time(self) -> float:
        return self.world.store.now


class World:
    """Three daemons, one store, and callers that send payouts."""

    def __init__(self) -> None:
        self.store = fakes.Store()
        self.runs: list[Run] = []
        self.backend_results: list[str] = []
        self.results: dict[int, tuple[str, outcomes.Outcome]] = {}
        self.daemons = [Daemon(self, number) for number in range(3)]
        self._tasks: list[asyncio.Task[None]] = []

    def take_fate(self) -> str:
        """Returns what becomes of a request at the backend server."""
        return (
            self.backend_results.pop(0) if self.backend_results else "answered"
        )

    def send_payout(self, number: int, key: str) -> None:
        """Has a caller send a payout to a daemon."""
        daemon = self.daemons[number]
        sending = len(self._tasks)
        call = builders.build_call(key, self.store.now + _DEADLINE_S)
        call.headers["Sending"] = str(sending)
        self._tasks.append(
            asyncio.create_task(self._run(daemon, sending, call))
        )

    def crash(self, number: int) -> None:
        """Replaces a daemon by one that knows nothing."""
        self.daemons[number].dead = True
        self.daemons[number] = Daemon(self, number)

    def resume_step(self, number: int, index: int) -> None:
        """Lets one waiting step of a daemon go on."""
        daemon = self.daemons[number]
        if daemon.waiting and not daemon.frozen:
            position = index % len(daemon.waiting)
            daemon.waiting.pop(position).set_result(None)

    async def run_until_blocked(self) -> None:
        """Lets everything go on that does not wait for the driver."""
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Lets all daemons that live come to an end, without more faults."""
        self.store.faults.clear()
        self.store.apply_delayed_writes()
        for _ in range(200):
            for daemon in self.daemons:
                daemon.frozen = False
                self.resume_step(daemon.number, 0)
            await self.run_until_blocked()
            if not any(daemon.waiting for daemon in self.daemons):
                break

    async def close(self) -> None:
        """Ends all tasks."""
        tasks: list[asyncio.Task[Any]] = [*self._tasks]
        for daemon in self.daemons:
            tasks.extend(daemon.runner.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, daemon: Daemon, sending: int, call: calls.Call
    ) -> None:
        outcome = await daemon.runner.run(call)
        if not daemon.dead:
            self.results[sending] = (call.key, outcome)


class _AdmitAll:
    async def acquire(self, call: calls.Call) -> None:
        return None

    def release(self, call: calls.Call) -> None:
        pass


class _SteppedStore:
    """The shared store, each call of which waits for the driver."""

    def __init__(self, daemon: Daemon):
        self._daemon = daemon

    def __getattr__(self, name: str) -> Any:
        async def call(*arguments: Any) -> Any:
            await self._daemon.step()
            method = getattr(self._daemon.world.store, name)
            return await method(*arguments)

        return call
