"""A small HTTP/1.1 server and client with control over each byte."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
from typing import Any, NamedTuple
import urllib.parse

_MAX_HEAD_BYTES = 256 * 1024


class Message(NamedTuple):
    """A request or an answer.

    Attributes:
        start: Fields of its first line.
        headers: Headers by name in lower case.
        body: The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path of a request, without the query."""
        return self.start[1].partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters in the query of a request."""
        text = self.start[1].partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Serves one handler, which writes the answers itself.

    Attributes:
        address: Its "ip:port" once it is started.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Binds a port; 0 selects a free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=_MAX_HEAD_BYTES, backlog=1024
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_all(reader, writer)
        finally:
            writer.close()

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                await self._handler(request, writer)
                if writer.is_closing():
                    break


async def read_message(
    reader: asyncio.StreamReader, until_close: bool = False
) -> Message | None:
    """Reads a request or an answer.

    Args:
        reader: The stream.
        until_close: Whether a message without a length ends with the stream.

    Returns:
        The message; None at the end of the stream.

    Raises:
        asyncio.IncompleteReadError: The message is cut.
        ConnectionError: The connection was reset.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    elif until_close:
        body = await reader.read()
    return Message(lines[0].split(" ", 2), headers, body)


def build_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of an answer with a length."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""])
    return head.encode() + body


def build_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    fields = dict(headers)
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
    return head.encode() + body


async def fetch(
    address: str, request: bytes, timeout_s: float = 5.0
) -> Message | None:
    """Sends a request on a new connection.

    Returns:
        The whole answer; None if there was none.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await read_message(reader, until_close=True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def post_json(address: str, path: str, fields: Any) -> int:
    """Posts a JSON body; returns the status, 0 if there was no answer."""
    body = json.dumps(fields).encode()
    headers = {"Host": address, "Content-Type": "application/json"}
    answer = await fetch(
        address, build_request("POST", path, headers, body), 1.0
    )
    return answer.status if answer is not None else 0


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]
