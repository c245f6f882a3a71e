"""Soak test with open caller connections during planned work on daemons."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import signal
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

SERVICES = ("balie", "kassa", "balie", "kassa")
_CALLERS_PER_DAEMON = 4
_HEARTBEAT_S = 0.5
# Period in which the maintenance actions start.
_START_PERIOD_S = 8.0
_ACTION_COUNT = 7
# Longer than any route's timeout, so that the route's timeout applies.
_DEADLINE_MS = 5000
# Minimum and maximum timeout of a route.
_TIMEOUT_RANGE_MS = (2000, 4500)
# Well within the minimum timeout of a route.
MAX_WORK_MS = 600
_REFUSAL_STATUSES = (429, 503)
# Wait of a refused caller before its next call.
_RETRY_DELAY_S = 0.2


class Request(NamedTuple):
    """A request sent by a caller.

    Attributes:
        attempt_id: Id of the attempt.
        method: HTTP method; POST requests must run at most once.
        started_s: Time when it was sent, in seconds of the monotonic clock.
    """

    attempt_id: str
    method: str
    started_s: float


@dataclasses.dataclass
class SoakResult:
    """Result of a soak test.

    Attributes:
        response_counts: Number of responses by status; "gone" if the connection
            was refused, "broken" if it ended without a response.
        violations: Descriptions of responses and exits that must not occur.
    """

    response_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """Four daemons, two for each service, with callers at each daemon.

    Simulates the operators' maintenance: restarts of daemons and changes of the
    configuration and of the settings, in series and overlapping. Meanwhile, the
    store may be unavailable.
    """

    def __init__(self, seed: int):
        """Sets the seed of the random generator."""
        self._random = random.Random(seed)
        self.result = SoakResult()
        # Index of the daemon to which each attempt was sent, by attempt id.
        self._origins: dict[str, int] = {}
        # Index of each daemon that was restarted, and when, in seconds.
        self._restarts: list[tuple[int, float]] = []
        self._fleet = processes.ProcessFleet()
        # Number of the version that the fleet starts with.
        self._version = 5
        self._attempt_count = 0
        self._ended = asyncio.Event()
        self._stopping: set[int] = set()
        self._actions: dict[str, Callable[[], Awaitable[None]]] = {
            "stop": self._restart_daemon,
            "stop in a row": self._restart_twice,
            "configure": self._configure,
            "reload": self._reload,
            "lose store": self._interrupt_store,
        }

    async def run(self) -> SoakResult:
        """Runs the whole soak test."""
        async with asyncio.timeout(processes.TEST_TIMEOUT_S), self._fleet:
            await self._fleet.start(*SERVICES)
            for daemon in self._fleet.daemons:
                daemon.backend.handler = self._build_handler(daemon)
            await self._configure()
            for index in range(len(SERVICES)):
                await self._fleet.wait_until_served(index, "/checks/1")
            async with asyncio.TaskGroup() as group:
                heartbeats = group.create_task(self._send_heartbeats())
                callers = [
                    group.create_task(self._send_calls(index))
                    for index in range(len(SERVICES))
                    for _ in range(_CALLERS_PER_DAEMON)
                ]
                await self._run_actions()
                self._ended.set()
                await asyncio.wait(callers)
                heartbeats.cancel()
        self._check_runs()
        return self.result

    def _build_handler(
        self, daemon: processes.DaemonProcess
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def work(request: web.Request) -> web.StreamResponse:
            """Works for the time in the path; some requests nest a call."""
            await request.read()
            await asyncio.sleep(int(request.path.rsplit("/", 1)[1]) / 1000)
            if request.path.startswith("/nested/"):
                await self._send_nested_call(daemon, request)
            return await daemon.backend.answer(request)

        return work

    async def _send_nested_call(
        self, daemon: processes.DaemonProcess, request: web.Request
    ) -> None:
        """Sends a nested call through the local daemon."""
        nested_request = self._create_request("GET")
        self._origins[nested_request.attempt_id] = self._fleet.daemons.index(
            daemon
        )
        headers = _build_headers(nested_request)
        headers["X-Deadline-Ms"] = request.headers["X-Deadline-Ms"]
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(
                    f"{daemon.url}/checks/10", headers=headers
                ) as response,
            ):
                text = await response.text()
        except aiohttp.ClientError as error:
            self._add_violation(
                nested_request, f"call of work in flight: {error!r}"
            )
            return
        if "stopping" in text:
            self._add_violation(
                nested_request, f"call of work in flight: {text.strip()}"
            )

    async def _send_calls(self, index: int) -> None:
        """Sends calls over an open connection until the soak test ends."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            # If the library retried requests, a lost one would not be detected.
            session._retry_connection = False
            while not self._ended.is_set():
                await self._send_call(session, index)

    async def _send_call(
        self, session: aiohttp.ClientSession, index: int
    ) -> None:
        name = self._random.choice(("tickets", "nested", "payouts"))
        work_ms = self._random.randrange(MAX_WORK_MS)
        request = self._create_request("POST" if name == "payouts" else "GET")
        self._origins[request.attempt_id] = index
        url = f"{self._fleet.daemons[index].url}/{name}/{work_ms}"
        try:
            async with session.request(
                request.method, url, headers=_build_headers(request)
            ) as response:
                await response.read()
        except aiohttp.ClientConnectorError:
            self.result.response_counts["gone"] += 1
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        except aiohttp.ClientError as error:
            self.result.response_counts["broken"] += 1
            if self._has_run(request):
                self._add_violation(
                    request, f"ran, and its connection ended: {error!r}"
                )
            return
        self._check_response(request, response)
        if response.status in _REFUSAL_STATUSES:
            await asyncio.sleep(_RETRY_DELAY_S)

    def _check_response(
        self, request: Request, response: aiohttp.ClientResponse
    ) -> None:
        """Adds a violation if a response must not occur.

        A success must be signed, and a refused POST request must not have run.
        Other failures must not occur before the minimum timeout of a route.
        """
        status = response.status
        self.result.response_counts[str(status)] += 1
        elapsed_ms = (time.monotonic() - request.started_s) * 1000
        if status == 200:
            if "X-Response-Signature" not in response.headers:
                self._add_violation(request, "answered 200 without a signature")
        elif status in _REFUSAL_STATUSES:
            if request.method == "POST" and self._has_run(request):
                self._add_violation(
                    request, f"ran, and was refused with {status}"
                )
        elif elapsed_ms < _TIMEOUT_RANGE_MS[0]:
            self._add_violation(
                request, f"answered {status} after {elapsed_ms:.0f} ms"
            )

    def _check_runs(self) -> None:
        """Adds a violation for each POST request that ran repeatedly."""
        runs = collections.Counter(
            attempt
            for daemon in self._fleet.daemons
            for attempt in daemon.backend.executed_attempts
        )
        self.result.violations.extend(
            f"{attempt}: ran {count} times"
            for attempt, count in runs.items()
            if count > 1 and attempt.startswith("POST")
        )

    async def _run_actions(self) -> None:
        """Starts maintenance actions at random times; some run concurrently."""
        start_times_s = sorted(
            self._random.uniform(0, _START_PERIOD_S)
            for _ in range(_ACTION_COUNT)
        )
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for start_s in start_times_s:
                name = self._random.choice(tuple(self._actions))
                await asyncio.sleep(
                    max(0.0, started_s + start_s - time.monotonic())
                )
                group.create_task(_run(self._actions[name]))

    async def _restart_daemon(self) -> None:
        """Restarts a daemon unless either daemon of its service is stopping."""
        index = self._random.randrange(len(SERVICES))
        peer_index = (index + 2) % len(SERVICES)
        if self._stopping & {index, peer_index}:
            return
        self._stopping.add(index)
        self._restarts.append((index, time.monotonic()))
        daemon = self._fleet.daemons[index]
        daemon.send_signal(signal.SIGTERM)
        status = await daemon.wait()
        if status:
            self.result.violations.append(f"daemon {index} ended by {status}")
        await daemon.start()
        await self._fleet.wait_for_readiness(daemon)
        self._stopping.discard(index)

    async def _restart_twice(self) -> None:
        for _ in range(2):
            await self._restart_daemon()

    async def _configure(self) -> None:
        """Changes the timeouts of the routes."""
        self._version += 1
        timeouts = [self._random.randint(*_TIMEOUT_RANGE_MS) for _ in range(4)]
        routes = (
            builders.build_route("tickets", timeoutMs=timeouts[0]),
            builders.build_route("nested", timeoutMs=timeouts[1]),
            builders.build_route(
                "checks", service="kassa", timeoutMs=timeouts[2]
            ),
            builders.build_route(
                "payouts",
                service="kassa",
                kind="non_idempotent",
                timeoutMs=timeouts[3],
                maxAttempts=1,
            ),
        )
        await self._write_configuration(
            builders.build_configuration(self._version, *routes)
        )

    async def _write_configuration(self, configuration: bytes) -> None:
        """Writes a configuration as the operators do."""
        await self._fleet.store.write(stores.CONFIGURATION_KEY, configuration)

    async def _reload(self) -> None:
        """Changes the settings of a daemon, which must keep serving."""
        index = self._random.randrange(len(SERVICES))
        if index not in self._stopping:
            daemon = self._fleet.daemons[index]
            daemon.write_settings(
                heartbeatMs=str(self._random.randint(500, 2000))
            )
            daemon.send_signal(signal.SIGHUP)

    async def _interrupt_store(self) -> None:
        """Makes the store refuse all calls for a short time."""
        self._fleet.store.faults.status = 503
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._fleet.store.faults.status = 0

    async def _send_heartbeats(self) -> None:
        """Sends the heartbeats of all backend servers."""
        while True:
            await self._fleet.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_S)

    def _create_request(self, method: str) -> Request:
        self._attempt_count += 1
        return Request(
            f"{method}{self._attempt_count}", method, time.monotonic()
        )

    def _has_run(self, request: Request) -> bool:
        return any(
            request.attempt_id in daemon.backend.executed_attempts
            for daemon in self._fleet.daemons
        )

    def _add_violation(self, request: Request, violation: str) -> None:
        self.result.violations.append(f"{request.attempt_id}: {violation}")


def _build_headers(request: Request) -> dict[str, str]:
    return {
        "Host": "desk.example",
        "X-Attempt-Id": request.attempt_id,
        "X-Deadline-Ms": str(_DEADLINE_MS),
    }


async def _run(action: Callable[[], Any]) -> None:
    await action()
