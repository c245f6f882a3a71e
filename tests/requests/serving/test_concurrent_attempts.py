"""Tests of a failed hedge while the first attempt is still running."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from tests.requests import builders
from tests.requests import relays

_LATENCY_TARGET_S = 0.02


class ConcurrentAttemptsTest(unittest.IsolatedAsyncioTestCase):
    async def test_failure_of_a_hedge_does_not_end_the_first_attempt(
        self,
    ) -> None:
        """Guards against a timely answer that is lost as its hedge fails.

        The backend server of the hedge breaks the connection. The first attempt
        is answered shortly afterwards.
        """
        first_may_answer = asyncio.Event()
        served_paths: list[str] = []

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            served_paths.append(request.raw_path)
            if len(served_paths) == 1:
                await first_may_answer.wait()
                return web.Response(body=b"whole")
            asyncio.get_running_loop().call_later(0.1, first_may_answer.set)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        active_snapshot = builders.build_snapshot(
            {
                "/": builders.build_plan(
                    latency_s=_LATENCY_TARGET_S, work_s=0.001
                )
            }
        )
        async with relays.run_relayed_nodes(
            handle, count=3, running=active_snapshot
        ) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            body = await answer.read()
        self.assertEqual(len(served_paths), 2)
        self.assertEqual((answer.status, body), (200, b"whole"))
