"""Bodies for a backend server that does not read them at once."""

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
# Twice the time after which the operating system breaks a connection that takes
# nothing, and the next of its probes, in seconds.
_PAUSE_S = 1.5
_PLAN = builders.build_plan(large=True, deadline_s=6 * builders.GUARD_S)


class Server:
    """A server that begins late to read.

    Attributes:
        port: Where it listens.
        early: True if it answers before it has read a body.
        read_on: Set when it goes on to read after such an answer.
    """

    def __init__(self) -> None:
        """Takes connections; nothing is read."""
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self.early = False
        self.read_on = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def go_on(self) -> None:
        """Reads what has come and answers with the length of each body."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket
        )

    def close(self) -> None:
        """Takes no more connections."""
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
                found = head.lower().partition(b"content-length:")[2]
                length = int(found.split()[0]) if found else 0
                text = str(length).encode()
                if self.early:
                    writer.write(_ANSWER % (len(text), text))
                    await self.read_on.wait()
                await reader.readexactly(length)
                if not self.early:
                    writer.write(_ANSWER % (len(text), text))
        writer.close()


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """A backend server takes its time before it reads a body."""

    @contextlib.asynccontextmanager
    async def run_node(self) -> AsyncIterator[tuple[builders.Node, Server]]:
        """Runs a daemon beside a server that does not read yet."""
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
        """The caller gets the answer to its body."""
        async with (
            self.run_node() as (node, server),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(
                client.put(node.url + "/x", data=bytes(size))
            )
            await asyncio.wait((call,), timeout=_PAUSE_S)
            await server.go_on()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.text(), str(size))

    async def test_upload_to_a_server_that_pauses(self) -> None:
        """The caller's upload arrives, however long the server pauses.

        The buffers between are full, and the server's window is closed. To
        the operating system this is a connection that takes nothing; broken
        for that, a sound server looks as if it had crashed.
        """
        await self.check_pause(4 * 1024 * 1024)

    async def test_longest_body_that_is_held(self) -> None:
        """The caller gets its answer, though a limit holds for its call.

        The buffers between have room for the longest body that is held.
        """
        await self.check_pause(bodies.MAX_BUFFERED_BYTES)

    async def test_call_after_an_upload_that_is_not_read_yet(self) -> None:
        """The second caller gets its answer, long before its deadline.

        The server answers an upload before it has read it, keeps the
        connection and reads on later. A call sent after that body waits behind
        it until the server has read it.
        """
        async with (
            self.run_node() as (node, server),
            builders.open_client() as client,
        ):
            server.early = True
            await server.go_on()
            size = 512 * 1024
            answer = await client.put(node.url + "/x", data=bytes(size))
            self.assertEqual(await answer.text(), str(size))
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.status, 200)
            server.read_on.set()
