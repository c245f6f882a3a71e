"""Tests of concurrent attempts, one of which fails."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from tests.requests import builders
from tests.requests import relays

_LATENCY_S = 0.02


class ConcurrentAttemptsTest(unittest.IsolatedAsyncioTestCase):
    async def test_failure_of_a_hedge_does_not_end_the_first_attempt(
        self,
    ) -> None:
        """Guards against a timely answer lost to a broken second attempt."""
        proceed = asyncio.Event()
        served: list[str] = []

        async def work(request: web.BaseRequest) -> web.StreamResponse:
            served.append(request.raw_path)
            if len(served) == 1:
                await proceed.wait()
                return web.Response(body=b"whole")
            asyncio.get_running_loop().call_later(0.1, proceed.set)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        running = builders.build_snapshot(
            {"/": builders.build_plan(latency_s=_LATENCY_S, work_s=0.001)}
        )
        async with relays.run_relayed_nodes(work, count=3, running=running) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            body = await answer.read()
        self.assertEqual(len(served), 2)
        self.assertEqual((answer.status, body), (200, b"whole"))
