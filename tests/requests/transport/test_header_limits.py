"""Tests of requests and answers with long headers."""

from __future__ import annotations

import unittest

import aiohttp
from aiohttp import web

from merlintrestle.documents import snapshot
from merlintrestle.requests.transport import sender_limits
from tests.requests import builders
from tests.requests import relays

_LIMIT_BYTES = 16_384
_LONG = "x" * 12_000


async def _echo(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(headers={"X-Long": request.headers.get("X-Long", "")})


class HeaderLimitTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at another daemon's backend server."""

    async def send(self, limit_bytes: int, long: str, count: int = 1) -> int:
        """Returns the status of a request with long headers, or with many.

        Args:
            limit_bytes: Limit that the configuration states.
            long: Value of a header that the backend server returns.
            count: Number of further headers.
        """
        running = builders.build_snapshot()
        running.limits = snapshot.Limits(limit_bytes, 0, 0.0, 0.0)
        async with (
            relays.run_relayed_nodes(_echo, running=running) as (nodes, _, _),
            aiohttp.ClientSession(max_field_size=2 * _LIMIT_BYTES) as client,
        ):
            backend = nodes[1].backend
            backend.get_limits = lambda: sender_limits.SenderLimits(
                2 * _LIMIT_BYTES
            )
            headers = {f"X-{number}": "y" for number in range(count)}
            answer = await client.get(
                nodes[0].url + "/x", headers={"X-Long": long, **headers}
            )
            if answer.status == 200:
                self.assertEqual(answer.headers["X-Long"], long)
            return answer.status

    async def test_header_within_the_stated_limit(self) -> None:
        """Guards against proper requests that are refused with 400."""
        self.assertEqual(await self.send(_LIMIT_BYTES, _LONG), 200)

    async def test_header_beyond_the_limit_is_refused(self) -> None:
        """Guards against headers of any size."""
        self.assertEqual(await self.send(8_000, _LONG), 400)
        self.assertEqual(await self.send(_LIMIT_BYTES, 2 * _LONG), 400)

    async def test_many_headers_reach_another_daemon(self) -> None:
        """Guards against requests refused for the headers between daemons."""
        self.assertEqual(await self.send(_LIMIT_BYTES, "", 95), 200)
