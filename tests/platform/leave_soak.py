"""Soak test of backend servers that leave while their daemons are killed."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from tests.platform import maintenance_soak
from tests.platform import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

_DAEMON_COUNT = 4
_CALLERS_PER_DAEMON = 2
_HEARTBEAT_S = 0.5
_ROUNDS = 2
# Time after which a backend server that leaves must get no requests.
_DRAIN_S = 1.5
# Time for which it serves after its leave.
_STAY_S = 4.0
# Longest delay of a heartbeat.
_MAX_DELAY_S = 3.0
# Time after which a sound backend server must get requests again.
_SOUND_S = 8.0
_CALL_PAUSE_S = 0.02


class _Leave(NamedTuple):
    """A leave that a daemon has confirmed.

    Attributes:
        daemon: Its index.
        confirmed_s: When it was confirmed, in seconds of the monotonic clock.
        ended_s: When the process ended.
    """

    daemon: int
    confirmed_s: float
    ended_s: float


class LeaveSoak:
    """Backend servers leave while their daemons are killed, before and after.

    Heartbeats from before a leave arrive after it, and the status of a server
    that leaves may hide that it does. One daemon and its server stay in place.
    """

    def __init__(self, seed: int, daemon_count: int = _DAEMON_COUNT):
        """Sets the seed of the random generator and the size of the fleet."""
        self._random = random.Random(seed)
        self._daemon_count = daemon_count
        self._states_start = self._random.random() < 0.7
        self.result = maintenance_soak.SoakResult()
        self._fleet = processes.ProcessFleet()
        self._silent: set[int] = set()
        self._confirmed_s: dict[int, float] = {}
        self._leaves: list[_Leave] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> maintenance_soak.SoakResult:
        """Runs the whole soak test."""
        async with asyncio.timeout(4 * processes.TEST_TIMEOUT_S), self._fleet:
            await self._fleet.start(*["balie"] * self._daemon_count)
            for index in range(self._daemon_count):
                self._begin_process(index)
            self._start_task(self._send_heartbeats())
            for index in range(self._daemon_count):
                for _ in range(_CALLERS_PER_DAEMON):
                    self._start_task(self._send_calls(index))
            for _ in range(_ROUNDS):
                await asyncio.gather(
                    *map(self._replace_server, range(1, self._daemon_count))
                )
            await asyncio.gather(
                *map(self._check_sound, range(self._daemon_count))
            )
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        for leave in self._leaves:
            self._check_leave(leave)
        return self.result

    def _begin_process(self, index: int) -> None:
        backend = self._fleet.daemons[index].backend
        backend.replace_process()
        backend.healthy = True
        if self._states_start:
            backend.started_ms = int(time.time() * 1000)

    async def _replace_server(self, index: int) -> None:
        """Makes a backend server leave amid kills of its daemon."""
        daemon = self._fleet.daemons[index]
        steps: list[Callable[[], Awaitable[None]]] = [
            lambda: self._leave(index, daemon),
            *[lambda: self._kill(daemon)] * self._random.randint(0, 2),
        ]
        self._random.shuffle(steps)
        await asyncio.sleep(self._random.uniform(0.0, 1.5))
        for step in steps:
            await step()
            await asyncio.sleep(self._random.choice((0.0, 0.004, 0.3, 1.0)))
        await asyncio.sleep(_STAY_S)
        self._leaves.append(
            _Leave(index, self._confirmed_s[index], time.monotonic())
        )
        self._begin_process(index)
        self._silent.discard(index)

    async def _leave(self, index: int, daemon: processes.DaemonProcess) -> None:
        """Announces a leave until it is confirmed; late heartbeats follow."""
        backend = daemon.backend
        self._silent.add(index)
        backend.healthy = self._random.random() < 0.5
        drains = self._random.random() < 0.5
        sequence = backend.sequence
        while True:
            try:
                if drains:
                    status = await backend.send_heartbeat(
                        daemon.heartbeat_address, "draining"
                    )
                else:
                    status = await backend.send_leave(daemon.heartbeat_address)
            except (aiohttp.ClientError, TimeoutError):
                status = 0
            if status == 200:
                break
            await asyncio.sleep(0.1)
        self._confirmed_s[index] = time.monotonic()
        for _ in range(self._random.randint(0, 3)):
            self._start_task(self._send_late(daemon, sequence))

    async def _send_late(
        self, daemon: processes.DaemonProcess, sequence: int
    ) -> None:
        """Sends a heartbeat from before the leave with a delay."""
        await asyncio.sleep(self._random.uniform(0.1, _MAX_DELAY_S))
        late = self._random.randint(max(1, sequence - 2), max(1, sequence))
        try:
            await daemon.backend.send_heartbeat(
                daemon.heartbeat_address, sequence=late
            )
        except (aiohttp.ClientError, TimeoutError):
            self.result.response_counts["late heartbeat lost"] += 1

    async def _kill(self, daemon: processes.DaemonProcess) -> None:
        daemon.send_signal(signal.SIGKILL)
        await daemon.wait()
        await daemon.start()
        if self._random.random() < 0.5:
            # Otherwise the next step overlaps with the start.
            await self._fleet.wait_for_readiness(daemon)

    async def _send_heartbeats(self) -> None:
        """Sends the heartbeats of all backend servers that do not leave."""
        while True:
            await self._fleet.send_heartbeats(self._silent)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _send_calls(self, index: int) -> None:
        """Sends requests to a daemon until it is cancelled."""
        while True:
            status = await self._fleet.send(index)
            self.result.response_counts[str(status)] += 1
            await asyncio.sleep(_CALL_PAUSE_S)

    async def _check_sound(self, index: int) -> None:
        """Adds a violation if a sound server gets no requests."""
        backend = self._fleet.daemons[index].backend
        arrived = len(backend.arrivals)
        try:
            async with asyncio.timeout(_SOUND_S):
                while len(backend.arrivals) == arrived:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.result.violations.append(
                f"server {index} gets no requests although it is sound"
            )

    def _check_leave(self, leave: _Leave) -> None:
        """Adds a violation for the requests that reached a server too late."""
        backend = self._fleet.daemons[leave.daemon].backend
        # Requests that name another process do not count; they do not run.
        executed = set(backend.executed_attempts)
        from_s = leave.confirmed_s + _DRAIN_S
        late = sum(
            from_s < at_s < leave.ended_s and attempt_id in executed
            for at_s, attempt_id in backend.arrivals
        )
        if late:
            self.result.violations.append(
                f"server {leave.daemon}: {late} requests reached it later than"
                f" {_DRAIN_S} s after its leave was confirmed"
            )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))
