"""Consumers that speak HTTP/1.1 over their own connections."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time
from typing import TYPE_CHECKING

from review.lib import deployment

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass
class Request:
    """A request, and its answer.

    Attributes:
        path: Its path.
        method: Its method.
        headers: Headers besides those of every request.
        body: Its body.
        deadline_ms: X-Deadline-Ms.
        attempt_id: Its X-Attempt-Id.
        sent_at: When it was sent, in seconds of the monotonic clock.
        status: Status of the answer; 0: no complete answer arrived.
        answer_headers: Headers of the answer.
        answer: Body of the answer.
        ended_at: When the whole answer had arrived, or the connection ended.
    """

    path: str
    method: str = "GET"
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""
    deadline_ms: int = 5000
    attempt_id: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(8)
    )
    sent_at: float = 0.0
    status: int = 0
    answer_headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b""
    ended_at: float = 0.0

    def encode(self) -> bytes:
        """Returns the bytes of the request."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: desk.example",
            f"X-Attempt-Id: {self.attempt_id}",
            f"X-Deadline-Ms: {self.deadline_ms}",
            *(f"{name}: {value}" for name, value in self.headers),
        ]
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Connection:
    """A connection to a daemon's outbound address, kept for many requests.

    Attributes:
        closed: True once the daemon has closed it.
    """

    def __init__(self, daemon: deployment.Daemon, record: deployment.Record):
        """Sets the daemon; `open` connects."""
        self.closed = False
        self._daemon = daemon
        self._record = record
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def open(self) -> None:
        """Connects."""
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                self._daemon.address, self._daemon.outbound
            )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def send(self, *requests: Request) -> None:
        """Sends requests without waiting for answers."""
        for request in requests:
            request.sent_at = time.monotonic()
            self._record.add(
                f"consumer at {self._daemon.address} sends"
                f" {request.attempt_id} {request.method} {request.path}"
            )
        self._writer.write(b"".join(map(Request.encode, requests)))

    async def receive(self, request: Request) -> bool:
        """Reads the answer to a request; returns whether it was complete."""
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                complete = await self._read_answer(request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.add(
                f"consumer: {request.attempt_id} {type(error).__name__}"
            )
            self.closed = True
            request.ended_at = time.monotonic()
            return False
        request.ended_at = time.monotonic()
        text = f"gets {request.status}" if complete else "gets no answer"
        self._record.add(f"consumer: {request.attempt_id} {text}")
        return complete

    async def _read_answer(self, request: Request) -> bool:
        lines = await deployment.read_head(self._reader)
        if not lines:
            self.closed = True
            return False
        status = int(lines[0].split()[1])
        headers = dict(deployment.parse_headers(lines[1:]))
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await deployment.read_body(
                self._reader, list(headers.items())
            )
        elif "content-length" in headers:
            body = await self._reader.readexactly(
                int(headers["content-length"])
            )
        else:
            body = await self._reader.read(-1)
            self.closed = True
        if headers.get("connection", "").lower() == "close":
            self.closed = True
        request.status = status
        request.answer_headers = headers
        request.answer = body
        return True


async def send(
    daemon: deployment.Daemon, record: deployment.Record, request: Request
) -> None:
    """Sends a request over a new connection and waits for its answer."""
    connection = Connection(daemon, record)
    try:
        await connection.open()
    except (OSError, TimeoutError):
        record.add(f"consumer: {request.attempt_id} cannot connect")
        return
    connection.send(request)
    await connection.receive(request)
    connection.close()
