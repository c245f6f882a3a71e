"""Tests of several requests in flight on one connection of a caller."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from tests.requests import builders
from tests.requests import pipelines

_GARBAGE = b"\x16\x03\x01\x02\x00\x01\r\n\r\n"


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """A daemon whose backend server answers when the test allows it."""

    def setUp(self) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.running: set[str] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers with the path, for a gated path once its gate is open."""
        path = request.path
        self.running.add(path)
        try:
            if path in self.gates:
                await self.gates[path].wait()
            return web.Response(text=path)
        finally:
            self.running.discard(path)

    def add_gates(self, *paths: str) -> None:
        """Closes the gates of these paths."""
        self.gates.update((path, asyncio.Event()) for path in paths)

    async def wait_for_running(self, *paths: str) -> None:
        """Waits until exactly these requests run at the backend server."""
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            while self.running != set(paths):
                await asyncio.sleep(0.001)

    async def test_repeatable_requests_run_concurrently(self) -> None:
        """Guards against eight slow calls that take eight times as long."""
        paths = [f"/{number}" for number in range(8)]
        self.add_gates(*paths)
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            for path in paths:
                connection.writer.write(pipelines.build_request(path))
            await self.wait_for_running(*paths)
            for path in reversed(paths):
                self.gates[path].set()
            for path in paths:
                answer = await connection.read_answer()
                self.assertEqual(answer, (200, path.encode()))

    async def test_bytes_behind_a_request_that_are_no_request(self) -> None:
        """Guards against valid requests that fail for what follows them."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(pipelines.build_request("/1") + _GARBAGE)
            answers = await connection.read_answers()
        self.assertEqual(answers[0], (200, b"/1"))
        self.assertEqual([status for status, _ in answers], [200, 400])
        self.assertEqual(node.served, [("GET", "/1")])

    async def test_request_behind_one_that_closes(self) -> None:
        """Guards against a last request that fails for what follows it."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(
                pipelines.build_request("/1", headers="Connection: close\r\n")
                + pipelines.build_request("/2")
            )
            answers = await connection.read_answers()
        self.assertEqual(answers, [(200, b"/1")])
        self.assertEqual(node.served, [("GET", "/1")])


if __name__ == "__main__":
    unittest.main()
