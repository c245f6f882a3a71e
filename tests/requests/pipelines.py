"""Callers that send several requests over one connection, for tests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


def build_request(
    path: str, method: str = "GET", headers: str = "", body: str = ""
) -> bytes:
    """Builds a request for kassa.

    Args:
        path: Path behind the name of the service.
        method: HTTP method.
        headers: Further header lines, each with its line end.
        body: The body.
    """
    if body:
        headers += f"Content-Length: {len(body)}\r\n"
    return (
        f"{method} /kassa{path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n{body}"
    ).encode()


class Connection:
    """Connection of a caller.

    Attributes:
        reader: Receives the answers.
        writer: Sends the requests.
        answers: Answers received by `read_answers`.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.answers: list[tuple[int, bytes]] = []

    async def read_answer(self) -> tuple[int, bytes] | None:
        """Returns status and body of an answer; None: the connection ended."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            if fields.get("transfer-encoding") == "chunked":
                body = await self._read_chunks()
            else:
                length = int(fields.get("content-length", "0"))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(lines[0].split()[1]), body

    async def read_answers(self) -> list[tuple[int, bytes]]:
        """Returns all answers until the end of the connection."""
        while (answer := await self.read_answer()) is not None:
            self.answers.append(answer)
        return self.answers

    async def _read_chunks(self) -> bytes:
        body = b""
        while size := int(await self.reader.readuntil(b"\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body


@contextlib.asynccontextmanager
async def connect(node: builders.Node) -> AsyncIterator[Connection]:
    """Opens a connection to the caller port, for `TEST_TIMEOUT_S` at most."""
    async with asyncio.timeout(builders.TEST_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.proxy.caller_port
        )
        try:
            yield Connection(reader, writer)
        finally:
            writer.transport.abort()
