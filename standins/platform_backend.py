"""Stand-in for a backend server with the headers of the users' platform."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import NamedTuple, TYPE_CHECKING

import aiohttp
from aiohttp import web

from standins import process

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_POST_TIMEOUT_S = 5
_MAX_HEADER_BYTES = 64 * 1024

_instance_numbers = itertools.count(1)


class Arrival(NamedTuple):
    """A request that arrived at a backend server.

    Attributes:
        at_s: When it arrived, in seconds of the monotonic clock.
        attempt_id: Id of the attempt; empty if not stated.
    """

    at_s: float
    attempt_id: str


class PlatformBackendStandin:
    """A backend server of one instance, as the users' platform documents it.

    Each object has a new instance id, as each start of a backend server does.

    Attributes:
        instance_id: Id of its instance.
        service: Service that it serves.
        zone: Its availability zone.
        version: Version of its software.
        slots: Number of calls that it reports to run concurrently.
        port: Port for calls; set by `start`.
        executed_attempts: Ids of the attempts that it executed, in order.
        received_headers: Headers of the requests that it received, in order.
        rejects_requests: Whether it rejects every request as not executed and
            fails its health checks.
        handler: Answers the requests that it executes; tests may replace it.
        rate_limit: Requests per second that it states to accept from all
            daemons together, as text; empty: no limit.
        leaving: Whether its answers state that it leaves.
        healthy: Whether its health checks succeed.
        arrivals: The requests that arrived, in order.
        sequence: Sequence number of its latest heartbeat.
        started_ms: Start of its process, which its heartbeats state, in ms
            since 1970; 0: they do not state it. A leave never does.
    """

    def __init__(
        self,
        service: str,
        zone: str = "noord",
        slots: int = 12,
        version: str = "v1",
    ):
        self.instance_id = f"i-{next(_instance_numbers):08x}"
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.port = 0
        self.executed_attempts: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.rejects_requests = False
        self.handler: Callable[[web.Request], Awaitable[web.StreamResponse]] = (
            self.answer
        )
        self.rate_limit = ""
        self.leaving = False
        self.healthy = True
        self.arrivals: list[Arrival] = []
        self.started_ms = 0
        self.sequence = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port for calls."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle)
        application.on_response_prepare.append(self._add_notices)
        self._runner, self.port = await process.serve(
            application,
            self.port,
            handler_cancellation=True,
            shutdown_timeout_s=0.05,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            max_headers=_MAX_HEADER_BYTES,
        )

    def replace_process(self) -> None:
        """Continues as a new process, which has another id and no notices."""
        self.instance_id = f"i-{next(_instance_numbers):08x}"
        self.rate_limit = ""
        self.leaving = False
        self.sequence = 0

    async def close(self) -> None:
        """Closes the port for calls."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def send_heartbeat(
        self,
        heartbeat_address: str,
        state: str = "ready",
        sequence: int | None = None,
    ) -> int:
        """Reports its state to a daemon.

        Args:
            heartbeat_address: Address of the daemon for heartbeats, "ip:port".
            state: State to report, such as "ready".
            sequence: Sequence number to send in place of the next one.

        Returns:
            Status of the answer.
        """
        self.sequence += 1
        body: dict[str, object] = {
            "service": self.service,
            "address": f"{process.HOST}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self.sequence if sequence is None else sequence,
        }
        if self.started_ms:
            body["born"] = self.started_ms
        path = f"/merlintrestle/Instances.Heartbeat/{self.instance_id}"
        return await _post(f"http://{heartbeat_address}{path}", body)

    async def send_leave(self, heartbeat_address: str) -> int:
        """Reports to a daemon that it accepts no new requests.

        Args:
            heartbeat_address: Address of the daemon for heartbeats, "ip:port".

        Returns:
            Status of the answer.
        """
        path = f"/merlintrestle/Instances.Leave/{self.instance_id}"
        return await _post(f"http://{heartbeat_address}{path}", {})

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answers a request with a signature and a fixed body."""
        return web.Response(
            body=b"whole", headers=self.build_answer_headers(request)
        )

    def build_answer_headers(self, request: web.Request) -> dict[str, str]:
        """Returns the headers of a signed answer to a request."""
        return {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": f"sig-{self.instance_id}",
            "X-Served-By": self.instance_id,
            # Running calls, waiting calls and slots.
            "X-Server-Load": f"1,0,{self.slots}",
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health":
            return self._answer_health_check()
        self.arrivals.append(
            Arrival(time.monotonic(), request.headers.get("X-Attempt-Id", ""))
        )
        self.received_headers.append(dict(request.headers))
        target_instance_id = request.headers.get(
            "X-Target-Instance", self.instance_id
        )
        if target_instance_id != self.instance_id:
            return web.Response(status=421)
        if self.rejects_requests:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.executed_attempts.append(request.headers["X-Attempt-Id"])
        return await self.handler(request)

    async def _add_notices(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self.rate_limit:
            response.headers["Server-Limit"] = self.rate_limit
        if self.leaving:
            response.headers["Server-Leaving"] = "1"

    def _answer_health_check(self) -> web.Response:
        return web.Response(
            status=200 if self.healthy and not self.rejects_requests else 503,
            headers={
                "X-Served-By": self.instance_id,
                "X-Server-Load": f"0,0,{self.slots}",
            },
        )


async def _post(url: str, body: dict[str, object]) -> int:
    async with (
        asyncio.timeout(_POST_TIMEOUT_S),
        aiohttp.ClientSession() as session,
        session.post(url, json=body) as answer,
    ):
        await answer.read()
        return answer.status
