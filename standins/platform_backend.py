"""Stand-in of a backend server of the users' platform, by its pages."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from standins import process

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_ids = itertools.count(1)


class PlatformBackendStandin:
    """A backend server; each start of one has another id.

    Attributes:
        instance_id: Its id.
        port: Its port; known after `start`.
        executed_attempts: Ids of the attempts that it ran, in order.
        received_headers: Headers of the requests that it got, in order.
        handler: Answers what it runs; the test may replace it.
        rejects_requests: Refuses every request as not run.
        version: Version of its software.
    """

    def __init__(
        self,
        service: str,
        zone: str = "noord",
        slots: int = 12,
        version: str = "v1",
    ):
        self.instance_id = f"i-{next(_ids):08x}"
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
        self._sequence = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle)
        self._runner, self.port = await process.serve(
            application,
            self.port,
            handler_cancellation=True,
            shutdown_timeout=0.05,
        )

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def send_heartbeat(
        self,
        heartbeat_address: str,
        state: str = "ready",
        sequence: int | None = None,
    ) -> int:
        """Announces itself to a daemon; returns the status of the answer."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{process.HOST}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self._sequence if sequence is None else sequence,
        }
        path = f"/merlintrestle/Instances.Heartbeat/{self.instance_id}"
        return await _post(f"http://{heartbeat_address}{path}", body)

    async def send_leave(self, heartbeat_address: str) -> int:
        """Says that it takes no new work; returns the status of the answer."""
        path = f"/merlintrestle/Instances.Leave/{self.instance_id}"
        return await _post(f"http://{heartbeat_address}{path}", {})

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answers with a signature and a body."""
        return web.Response(
            body=b"whole", headers=self.build_answer_headers(request)
        )

    def build_answer_headers(self, request: web.Request) -> dict[str, str]:
        """Returns the headers of an answer of its own."""
        return {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": f"sig-{self.instance_id}",
            "X-Served-By": self.instance_id,
            "X-Server-Load": f"1,0,{self.slots}",
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health":
            return self._answer_status()
        self.received_headers.append(dict(request.headers))
        wanted = request.headers.get("X-Target-Instance", self.instance_id)
        if wanted != self.instance_id:
            return web.Response(status=421)
        if self.rejects_requests:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.executed_attempts.append(request.headers["X-Attempt-Id"])
        return await self.handler(request)

    def _answer_status(self) -> web.Response:
        return web.Response(
            status=503 if self.rejects_requests else 200,
            headers={
                "X-Served-By": self.instance_id,
                "X-Server-Load": f"0,0,{self.slots}",
            },
        )


async def _post(url: str, body: dict[str, object]) -> int:
    async with (
        asyncio.timeout(5),
        aiohttp.ClientSession() as session,
        session.post(url, json=body) as answer,
    ):
        await answer.read()
        return answer.status
