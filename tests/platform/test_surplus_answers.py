"""Answers on a connection in front of the one that a call waits for."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING
import unittest

from tests.platform import fleets

if TYPE_CHECKING:
    from aiohttp import web

_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\n"
_BLOCK_BYTES = 64 * 1024
_MB = 1024 * 1024


class SurplusAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        await self.fleet.start("balie")

    async def send(self, size: int, has_length: bool = True) -> tuple[int, int]:
        """Sends a call whose answer has a surplus answer in front of it.

        Returns:
            The status, and how many bytes of the surplus answer were sent.
        """
        sent = 0

        async def answer(request: web.Request) -> web.StreamResponse:
            nonlocal sent
            transport: Any = request.transport
            length = b"Content-Length: %d\r\n" % size if has_length else b""
            transport.write(_HEAD + length + b"\r\n")
            while sent < size and not transport.is_closing():
                if transport.get_write_buffer_size() < _BLOCK_BYTES:
                    transport.write(b"x" * _BLOCK_BYTES)
                    sent += _BLOCK_BYTES
                await asyncio.sleep(0)
            return await self.fleet.backends[0].answer(request)

        self.fleet.backends[0].handler = answer
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            status, _, _ = await self.fleet.send(deadline_ms=10_000)
        return status, sent

    async def test_a_surplus_answer_is_skipped(self) -> None:
        """Guards against a sound answer that is lost with an earlier one."""
        self.assertEqual(await self.send(_MB), (200, _MB))

    async def test_a_surplus_answer_of_many_bytes_ends_the_call(self) -> None:
        """Guards against an answer without end that is kept in memory."""
        status, sent = await self.send(64 * _MB)
        self.assertEqual(status, 502)
        self.assertLess(sent, 32 * _MB)

    async def test_a_surplus_answer_without_an_end_ends_the_call(self) -> None:
        """Guards against a call that waits for its deadline in vain."""
        status, sent = await self.send(64 * _MB, has_length=False)
        self.assertEqual(status, 502)
        self.assertLess(sent, 32 * _MB)


if __name__ == "__main__":
    unittest.main()
