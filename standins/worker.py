"""Runs the requests of the backend server stand-in."""

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
RATE_LIMIT_HEADER = "Merlintrestle-Rate-Limit"
LEAVING_HEADER = "Merlintrestle-Leaving"
# A request with this header ends the process when it starts to run.
CRASH_HEADER = "Crash"
_CRASH_EXIT_STATUS = 70
_DEFAULT_DOWNLOAD_BYTES_PER_S = 50_000_000


class Settings(NamedTuple):
    """Capacity of a backend server and duration of its work.

    Attributes:
        service: Service that it serves.
        slots: Number of calls that it runs concurrently; others are shed with
            status 503.
        work_ms: Duration of the work in milliseconds by path prefix; the
            longest matching prefix decides, and without one there is no work.
            The query parameter `work_ms` of a request takes precedence.
        cold_start_s: Duration of the cold start in seconds.
        cold_factor: Factor by which work takes longer during the cold start.
    """

    service: str
    slots: int = 12
    work_ms: Mapping[str, float] = {}
    cold_start_s: float = 0.0
    cold_factor: float = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults of a backend server.

    Attributes:
        healthy: Whether the health endpoint reports that it is healthy,
            regardless of its real state.
        reported_load: Load that the load endpoint reports, 0 to 1; None for
            the real load `load_lag_s` ago.
        load_lag_s: Delay of the reported load in seconds.
        slow_factor: Factor by which all work takes longer.
        silent: Whether connections that are open when this fault is set carry
            no answers any more, nor the rest of a download.
        cut: Whether connections that are open when this fault is set are
            aborted; later ones are not.
        breaks: Whether calls do their work and then abort their connection
            unanswered.
        sheds: Whether every call is shed, even if slots are free.
        rate_limit: Calls per second that the answers state to accept from all
            daemons together; None: no limit.
        leaving: Whether the answers state that the backend server leaves.
    """

    healthy: bool = True
    reported_load: float | None = None
    load_lag_s: float = 2.0
    slow_factor: float = 1.0
    silent: bool = False
    cut: bool = False
    breaks: bool = False
    sheds: bool = False
    rate_limit: float | None = None
    leaving: bool = False


class Worker:
    """Runs requests in slots and records each run in a ledger.

    Attributes:
        address: Address for calls, "ip:port".
        faults: Active faults; change them with `set_faults`.
        in_flight: Number of requests that are running.
    """

    def __init__(
        self,
        settings: Settings,
        run_ledger: ledger.Ledger,
        nested_caller: nested_calls.NestedCaller,
    ):
        self.address = ""
        self.faults = Faults()
        self.in_flight = 0
        self._settings = settings
        self._ledger = run_ledger
        self._nested_caller = nested_caller
        self._started_at = time.monotonic()
        self._idle = asyncio.Event()
        self._idle.set()
        self._open_transports: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silenced_transports: set[Any] = set()
        # Pairs of a time in seconds and the load from then on, oldest first. In
        # a deque, the cost of a call does not grow with the length of the
        # history.
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def set_faults(self, new_faults: Faults) -> None:
        """Replaces the active faults."""
        self._silenced_transports = (
            set(self._open_transports) if new_faults.silent else set()
        )
        if new_faults.cut:
            for transport in list(self._open_transports):
                transport.abort()
        self.faults = new_faults

    async def add_notices(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Adds the notices to an answer before it is sent."""
        del request
        if self.faults.rate_limit is not None:
            response.headers[RATE_LIMIT_HEADER] = str(self.faults.rate_limit)
        if self.faults.leaving:
            response.headers[LEAVING_HEADER] = "1"

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()

    def build_load_report(self) -> dict[str, float]:
        """Returns the JSON of the load endpoint, with a load from 0 to 1."""
        if self.faults.reported_load is not None:
            return {"load": self.faults.reported_load}
        latest_at = time.monotonic() - self.faults.load_lag_s
        loads = [
            load
            for measured_at, load in self._load_history
            if measured_at <= latest_at
        ]
        return {"load": loads[-1] if loads else 0.0}

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Runs a request, or sheds it if all slots are taken or `sheds` is set.

        Query parameters of the request set the duration of its work (`work_ms`,
        in milliseconds), ask for a download (`bytes`, at a `rate` in bytes per
        second) and for nested calls (`nested_calls.NEXT_PATHS_PARAMETER`).
        """
        self._open_transports.add(request.transport)
        await self._hang_if_silenced(request)
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        fields = self._build_record_fields(request)
        if self.faults.sheds or self.in_flight >= self._settings.slots:
            self._ledger.record("shed", request_id, **fields)
            return web.json_response(
                {"shed": True}, status=503, headers={"Retry-After": "1"}
            )
        self._start_request()
        self._ledger.record("started", request_id, **fields)
        if CRASH_HEADER in request.headers:
            os._exit(_CRASH_EXIT_STATUS)
        event = "cancelled"
        try:
            answer = await self._run(request, request_id)
            await self._hang_if_silenced(request)
            event = "done"
            return answer
        finally:
            self._ledger.record(event, request_id, **fields)
            self._finish_request()

    def _build_record_fields(self, request: web.Request) -> dict[str, str]:
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
        remaining_ms = request.headers.get(DEADLINE_HEADER)
        if remaining_ms is not None and float(remaining_ms) / 1000 < work_s:
            await asyncio.sleep(max(0.0, float(remaining_ms) / 1000))
            return web.json_response({"deadline": True}, status=504)
        await asyncio.sleep(work_s)
        if self.faults.breaks and request.transport is not None:
            request.transport.abort()
        status = await self._nested_caller.call(request)
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
        total_bytes = int(request.query["bytes"])
        rate_bytes_per_s = float(
            request.query.get("rate", _DEFAULT_DOWNLOAD_BYTES_PER_S)
        )
        answer = web.StreamResponse(
            headers={"Content-Length": str(total_bytes)}
        )
        await answer.prepare(request)
        started_at = time.monotonic()
        sent_bytes = 0
        for chunk in content.generate_chunks(request_id, total_bytes):
            await answer.write(chunk)
            await self._hang_if_silenced(request)
            sent_bytes += len(chunk)
            ahead_s = sent_bytes / rate_bytes_per_s - (
                time.monotonic() - started_at
            )
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
        await answer.write_eof()
        return answer

    def _compute_work_s(self, request: web.Request) -> float:
        if "work_ms" in request.query:
            work_ms = float(request.query["work_ms"])
        else:
            work_ms_by_prefix = self._settings.work_ms
            matching_prefixes = [
                p for p in work_ms_by_prefix if request.path.startswith(p)
            ]
            work_ms = (
                work_ms_by_prefix[max(matching_prefixes, key=len)]
                if matching_prefixes
                else 0.0
            )
        age_s = time.monotonic() - self._started_at
        if age_s < self._settings.cold_start_s:
            work_ms *= self._settings.cold_factor
        return work_ms * self.faults.slow_factor / 1000

    async def _hang_if_silenced(self, request: web.Request) -> None:
        """Hangs for ever if the `silent` fault affects the connection."""
        if request.transport in self._silenced_transports:
            await asyncio.Event().wait()

    def _start_request(self) -> None:
        self.in_flight += 1
        self._idle.clear()
        self._record_load()

    def _finish_request(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()
        self._record_load()

    def _record_load(self) -> None:
        now = time.monotonic()
        oldest_at = now - 2 * self.faults.load_lag_s
        while self._load_history and self._load_history[0][0] < oldest_at:
            self._load_history.popleft()
        load = self.in_flight / self._settings.slots
        self._load_history.append((now, load))
