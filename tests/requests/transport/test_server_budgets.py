"""Tests of connections that share the budgets of a process."""

from __future__ import annotations

import asyncio
import gc
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.ingress import ingress as ingresses
from merlintrestle.ingress import limits
from merlintrestle.ingress import memory
from merlintrestle.requests.transport import pipelining
from merlintrestle.requests.transport import request_handlers
from merlintrestle.requests.transport import sender_limits
from tests.requests import builders

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_HALF_UPLOAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
    + b"x" * 50_000
)


_HALF_HEAD = b"GET / HTTP/1.1\r\nHo"


class ServerBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ingress = ingresses.Ingress(
            limits.ProcessLimits(memory_bytes=4_000_000, descriptors=1000)
        )
        self.release = asyncio.Event()
        self.server = pipelining.Server(
            self.answer, self.ingress, "callers", max_connections=5
        )
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Reads the body; waits for `release` at the path "/wait"."""
        await request.read()
        if request.path == "/wait":
            await self.release.wait()
        return web.Response(text="whole")

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection that is closed after the test."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def wait_until_held(self, size: int) -> None:
        """Waits until as many bytes are held."""
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            while self.ingress.memory.used < size:
                await asyncio.sleep(0.01)

    async def test_silent_connections_make_room_for_new_ones(self) -> None:
        """Guards against a port whose connections are all taken."""
        silent = [await self.connect() for _ in range(8)]
        reader, writer = await self.connect()
        writer.write(_REQUEST)
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            self.assertIn(b" 200 ", await reader.readline())
            self.assertEqual(await silent[0][0].read(), b"")
        self.assertLessEqual(self.server.open_count, 5)

    async def test_running_requests_are_not_ended_for_new_ones(self) -> None:
        """Guards against answers that are lost as others connect."""
        running = [await self.connect() for _ in range(5)]
        for _, writer in running:
            writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.wait_until_held(5 * memory.REQUEST_BYTES)
        refused, _ = await self.connect()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            with self.assertRaises(ConnectionError):
                if not await refused.read():
                    raise ConnectionError
            self.release.set()
            for reader, _ in running:
                self.assertIn(b" 200 ", await reader.readline())

    async def test_all_that_is_held_is_given_back(self) -> None:
        """Guards against budgets that shrink with each client that leaves."""
        for sent in (_REQUEST, _HALF_UPLOAD, _REQUEST[:20], 3 * _REQUEST):
            _, writer = await self.connect()
            writer.write(sent)
            await self.wait_until_held(1)
            writer.transport.abort()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                while self.ingress.memory.used:
                    await asyncio.sleep(0.01)
        self.assertEqual(self.ingress.memory.used, 0)

    async def test_stopped_uploads_make_room(self) -> None:
        """Guards against memory that uploads fill which never end."""
        for _ in range(4):
            _, writer = await self.connect()
            writer.write(_HALF_UPLOAD)
        await self.wait_until_held(4 * 50_000)
        with mock.patch.multiple(memory, STOPPED_S=0.0):
            await asyncio.sleep(0.06)
            self.ingress.memory.change(self.ingress.memory.limit)
            reader, writer = await self.connect()
            writer.write(_REQUEST)
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                self.assertIn(b" 200 ", await reader.readline())

    async def test_requests_that_arrived_are_not_ended_for_memory(self) -> None:
        """Guards against payouts that run and whose connection is ended.

        Many small requests come, for which there is no room. An idle connection
        is closed for them, and they wait.
        """
        idle_reader, idle_writer = await self.connect()
        idle_writer.write(_REQUEST)
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            await idle_reader.readuntil(b"whole")
        running = [await self.connect() for _ in range(2)]
        for _, writer in running:
            writer.write(
                b"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n"
                b"\r\n" + b"x" * 60_000
            )
        await self.wait_until_held(2 * 60_000)
        self.ingress.memory.change(self.ingress.memory.limit)
        reader, writer = await self.connect()
        writer.write(_REQUEST)
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            self.assertEqual(await idle_reader.read(), b"")
            # Several searches for what can be ended.
            await asyncio.sleep(0.2)
            self.ingress.memory.change(-self.ingress.memory.limit)
            self.release.set()
            for running_reader, _ in [*running, (reader, writer)]:
                self.assertIn(b" 200 ", await running_reader.readline())

    async def run_with_half_behind(
        self, *halves: bytes
    ) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """Runs requests with a part of another one behind each."""
        running = [await self.connect() for _ in halves]
        for half, (_, writer) in zip(halves, running, strict=True):
            writer.write(b"POST /wait HTTP/1.1\r\nHost: a\r\n\r\n" + half)
        await self.wait_until_held(len(halves) * memory.REQUEST_BYTES)
        return running

    async def check_answered(
        self, *running: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> None:
        """Checks that the answers arrive once the requests may end."""
        self.release.set()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            for reader, _ in running:
                self.assertIn(b" 200 ", await reader.readline())

    async def test_half_request_behind_is_not_ended_for_memory(self) -> None:
        """Guards against payouts that are cut for what stopped behind them."""
        running = await self.run_with_half_behind(_HALF_HEAD, _HALF_UPLOAD)
        with mock.patch.multiple(memory, STOPPED_S=0.0):
            await asyncio.sleep(0.06)
            self.ingress.memory.change(self.ingress.memory.limit)
            reader, writer = await self.connect()
            writer.write(_REQUEST)
            # Several searches for what can be ended.
            await asyncio.sleep(0.2)
            self.ingress.memory.change(-self.ingress.memory.limit)
        await self.check_answered((reader, writer), *running)

    async def test_half_request_behind_is_not_ended_for_others(self) -> None:
        """Guards against payouts that are cut as others connect."""
        halves = [
            _HALF_HEAD,
            _HALF_UPLOAD,
            _HALF_HEAD,
            _HALF_UPLOAD,
            _HALF_HEAD,
        ]
        running = await self.run_with_half_behind(*halves)
        with mock.patch.multiple(memory, STOPPED_S=0.0):
            await asyncio.sleep(0.06)
            refused, _ = await self.connect()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                with self.assertRaises(ConnectionError):
                    if not await refused.read():
                        raise ConnectionError
        await self.check_answered(*running)

    async def test_bytes_that_wait_for_their_turn_are_bounded(self) -> None:
        """Guards against a connection that is read on while it waits."""
        with mock.patch.object(
            self.ingress.loop_time, "try_start", return_value=False
        ):
            _, writer = await self.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 300_000
            )
            waiting = 0
            for _ in range(50):
                await asyncio.sleep(0.01)
                for connection in self.server.list_connections():
                    waiting = max(waiting, len(connection._pending))
        self.assertGreater(waiting, 0)
        self.assertLess(waiting, 300_000)

    async def test_time_for_headers_starts_with_each_request(self) -> None:
        """Guards against 408 to a caller who always sends the next request."""
        reader, writer = await self.connect()
        half = len(_REQUEST) // 2
        writer.write(_REQUEST[:half])
        with mock.patch.object(
            self.server,
            "get_limits",
            lambda: sender_limits.SenderLimits(header_timeout_s=0.5),
        ):
            for _ in range(8):
                await asyncio.sleep(0.1)
                writer.write(_REQUEST[half:] + _REQUEST[:half])
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    head = await reader.readuntil(b"whole")
                self.assertIn(b" 200 ", head)
                self.server.end_overdue(self.server.get_time())

    async def test_cancelled_requests_leave_no_frames(self) -> None:
        """Guards against memory that only the garbage collector frees."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(5):
            _, writer = await self.connect()
            writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
            await self.wait_until_held(memory.REQUEST_BYTES)
            writer.transport.abort()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                while self.server.connections:
                    await asyncio.sleep(0.01)
        left = [
            found
            for found in gc.get_objects()
            if type(found) is web.BaseRequest
            or isinstance(found, request_handlers.RequestHandler)
        ]
        self.assertEqual(left, [])
