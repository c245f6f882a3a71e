"""Soak test of planned stops, with requests that come late in the grace."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from typing import NamedTuple, TYPE_CHECKING

from aiohttp import web

from tests.platform import builders
from tests.platform import maintenance_soak
from tests.platform import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_SERVICES = ("balie", "kassa", "balie", "kassa", "balie")
_CALLERS_PER_DAEMON = 12
_SLOTS = 60
_HEARTBEAT_S = 0.5
_GRACE_S = 6.0
# Requests that were sent up to this time after the signal may be cut while
# their backend server is at work in the last sixth of the grace.
_EARLY_S = 3.0
_LATE_FRACTION = 5 / 6
# Requests that were not passed on may lose their connection within this time.
_LOSS_SLACK_S = 0.2
# How long callers go on after a signal, and before the first one.
_AFTER_S = _GRACE_S + 0.5
_BEFORE_S = 1.5
# Longest and usual work of a backend server, in seconds.
_MAX_WORK_S = 3.5
_USUAL_WORK_S = 0.05
_TIMEOUTS_MS = (2500, 8000)
_DEADLINES_MS = (1500, 4000, 10_000)
_MAX_SENT_AHEAD = 3
_BLOCK = b"x" * 8192
_MARGIN_S = 0.3


class Call(NamedTuple):
    """A request of a caller.

    Attributes:
        attempt_id: Its id.
        daemon: Number of the daemon to which it was sent.
        sent_at: When its last byte was sent, in seconds.
        overdue_at: When the time of the caller or of its route is over, in
            seconds.
        behind: Number of requests in front of it on its connection.
    """

    attempt_id: str
    daemon: int
    sent_at: float
    overdue_at: float
    behind: int = 0


@dataclasses.dataclass
class Work:
    """What a backend server did for a request.

    Attributes:
        began_at: When it arrived, in seconds.
        ended_at: When the last byte of its answer was written, in seconds.
    """

    began_at: float
    ended_at: float = float("inf")


class StopSoak:
    """Five daemons, of which some stop, with callers that do not leave them.

    Callers send ordinary requests, payouts, requests ahead of answers, slow
    bodies, and downloads that arrive slowly; some requests call another service
    in turn. Work grows longer after the signal.
    """

    def __init__(self, seed: int, max_work_s: float = _MAX_WORK_S):
        """Sets the seed of the random generator, and the longest work."""
        self._max_work_s = max_work_s
        self._random = random.Random(seed)
        self.result = maintenance_soak.SoakResult()
        self._fleet = processes.ProcessFleet()
        self._stopped_at: dict[int, float] = {}
        self._work: dict[str, Work] = {}
        self._numbers = 0
        self._ended = asyncio.Event()

    async def run(self) -> maintenance_soak.SoakResult:
        """Runs the whole soak test."""
        async with asyncio.timeout(processes.TEST_TIMEOUT_S), self._fleet:
            await self._fleet.start(*_SERVICES, configuration=_configure())
            for daemon in self._fleet.daemons:
                daemon.backend.slots = _SLOTS
                daemon.backend.handler = self._build_handler(daemon)
            await self._fleet.send_heartbeats()
            for index in range(len(_SERVICES)):
                await self._fleet.wait_until_served(index, "/checks/0")
            heartbeats = asyncio.create_task(self._send_heartbeats())
            callers = [
                asyncio.create_task(self._call(index))
                for index in range(len(_SERVICES))
                for _ in range(_CALLERS_PER_DAEMON)
            ]
            await asyncio.sleep(_BEFORE_S)
            await self._stop_daemons()
            self._ended.set()
            await asyncio.gather(*callers)
            heartbeats.cancel()
        return self.result

    async def _stop_daemons(self) -> None:
        """Stops up to three daemons, at once or one after the other."""
        count = self._random.randint(1, 3)
        pause_s = self._random.choice((0.0, 0.0, 0.7))
        indices = self._random.sample(range(len(_SERVICES)), count)
        async with asyncio.TaskGroup() as group:
            for index in indices:
                group.create_task(self._stop(index))
                await asyncio.sleep(pause_s)

    async def _stop(self, index: int) -> None:
        daemon = self._fleet.daemons[index]
        self._stopped_at[index] = time.monotonic()
        daemon.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_S):
                status = await daemon.wait()
        except TimeoutError:
            daemon.send_signal(signal.SIGKILL)
            status = await daemon.wait()
        if status:
            self.result.violations.append(f"daemon {index} ended by {status}")
        await asyncio.sleep(_AFTER_S - _GRACE_S)

    async def _call(self, index: int) -> None:
        """Sends requests over kept connections until the soak test ends."""
        kinds = (
            self._send_ordinary,
            self._send_ordinary,
            self._send_payout,
            self._send_ahead,
            self._send_slowly,
            self._read_slowly,
        )
        while not self._ended.is_set():
            try:
                reader, writer = await asyncio.open_connection(
                    self._fleet.daemons[index].address, 8629
                )
            except OSError:
                self.result.response_counts["gone"] += 1
                await asyncio.sleep(0.1)
                continue
            with contextlib.closing(writer):
                send = self._random.choice(kinds)
                while not self._ended.is_set() and await send(
                    index, reader, writer
                ):
                    await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _send_ordinary(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        name = self._random.choice(("tickets", "tickets", "nested", "longer"))
        call = self._write(writer, index, "GET", name)
        return await self._read(reader, call)

    async def _send_payout(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        call = self._write(writer, index, "POST", "payouts", b"pay")
        return await self._read(reader, call)

    async def _send_ahead(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        count = self._random.randint(2, _MAX_SENT_AHEAD)
        calls = [
            self._write(writer, index, "GET", "tickets")._replace(behind=behind)
            for behind in range(count)
        ]
        results = [await self._read(reader, call) for call in calls]
        return all(results)

    async def _send_slowly(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        size = 10
        name = self._random.choice(("payouts", "uploads"))
        call = self._write(writer, index, "POST", name, length=size)
        pause_s = self._random.uniform(0.0, 0.3)
        try:
            for _ in range(size):
                await asyncio.sleep(pause_s)
                writer.write(b"x")
                await writer.drain()
        except OSError:
            # The daemon answered, or closed, before it had the whole request.
            pass
        call = call._replace(sent_at=time.monotonic())
        return await self._read(reader, call, pause_s > 0)

    async def _read_slowly(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        call = self._write(writer, index, "GET", "files")
        return await self._read(reader, call)

    def _write(
        self,
        writer: asyncio.StreamWriter,
        index: int,
        method: str,
        name: str,
        body: bytes = b"",
        length: int = 0,
    ) -> Call:
        """Writes a request, whose body may follow."""
        self._numbers += 1
        attempt_id = f"{method}{self._numbers}"
        work_ms = round(1000 * self._choose_work(index))
        deadline_ms = self._random.choice(_DEADLINES_MS)
        timeout_ms = _TIMEOUTS_MS[name in ("longer", "files", "uploads")]
        lines = (
            f"{method} /{name}/{work_ms} HTTP/1.1",
            "Host: desk.example",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *((f"Content-Length: {length or len(body)}",) * (method == "POST")),
        )
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        now = time.monotonic()
        overdue_at = now + min(timeout_ms, deadline_ms) / 1000
        return Call(attempt_id, index, now, overdue_at)

    def _choose_work(self, index: int) -> float:
        """Returns the work of a request; it is longer after a signal."""
        stopped_at = self._stopped_at.get(index)
        if stopped_at is None or self._random.random() < 0.3:
            return _USUAL_WORK_S
        return self._random.uniform(_USUAL_WORK_S, self._max_work_s)

    async def _read(
        self, reader: asyncio.StreamReader, call: Call, is_slow: bool = False
    ) -> bool:
        """Reads an answer; returns whether the connection may be used again."""
        status = 0
        keeps = False
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            status = int(head[9:12])
            await _read_body(reader, head)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._check_loss(call, f"{status} {error!r}", is_slow)
            self.result.response_counts["broken"] += 1
            return False
        self.result.response_counts[str(status)] += 1
        keeps = b"connection: close" not in head
        self._check_answer(call, status, b"x-response-signature" in head)
        return keeps

    def _check_answer(self, call: Call, status: int, signed: bool) -> None:
        work = self._work.get(call.attempt_id)
        is_payout = call.attempt_id.startswith("POST")
        if status == 503 and work is not None and is_payout:
            self._add(call, "ran, and was refused")
        if signed or status == 503 or work is None:
            return
        if time.monotonic() < call.overdue_at - _MARGIN_S:
            self._add(call, f"ran, and got {status} too early")

    def _check_loss(self, call: Call, what: str, is_slow: bool) -> None:
        """Adds a violation for a connection that ended without an answer."""
        now = time.monotonic()
        stopped_at = self._stopped_at.get(call.daemon)
        work = self._work.get(call.attempt_id)
        if now >= call.overdue_at - _MARGIN_S:
            return
        if work is None:
            is_late = now - call.sent_at > _LOSS_SLACK_S
            # A connection may close before a slow body has come whole.
            if is_late and not call.behind and not is_slow:
                self._add(call, f"read, and lost: {what}")
            return
        if (
            stopped_at is not None
            and call.sent_at <= stopped_at + _EARLY_S
            and work.ended_at >= stopped_at + _LATE_FRACTION * _GRACE_S
        ):
            return
        self._add(call, f"passed on, and lost: {what}")

    def _add(self, call: Call, violation: str) -> None:
        stopped_at = self._stopped_at.get(call.daemon)
        work = self._work.get(call.attempt_id)
        times = {"now": time.monotonic(), "sent": call.sent_at}
        if work is not None:
            times.update(began=work.began_at, ended=work.ended_at)
        since = stopped_at if stopped_at is not None else call.sent_at
        shown = " ".join(
            f"{name} {at - since:.2f}" for name, at in times.items()
        )
        kind = "stopping" if stopped_at is not None else "running"
        self.result.violations.append(
            f"{call.attempt_id} at {kind} {call.daemon}: {violation} ({shown})"
        )

    def _build_handler(
        self, daemon: processes.DaemonProcess
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def work(request: web.Request) -> web.StreamResponse:
            """Works for the time in the path, and may call or stream."""
            attempt_id = request.headers["X-Attempt-Id"]
            done = self._work[attempt_id] = Work(time.monotonic())
            await request.read()
            work_s = int(request.path.rsplit("/", 1)[1]) / 1000
            if request.path.startswith("/files/"):
                response = await _stream(daemon, request, work_s)
            else:
                await asyncio.sleep(work_s)
                if request.path.startswith("/nested/"):
                    await self._call_in_turn(daemon, request)
                response = await daemon.backend.answer(request)
            done.ended_at = time.monotonic()
            return response

        return work

    async def _call_in_turn(
        self, daemon: processes.DaemonProcess, request: web.Request
    ) -> None:
        """Calls another service, as the request requires."""
        index = self._fleet.daemons.index(daemon)
        try:
            reader, writer = await asyncio.open_connection(daemon.address, 8629)
        except OSError:
            return
        with contextlib.closing(writer):
            self._numbers += 1
            attempt_id = f"GET{self._numbers}"
            left_ms = request.headers["X-Deadline-Ms"]
            writer.write(
                f"GET /checks/20 HTTP/1.1\r\nHost: desk.example\r\n"
                f"X-Attempt-Id: {attempt_id}\r\n"
                f"X-Deadline-Ms: {left_ms}\r\n\r\n".encode()
            )
            now = time.monotonic()
            overdue_at = now + min(int(left_ms), _TIMEOUTS_MS[0]) / 1000
            call = Call(attempt_id, index, now, overdue_at)
            await self._read(reader, call)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._fleet.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_S)


def _configure() -> bytes:
    """Builds the configuration with all routes."""
    short_ms, long_ms = _TIMEOUTS_MS
    routes = (
        builders.build_route("tickets", timeoutMs=short_ms),
        builders.build_route("nested", timeoutMs=short_ms),
        builders.build_route("checks", service="kassa", timeoutMs=short_ms),
        builders.build_route("longer", service="kassa", timeoutMs=long_ms),
        builders.build_route("files", kind="download", timeoutMs=long_ms),
        builders.build_route("uploads", timeoutMs=long_ms),
        builders.build_route(
            "payouts",
            service="kassa",
            kind="non_idempotent",
            timeoutMs=short_ms,
        ),
    )
    return builders.build_configuration(5, *routes)


async def _stream(
    daemon: processes.DaemonProcess, request: web.Request, duration_s: float
) -> web.StreamResponse:
    """Sends a body over a time, in chunks."""
    response = web.StreamResponse(
        headers=daemon.backend.build_answer_headers(request)
    )
    response.enable_chunked_encoding()
    await response.prepare(request)
    for _ in range(10):
        await response.write(_BLOCK)
        await asyncio.sleep(duration_s / 10)
    await response.write_eof()
    return response


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    """Reads a body with a length or in chunks."""
    if b"transfer-encoding: chunked" not in head:
        _, _, rest = head.partition(b"content-length:")
        await reader.readexactly(int(rest.partition(b"\r\n")[0] or 0))
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        await reader.readexactly(size + 2)
        if not size:
            return
