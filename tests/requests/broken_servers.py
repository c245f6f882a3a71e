"""Backend servers that send what is no answer, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from typing import NamedTuple, TYPE_CHECKING

import aiohttp

from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Bytes that the server sends on a connection unless it is closed before.
_MAX_BYTES = 64 * 1024 * 1024
_BLOCK_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Flood(NamedTuple):
    """What the server sends.

    Attributes:
        start: Sent once.
        repeated: Sent again and again.
    """

    start: bytes
    repeated: bytes


# Responses whose head or framing does not end, by the part that does not.
ENDLESS_HEADS = {
    "100 Continue": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "103 Early Hints": Flood(
        b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    ),
    "no protocol": Flood(b"", b"\x16\x03\x01\x02"),
    "status line": Flood(b"HTTP/1.1 200 ", b"O"),
    "header lines": Flood(HEAD, b"X-A: b\r\n"),
    "header line": Flood(HEAD + b"X-A: ", b"b"),
    "chunk size": Flood(CHUNKED, b"0"),
    "chunk extension": Flood(CHUNKED + b"2;", b"a"),
    "trailer": Flood(CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"),
}


class FloodServer:
    """Sends a flood on each connection, in threads of its own.

    Attributes:
        address: Its address, "ip:port".
        sent: Bytes sent on each connection until the daemon closed it, or
            `_MAX_BYTES`.
        blocked: Number of connections that the daemon neither read nor closed.
    """

    def __init__(self, flood: Flood):
        self.sent: list[int] = []
        self.blocked = 0
        self._flood = flood
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._threads = [threading.Thread(target=self._accept)]

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[FloodServer]:
        """Accepts connections until the block ends."""
        self._threads[0].start()
        try:
            yield self
        finally:
            # Ends the wait for a connection.
            self._listener.shutdown(socket.SHUT_RDWR)
            await asyncio.to_thread(self._join)
            self._listener.close()

    def _join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                thread = threading.Thread(target=self._send, args=(connection,))
                self._threads.append(thread)
                thread.start()

    def _send(self, connection: socket.socket) -> None:
        repeated = self._flood.repeated
        block = repeated * (_BLOCK_BYTES // len(repeated))
        sent = 0
        connection.settimeout(builders.TEST_TIMEOUT_S)
        with connection:
            try:
                if not connection.recv(_BLOCK_BYTES):
                    return
                connection.sendall(self._flood.start)
                while sent < _MAX_BYTES:
                    sent += connection.send(block)
            except TimeoutError:
                self.blocked += 1
            except OSError:
                pass
            self.sent.append(sent)


async def call_once(answer: bytes, method: str = "GET") -> bytes | None:
    """Returns the body of a success that is made of a server's bytes.

    Args:
        answer: The bytes, after which the server closes the connection.
        method: HTTP method of the call.

    Returns:
        The body; None after a failure or a broken answer.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, builders.run_nodes(1) as (node,):
        node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
        async with builders.open_client() as client:
            with contextlib.suppress(aiohttp.ClientError):
                response = await client.request(method, node.url + "/x")
                body = await response.read()
                return body if response.status < 400 else None
    return None
