"""Tests of uploads to a backend server that does not read them at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING
import unittest

from merlintrestle.requests.transport import bodies
from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
# Twice `forwarding._UNACKNOWLEDGED_TIMEOUT_MS`, which is 0.6 s, plus the
# interval to the next TCP window probe. After that timeout the operating system
# closes a connection with unacknowledged data, but only at a window probe.
_PAUSE_S = 1.5
_PLAN = builders.build_plan(large=True, deadline_s=6 * builders.TEST_TIMEOUT_S)


class Server:
    """A server that starts reading late.

    Attributes:
        port: Port on which it listens.
        answers_early: Whether it answers before it has read a body.
        may_read: Set to make it read the body after such an answer.
    """

    def __init__(self) -> None:
        """Accepts connections without reading from them."""
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self.answers_early = False
        self.may_read = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start_reading(self) -> None:
        """Reads all requests and answers with the length of each body."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket
        )

    def close(self) -> None:
        """Stops accepting connections."""
        if self._server is None:
            self._socket.close()
        else:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                value = head.lower().partition(b"content-length:")[2]
                length = int(value.split()[0]) if value else 0
                text = str(length).encode()
                if self.answers_early:
                    writer.write(_ANSWER % (len(text), text))
                    await self.may_read.wait()
                await reader.readexactly(length)
                if not self.answers_early:
                    writer.write(_ANSWER % (len(text), text))
        writer.close()


class SlowReaderUploadTest(unittest.IsolatedAsyncioTestCase):
    """A backend server starts to read a body late."""

    @contextlib.asynccontextmanager
    async def run_node(self) -> AsyncIterator[tuple[builders.Node, Server]]:
        """Runs a daemon with a backend server that does not read yet."""
        running = builders.build_snapshot({"/": _PLAN})
        server = Server()
        try:
            async with builders.run_nodes(1, running=running) as (node,):
                address = f"127.0.0.1:{server.port}"
                node.proxy.backend.announce(
                    "kassa", address, 12, instance_id="i-1"
                )
                yield node, server
        finally:
            server.close()

    async def check_pause(self, size: int) -> None:
        """Checks that the caller of an upload gets its answer."""
        async with (
            self.run_node() as (node, server),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(
                client.put(node.url + "/x", data=bytes(size))
            )
            await asyncio.wait((call,), timeout=_PAUSE_S)
            await server.start_reading()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.text(), str(size))

    async def test_upload_to_a_server_that_pauses(self) -> None:
        """The caller's upload arrives, however long the server pauses.

        The buffers are full, and the receive window of the server is closed, so
        sent data stays unacknowledged. If the operating system closed the
        connection for that, a healthy server would seem to have crashed.
        """
        await self.check_pause(4 * 1024 * 1024)

    async def test_largest_buffered_body(self) -> None:
        """The caller gets its answer, although the server pauses.

        The timeout for unacknowledged data applies to calls whose body is
        buffered. The largest such body fits into the socket buffers, so it is
        acknowledged before the server reads it.
        """
        await self.check_pause(bodies.MAX_BUFFERED_BYTES)

    async def test_call_after_an_upload_that_is_not_read_yet(self) -> None:
        """The second caller gets its answer long before its deadline.

        The server answers an upload before it has read it, keeps the connection
        open and reads the rest later. A call sent over that connection would
        wait until the server has read the body.
        """
        async with (
            self.run_node() as (node, server),
            builders.open_client() as client,
        ):
            server.answers_early = True
            await server.start_reading()
            size = 512 * 1024
            answer = await client.put(node.url + "/x", data=bytes(size))
            self.assertEqual(await answer.text(), str(size))
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.status, 200)
            server.may_read.set()
