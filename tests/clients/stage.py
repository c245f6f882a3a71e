"""Two daemons of the platform's build on which plays are run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import secrets
import sys
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from aiohttp import web

from merlintrestle.platform import store as stores
from tests.clients import callers
from tests.clients import memory
from tests.clients import players
from tests.clients import plays
from tests.platform import builders
from tests.platform import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# The smallest machine of the users' site files.
MEMORY_MB = 150
DESCRIPTORS = 4100
_HEARTBEAT_S = 1.0
_SLOTS = 64
_WORK_S = 0.005
# Callers begin before the players, and go on after them.
_LEAD_S = 1.0
_LIMIT_S = 60.0


class Result(NamedTuple):
    """What was seen in a play.

    Attributes:
        usages: Memory of the daemon attacked, and of its neighbour.
        fares: How the callers of each fared while the players played.
        report: What the players saw.
        ended: Daemons that had ended, or were past the bound.
        run_refusals: Attempts that were refused as not run, and yet ran.
        recovery_s: Time after the players had left until both daemons were
            ready and served a call, in seconds; None: not in time.
    """

    usages: list[memory.Usage]
    fares: list[callers.Fare]
    report: players.Report
    ended: list[int]
    run_refusals: set[str]
    recovery_s: float | None


def build_configuration(
    version: int = 5, timeout_ms: int = 3000, **changes: Any
) -> bytes:
    """Builds a configuration with a route of each kind."""
    timing = {"timeoutMs": timeout_ms}
    return builders.build_configuration(
        version,
        builders.build_route("tickets", **timing),
        builders.build_route("payouts", kind="non_idempotent", **timing),
        builders.build_route("files", kind="download", **timing),
        builders.build_route("checks", service="kassa", **timing),
        **changes,
    )


class Stage(contextlib.AsyncExitStack):
    """The daemon that is attacked, its neighbour, and their surroundings.

    Attributes:
        fleet: Both daemons, their backend servers and the store.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = processes.ProcessFleet()
        self._watches: list[memory.MemoryWatch] = []

    async def start(self, **settings: str) -> None:
        """Starts the processes; settings replace or extend the usual ones."""
        await self.enter_async_context(self.fleet)
        await self.fleet.start(
            "balie",
            "kassa",
            configuration=build_configuration(),
            settings={
                "limits.memoryMb": str(MEMORY_MB),
                "limits.maxFds": str(DESCRIPTORS),
                **settings,
            },
        )
        for daemon in self.fleet.daemons:
            daemon.backend.slots = _SLOTS
            daemon.backend.handler = _build_handler(daemon.backend)
            resource.prlimit(
                daemon.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
            )
            watch = memory.MemoryWatch(daemon.pid, daemon.address, MEMORY_MB)
            self._watches.append(watch)
            await self._run_beside(watch.run())
        await self._run_beside(self._send_heartbeats())
        async with asyncio.timeout(_LIMIT_S):
            for path in (plays.ROUTE, plays.NEIGHBOUR):
                for index in range(2):
                    await self.fleet.wait_until_served(index, path)

    async def configure(self, version: int, **changes: Any) -> None:
        """Writes a configuration and waits until both daemons run it.

        See `build_configuration` for the arguments.
        """
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY, build_configuration(version, **changes)
        )
        await asyncio.sleep(_LEAD_S)

    async def play(self, *chosen: plays.Play, seconds: float) -> Result:
        """Runs plays at once beside ordinary callers.

        Args:
            *chosen: The plays.
            seconds: How long the players play.
        """
        seed = secrets.randbelow(10**6)
        daemons = self.fleet.daemons
        calling = asyncio.create_task(
            _run_program(
                "tests.clients.callers",
                callers.Order(
                    [daemon.url for daemon in daemons],
                    [daemon.ready_url for daemon in daemons],
                    seconds,
                    seed,
                ),
            )
        )
        await asyncio.sleep(_LEAD_S)
        reports = await asyncio.gather(
            *(
                _run_program(
                    "tests.clients.players",
                    players.Order(
                        daemons[0].address,
                        8629,
                        8625,
                        seconds,
                        [*play],
                        # Each process has ids of its own.
                        seed + number,
                    ),
                )
                for number, play in enumerate(chosen)
            )
        )
        recovery_s = await self._wait_for_recovery()
        fares = [callers.Fare(**fields) for fields in await calling]
        report = _join_reports(reports)
        refused = {*report.refused, *fares[0].refused, *fares[1].refused}
        executed: set[str] = set()
        for daemon in daemons:
            executed.update(daemon.backend.executed_attempts)
        ended = [
            index
            for index, daemon in enumerate(daemons)
            if not daemon.is_running or self._watches[index].exceeded
        ]
        return Result(
            [watch.largest for watch in self._watches],
            fares,
            report,
            ended,
            refused & executed,
            recovery_s,
        )

    async def _wait_for_recovery(self) -> float | None:
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(10):
                for index, daemon in enumerate(self.fleet.daemons):
                    await self.fleet.wait_for_readiness(daemon)
                    await self.fleet.wait_until_served(index, plays.NEIGHBOUR)
        except TimeoutError:
            return None
        return time.monotonic() - began_at

    async def _send_heartbeats(self) -> None:
        while True:
            await self.fleet.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _run_beside(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.callback(task.cancel)


def _build_handler(
    backend: Any,
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Builds a handler that reads the body, works and answers."""

    async def handle(request: web.Request) -> web.StreamResponse:
        async for _ in request.content.iter_any():
            pass
        await asyncio.sleep(_WORK_S)
        size = 5
        if request.path.startswith("/files/"):
            size = int(request.path.rpartition("/")[2])
        return web.Response(
            body=b"w" * size, headers=backend.build_answer_headers(request)
        )

    return handle


async def _run_program(module: str, order: NamedTuple) -> Any:
    """Runs a program with an order in a process of its own."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate(
            json.dumps(order._asdict()).encode()
        )
    finally:
        if process.returncode is None:
            process.kill()
    return json.loads(output)


def _join_reports(reports: list[dict[str, Any]]) -> players.Report:
    joined = players.Report()
    for report in reports:
        joined.statuses.update(report["statuses"])
        joined.refused += report["refused"]
        joined.most_open += report["most_open"]
    return joined
