"""A soak: callers on open connections while daemons stop, start and change.

`python -m tests.platform.soaking --count 50` plays many seeds one after the
other; CI plays a few.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import signal
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp
import click

from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

_SERVICES = ("balie", "kassa", "balie", "kassa")
_CALLERS_PER_DAEMON = 4
_HEARTBEAT_S = 0.5
# Time in which planned work begins, in seconds, and how much of it.
_LENGTH_S = 8.0
_ACTIONS = 7
_DEADLINE_MS = 5000
# Routes give a call so much at the least and at the most, in ms.
_TIMEOUTS_MS = (2000, 4500)
# Work of a backend server lasts so long at the most, in ms: well within that.
_MOST_WORK_MS = 600
_REFUSED = (429, 503)
# A caller that was refused waits no longer than this, in seconds.
_PAUSE_S = 0.2


class Sent(NamedTuple):
    """A request that a caller sent.

    Attributes:
        attempt: Its id.
        method: HTTP method; POST may run once at most.
        began: When it was sent, in seconds.
    """

    attempt: str
    method: str
    began: float


@dataclasses.dataclass
class Findings:
    """What callers got.

    Attributes:
        counts: Answers by status; "gone" for a connection that is refused.
        faults: What must not happen, in words.
    """

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """Four daemons, two beside each service, and callers at each of them.

    All work is planned: stops, restarts, changes of the configuration and of
    the settings, in series and overlapping; the store may be away meanwhile.
    """

    def __init__(self, seed: int):
        """Sets the seed of what happens when."""
        self._chance = random.Random(seed)
        self.findings = Findings()
        self._fleet = processes.ProcessFleet()
        self._version = 5
        self._attempts = 0
        self._over = asyncio.Event()
        self._stopping: set[int] = set()
        self._actions: dict[str, Callable[[], Awaitable[None]]] = {
            "stop": self._stop,
            "stop in a row": self._stop_in_a_row,
            "configure": self._configure,
            "reload": self._reload,
            "lose store": self._lose_store,
        }

    async def run(self) -> Findings:
        """Plays the whole soak."""
        async with asyncio.timeout(processes.TEST_TIMEOUT_S), self._fleet:
            await self._fleet.start(*_SERVICES)
            for daemon in self._fleet.daemons:
                daemon.backend.handler = self._build_handler(daemon)
            await self._configure()
            for number in range(len(_SERVICES)):
                await self._fleet.wait_until_served(number, "/checks/1")
            async with asyncio.TaskGroup() as group:
                beating = group.create_task(self._beat())
                callers = [
                    group.create_task(self._call(number))
                    for number in range(len(_SERVICES))
                    for _ in range(_CALLERS_PER_DAEMON)
                ]
                await self._disturb()
                self._over.set()
                await asyncio.wait(callers)
                beating.cancel()
        self._check_runs()
        return self.findings

    def _build_handler(
        self, daemon: processes.DaemonProcess
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def work(request: web.Request) -> web.StreamResponse:
            """Works for the time in the path; some work makes a call."""
            await request.read()
            await asyncio.sleep(int(request.path.rsplit("/", 1)[1]) / 1000)
            if request.path.startswith("/nested/"):
                await self._check(daemon, request)
            return await daemon.backend.answer(request)

        return work

    async def _check(
        self, daemon: processes.DaemonProcess, request: web.Request
    ) -> None:
        """Makes the call of some work by way of the daemon beside it."""
        sent = self._take("GET")
        headers = _build_headers(sent)
        headers["X-Deadline-Ms"] = request.headers["X-Deadline-Ms"]
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(
                    f"{daemon.url}/checks/10", headers=headers
                ) as answer,
            ):
                text = await answer.text()
        except aiohttp.ClientError as error:
            self._note(sent, f"call of work in flight: {error!r}")
            return
        if "stopping" in text:
            self._note(sent, f"call of work in flight: {text.strip()}")

    async def _call(self, number: int) -> None:
        """Calls over an open connection until the soak is over."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            # Sent again by the library, a request that was lost would not show.
            session._retry_connection = False
            while not self._over.is_set():
                await self._call_once(session, number)

    async def _call_once(
        self, session: aiohttp.ClientSession, number: int
    ) -> None:
        name = self._chance.choice(("tickets", "nested", "payouts"))
        work_ms = self._chance.randrange(_MOST_WORK_MS)
        sent = self._take("POST" if name == "payouts" else "GET")
        url = f"{self._fleet.daemons[number].url}/{name}/{work_ms}"
        try:
            async with session.request(
                sent.method, url, headers=_build_headers(sent)
            ) as answer:
                await answer.read()
        except aiohttp.ClientConnectorError:
            self.findings.counts["gone"] += 1
            await asyncio.sleep(_PAUSE_S)
            return
        except aiohttp.ClientError as error:
            self.findings.counts["broken"] += 1
            if self._has_run(sent):
                self._note(sent, f"ran, and its connection ended: {error!r}")
            return
        self._judge(sent, answer)
        if answer.status in _REFUSED:
            await asyncio.sleep(_PAUSE_S)

    def _judge(self, sent: Sent, answer: aiohttp.ClientResponse) -> None:
        status = answer.status
        self.findings.counts[str(status)] += 1
        took_ms = (time.monotonic() - sent.began) * 1000
        if status == 200:
            if "X-Response-Signature" not in answer.headers:
                self._note(sent, "answered 200 without a signature")
        elif status in _REFUSED:
            if sent.method == "POST" and self._has_run(sent):
                self._note(sent, f"ran, and was refused with {status}")
        elif took_ms < _TIMEOUTS_MS[0]:
            self._note(sent, f"answered {status} after {took_ms:.0f} ms")

    def _check_runs(self) -> None:
        runs = collections.Counter(
            attempt
            for daemon in self._fleet.daemons
            for attempt in daemon.backend.ran
        )
        self.findings.faults.extend(
            f"{attempt}: ran {count} times"
            for attempt, count in runs.items()
            if count > 1 and attempt.startswith("POST")
        )

    async def _disturb(self) -> None:
        """Begins planned work at random times, some of it at once."""
        starts = sorted(
            self._chance.uniform(0, _LENGTH_S) for _ in range(_ACTIONS)
        )
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for start in starts:
                name = self._chance.choice(tuple(self._actions))
                await asyncio.sleep(max(0.0, began + start - time.monotonic()))
                group.create_task(_run(self._actions[name]))

    async def _stop(self) -> None:
        """Stops and starts one daemon, unless one beside its service stops."""
        number = self._chance.randrange(len(_SERVICES))
        beside = (number + 2) % len(_SERVICES)
        if self._stopping & {number, beside}:
            return
        self._stopping.add(number)
        daemon = self._fleet.daemons[number]
        daemon.send_signal(signal.SIGTERM)
        status = await daemon.wait()
        if status:
            self.findings.faults.append(f"daemon {number} ended by {status}")
        await daemon.start()
        await self._fleet.wait_until_ready(daemon)
        self._stopping.discard(number)

    async def _stop_in_a_row(self) -> None:
        for _ in range(2):
            await self._stop()

    async def _configure(self) -> None:
        """Gives the routes other timeouts."""
        self._version += 1
        timeouts = [self._chance.randint(*_TIMEOUTS_MS) for _ in range(4)]
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
        await self._fleet.store.write(
            stores.CONFIGURATION_KEY,
            builders.build_configuration(self._version, *routes),
        )

    async def _reload(self) -> None:
        number = self._chance.randrange(len(_SERVICES))
        if number not in self._stopping:
            daemon = self._fleet.daemons[number]
            daemon.write_settings(
                heartbeatMs=str(self._chance.randint(500, 2000))
            )
            daemon.send_signal(signal.SIGHUP)

    async def _lose_store(self) -> None:
        self._fleet.store.faults.status = 503
        await asyncio.sleep(self._chance.uniform(0.2, 1.5))
        self._fleet.store.faults.status = 0

    async def _beat(self) -> None:
        """Sends heartbeats of all backend servers."""
        while True:
            for daemon in self._fleet.daemons:
                try:
                    await daemon.backend.send_heartbeat(daemon.control)
                except (aiohttp.ClientError, TimeoutError):
                    # It is stopped; it hears the next one.
                    continue
            await asyncio.sleep(_HEARTBEAT_S)

    def _take(self, method: str) -> Sent:
        self._attempts += 1
        return Sent(f"{method}{self._attempts}", method, time.monotonic())

    def _has_run(self, sent: Sent) -> bool:
        return any(
            sent.attempt in daemon.backend.ran for daemon in self._fleet.daemons
        )

    def _note(self, sent: Sent, fault: str) -> None:
        self.findings.faults.append(f"{sent.attempt}: {fault}")


def _build_headers(sent: Sent) -> dict[str, str]:
    return {
        "Host": "desk.example",
        "X-Attempt-Id": sent.attempt,
        "X-Deadline-Ms": str(_DEADLINE_MS),
    }


async def _run(action: Callable[[], Any]) -> None:
    await action()


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--count", default=50, show_default=True, help="Seeds to play.")
def main(first: int, count: int) -> None:
    """Plays seeds one after the other; fails if any shows a fault."""
    failed = 0
    for seed in range(first, first + count):
        findings = asyncio.run(Soak(seed).run())
        click.echo(f"seed {seed}: {dict(findings.counts)}")
        for fault in findings.faults:
            click.echo(f"  {fault}")
        failed += bool(findings.faults)
    click.echo(f"{count} seeds, {failed} with faults")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
