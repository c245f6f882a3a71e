"""Stand-in for an application upstream, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from stage import recording
from stage import wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_BEAT_S = 1.5
_numbers = itertools.count(1)


class Upstream:
    """A sound upstream, which runs the requests that name its id.

    Attributes:
        instance_id: Id of its incarnation.
        service: Its service.
        runs: Attempt ids of the requests that it began to run, in order.
        headers: Headers of each of them.
        answer: Answers a request that it runs; cases may replace it.
        work_s: How long it works on a request, in seconds.
        running: Number of requests that it runs at present.
    """

    def __init__(self, service: str, record: recording.Record, slots: int = 12):
        self.instance_id = f"i-{next(_numbers):08x}"
        self.service = service
        self.slots = slots
        self.runs: list[str] = []
        self.headers: dict[str, dict[str, str]] = {}
        self.work_s = 0.0
        self.answer: Callable[
            [wire.Message, asyncio.StreamWriter], Awaitable[None]
        ] = self.answer_whole
        self._record = record
        self._sequence = 0
        self.running = 0
        self._server = wire.Server(self._handle)
        self._beats: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Its "ip:port"."""
        return self._server.address

    async def start(self, host: str, port: int) -> None:
        """Opens the port."""
        await self._server.start(host, port)

    def begin_beats(self, control: str) -> None:
        """Sends pings to the daemon beside it, from now on."""
        self._beats = asyncio.create_task(self._beat_always(control))

    async def close(self) -> None:
        """Closes the port and ends the pings."""
        if self._beats is not None:
            self._beats.cancel()
        await self._server.close()

    async def beat(self, control: str) -> int:
        """Sends one ping; returns the status of its answer, 0 if none."""
        self._sequence += 1
        return await wire.post_json(
            control,
            f"/merlintrestle/Instances.Heartbeat/{self.instance_id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._sequence,
            },
        )

    def build_headers(self, request: wire.Message) -> dict[str, str]:
        """Returns the headers of an answer to a request that it ran."""
        attempt = request.headers.get("x-attempt-id", "")
        return {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": f"sig.{attempt}",
            "X-Served-By": self.instance_id,
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }

    async def answer_whole(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request with a success that has a length."""
        if self.work_s:
            await asyncio.sleep(self.work_s)
        body = f"body of {request.headers.get('x-attempt-id')}".encode()
        writer.write(wire.build_answer(200, body, self.build_headers(request)))

    async def _beat_always(self, control: str) -> None:
        while True:
            await self.beat(control)
            await asyncio.sleep(_BEAT_S)

    async def _handle(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.path == "/health":
            headers = {
                "X-Served-By": self.instance_id,
                "X-Server-Load": f"{self.running},0,{self.slots}",
            }
            writer.write(wire.build_answer(200, b"", headers))
            return
        target = request.headers.get("x-target-instance", self.instance_id)
        if target != self.instance_id:
            writer.write(wire.build_answer(421))
            return
        attempt = request.headers.get("x-attempt-id", "")
        if self.running >= self.slots:
            self._record.add("upstream", self.service, "refuses", attempt)
            writer.write(wire.build_answer(503, b"", {"X-Not-Executed": "1"}))
            return
        self._record.add("upstream", self.service, "runs", attempt)
        self.runs.append(attempt)
        self.headers[attempt] = request.headers
        self.running += 1
        try:
            with contextlib.suppress(OSError):
                await self.answer(request, writer)
        finally:
            self.running -= 1
