"""Tests of unsolicited answers on idle connections."""

from __future__ import annotations

import asyncio
import unittest

from tests.requests import builders

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
_TIMED_OUT = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 4\r\n\r\nlate"


class UnsolicitedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A backend server that sends an unsolicited answer."""

    def setUp(self) -> None:
        self.may_send_unsolicited = asyncio.Event()
        self.unsolicited_sent = asyncio.Event()
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with the path, and sends one unsolicited answer."""
        self.connections += 1
        first = self.connections == 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                path = head.split()[1]
                writer.write(_ANSWER % (len(path), path))
                if first:
                    await self.may_send_unsolicited.wait()
                    writer.write(_TIMED_OUT)
                    await writer.drain()
                    self.unsolicited_sent.set()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    async def test_unsolicited_answer(self) -> None:
        """The second caller gets its own answer.

        After the first answer, while its connection is idle, the backend server
        sends another one: because of a timeout, or because it answers twice.
        If it were read as the answer to the next call on that connection, it
        and every later answer would go to the wrong caller.
        """
        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
            answer = await client.get(node.url + "/1")
            self.assertEqual(await answer.read(), b"/1")
            self.may_send_unsolicited.set()
            await self.unsolicited_sent.wait()
            for _ in range(10):
                # The bytes have arrived; the daemon reads them.
                await asyncio.sleep(0)
            for path in ("/2", "/3"):
                answer = await client.get(node.url + path)
                self.assertEqual(await answer.text(), path)
            server.close()
