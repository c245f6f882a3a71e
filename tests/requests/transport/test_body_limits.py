"""Tests of requests whose body is as large as the limit, or larger."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

import aiohttp
from aiohttp import web

from merlintrestle.documents import snapshot
from tests.requests import builders
from tests.requests import relays

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_LIMIT_BYTES = 200_000


class BodyLimitTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at another daemon's backend server."""

    async def asyncSetUp(self) -> None:
        self.completed_sizes: list[int] = []

    async def receive(self, request: web.BaseRequest) -> web.StreamResponse:
        """Reads a body."""
        self.completed_sizes.append(len(await request.read()))
        return web.Response()

    async def send(self, size: int, chunked: bool) -> int:
        """Sends a request; returns its status."""
        running = builders.build_snapshot()
        running.limits = snapshot.Limits(16_384, _LIMIT_BYTES, 0.0, 0.0)
        async with (
            relays.run_relayed_nodes(self.receive, running=running) as (
                nodes,
                _,
                _,
            ),
            aiohttp.ClientSession() as client,
            client.put(
                nodes[0].url + "/x",
                data=_generate(size) if chunked else b"x" * size,
            ) as answer,
        ):
            return answer.status

    async def test_body_within_the_limit_is_served(self) -> None:
        """Guards against proper uploads that are refused."""
        for chunked in (False, True):
            with self.subTest(chunked=chunked):
                status = await self.send(_LIMIT_BYTES, chunked)
                self.assertEqual(status, 200)
                self.assertEqual(self.completed_sizes.pop(), _LIMIT_BYTES)

    async def test_body_beyond_the_limit_is_not_passed_on(self) -> None:
        """Guards against a limit that is accepted and never applied."""
        for chunked in (False, True):
            with self.subTest(chunked=chunked):
                status = await self.send(_LIMIT_BYTES + 1, chunked)
                self.assertEqual(status, 413)
                self.assertEqual(self.completed_sizes, [])


async def _generate(size: int) -> AsyncIterator[bytes]:
    for _ in range(size // 1000):
        yield b"x" * 1000
    yield b"x" * (size % 1000)
