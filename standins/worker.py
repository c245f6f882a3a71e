"""How the backend server stand-in runs requests."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import hashlib
import os
import time
from typing import Any, NamedTuple, TYPE_CHECKING
import weakref

from aiohttp import web

from standins import content

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins import ledger
    from standins import nested_calls

REQUEST_ID_HEADER = "Request-Id"
ATTEMPT_ID_HEADER = "Attempt-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Merlintrestle-Deadline-Ms"
CRASH_HEADER = "Crash"
_CRASH_STATUS = 70
_DEFAULT_RATE = 50_000_000


class Settings(NamedTuple):
    """How a backend server behaves.

    Attributes:
        service: Service that it serves.
        slots: Calls it runs at once; more are shed with status 503.
        work_ms: Milliseconds of work by path prefix; longest match decides.
        cold_start_s: Seconds after the start in which it is slower.
        cold_factor: How many times slower it is then.
    """

    service: str
    slots: int = 12
    work_ms: Mapping[str, float] = {}
    cold_start_s: float = 0.0
    cold_factor: float = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in force.

    Attributes:
        healthy: What the health endpoint says, true or not.
        reported_load: What the load endpoint says; None: how things stood
            `load_lag_s` ago.
        load_lag_s: Seconds that the load endpoint lags.
        slow_factor: How many times longer each piece of work takes.
        silent: Connections open now never carry an answer again.
        cut: Connections open now are cut, once.
        breaks: Calls run and then break their connection unanswered.
        sheds: Every call is shed, whatever runs.
    """

    healthy: bool = True
    reported_load: float | None = None
    load_lag_s: float = 2.0
    slow_factor: float = 1.0
    silent: bool = False
    cut: bool = False
    breaks: bool = False
    sheds: bool = False


class Worker:
    """Runs requests in slots and records each run.

    Attributes:
        address: Address under which it answers, "ip:port".
        faults: Faults in force.
        in_flight: Requests that run now.
    """

    def __init__(
        self,
        settings: Settings,
        runs: ledger.Ledger,
        caller: nested_calls.NestedCaller,
    ):
        self.address = ""
        self.faults = Faults()
        self.in_flight = 0
        self._settings = settings
        self._runs = runs
        self._caller = caller
        self._started = time.monotonic()
        self._idle = asyncio.Event()
        self._idle.set()
        self._open: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silent: set[Any] = set()
        # Seconds and load; a call costs the same however long this is.
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def set_faults(self, new: Faults) -> None:
        """Puts faults in force in place of those before."""
        self._silent = set(self._open) if new.silent else set()
        if new.cut:
            for transport in list(self._open):
                transport.abort()
        self.faults = new

    async def wait_idle(self) -> None:
        """Returns when no request is in flight."""
        await self._idle.wait()

    def read_reported_load(self) -> dict[str, float]:
        """Returns the load as the load endpoint tells it, 0 to 1."""
        if self.faults.reported_load is not None:
            return {"load": self.faults.reported_load}
        limit = time.monotonic() - self.faults.load_lag_s
        loads = [load for at, load in self._load_history if at <= limit]
        return {"load": loads[-1] if loads else 0.0}

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Runs one request, or sheds it when all slots are taken."""
        self._open.add(request.transport)
        await self._hang_if_silent(request)
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        fields = self._describe(request)
        if self.faults.sheds or self.in_flight >= self._settings.slots:
            self._runs.record("shed", request_id, **fields)
            return web.json_response(
                {"shed": True}, status=503, headers={"Retry-After": "1"}
            )
        self._enter()
        self._runs.record("started", request_id, **fields)
        if CRASH_HEADER in request.headers:
            os._exit(_CRASH_STATUS)
        event = "cancelled"
        try:
            answer = await self._run(request, request_id)
            await self._hang_if_silent(request)
            event = "done"
            return answer
        finally:
            self._runs.record(event, request_id, **fields)
            self._leave()

    def _describe(self, request: web.Request) -> dict[str, str]:
        return {
            "key": request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            "attempt_id": request.headers.get(ATTEMPT_ID_HEADER, ""),
            "at": self.address,
            "path": request.path,
        }

    async def _run(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        body = await request.read()
        work_s = self._compute_work_s(request)
        deadline_ms = request.headers.get(DEADLINE_HEADER)
        if deadline_ms is not None and float(deadline_ms) / 1000 < work_s:
            await asyncio.sleep(max(0.0, float(deadline_ms) / 1000))
            return web.json_response({"deadline": True}, status=504)
        await asyncio.sleep(work_s)
        if self.faults.breaks and request.transport is not None:
            request.transport.abort()
        status = await self._caller.call(request)
        if status >= 400:
            return web.json_response({"nested": status}, status=502)
        if "bytes" in request.query:
            return await self._send_download(request, request_id)
        return web.json_response(
            {
                "request_id": request_id,
                "service": self._settings.service,
                "at": self.address,
                "path": request.path,
                "body_sha256": hashlib.sha256(body).hexdigest(),
            }
        )

    async def _send_download(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        total = int(request.query["bytes"])
        rate = float(request.query.get("rate", _DEFAULT_RATE))
        answer = web.StreamResponse(headers={"Content-Length": str(total)})
        await answer.prepare(request)
        began = time.monotonic()
        sent = 0
        for chunk in content.generate_chunks(request_id, total):
            await answer.write(chunk)
            await self._hang_if_silent(request)
            sent += len(chunk)
            ahead_s = sent / rate - (time.monotonic() - began)
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
        await answer.write_eof()
        return answer

    def _compute_work_s(self, request: web.Request) -> float:
        if "work_ms" in request.query:
            work_ms = float(request.query["work_ms"])
        else:
            prefixes = self._settings.work_ms
            fitting = [p for p in prefixes if request.path.startswith(p)]
            work_ms = prefixes[max(fitting, key=len)] if fitting else 0.0
        age_s = time.monotonic() - self._started
        if age_s < self._settings.cold_start_s:
            work_ms *= self._settings.cold_factor
        return work_ms * self.faults.slow_factor / 1000

    async def _hang_if_silent(self, request: web.Request) -> None:
        """Never returns on a connection that has gone silent."""
        if request.transport in self._silent:
            await asyncio.Event().wait()

    def _enter(self) -> None:
        self.in_flight += 1
        self._idle.clear()
        self._note_load()

    def _leave(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()
        self._note_load()

    def _note_load(self) -> None:
        now = time.monotonic()
        oldest = now - 2 * self.faults.load_lag_s
        while self._load_history and self._load_history[0][0] < oldest:
            self._load_history.popleft()
        load = self.in_flight / self._settings.slots
        self._load_history.append((now, load))
