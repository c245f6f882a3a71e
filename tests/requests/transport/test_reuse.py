"""Connections that are used for one call after the other."""

from __future__ import annotations

import asyncio
import unittest

from tests.requests import builders

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
_TIMED_OUT = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 4\r\n\r\nlate"


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    """A backend server that says more than it was asked."""

    def setUp(self) -> None:
        self.unasked = asyncio.Event()
        self.said = asyncio.Event()
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with the path, and once with something nobody asked."""
        self.connections += 1
        first = self.connections == 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                path = head.split()[1]
                writer.write(_ANSWER % (len(path), path))
                if first:
                    await self.unasked.wait()
                    writer.write(_TIMED_OUT)
                    await writer.drain()
                    self.said.set()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    async def test_answer_that_nobody_asked_for(self) -> None:
        """The second caller gets its own answer.

        After the first answer, while its connection waits for the next call,
        the backend server sends another: it gave up waiting, or answers twice.
        Taken for the answer of the next call on that connection, it would go
        to the wrong caller, and every later answer as well.
        """
        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            plain = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            port = plain.sockets[0].getsockname()[1]
            node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
            answer = await client.get(node.url + "/1")
            self.assertEqual(await answer.read(), b"/1")
            self.unasked.set()
            await self.said.wait()
            for _ in range(10):
                # The bytes are there; the daemon reads them.
                await asyncio.sleep(0)
            for path in ("/2", "/3"):
                answer = await client.get(node.url + path)
                self.assertEqual(await answer.text(), path)
            plain.close()
