"""Tests of calls to backend servers that send heartbeats."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import watchdogs
from tests.requests import builders


class SlowBackendTest(unittest.IsolatedAsyncioTestCase):
    """A daemon with a slow backend server that sends heartbeats."""

    async def test_slow_call_runs_once(self) -> None:
        """The caller gets the answer of the first and only run.

        A call on a pooled connection takes longer than expected, as the backend
        server is slow. Its heartbeats show that it is alive. If the connection
        were considered silent, the run would be aborted and the caller would
        get a 504.
        """
        with mock.patch.object(watchdogs, "MIN_SLOW_CALL_S", 0.02):
            async with (
                builders.run_nodes(1, handler=_answer_slowly) as (node,),
                builders.open_client() as client,
            ):
                node.proxy.backend.instance_id = "i-1"
                for _ in range(2):
                    async with client.get(node.url + "/x") as answer:
                        self.assertEqual(answer.status, 200)
                self.assertEqual(len(node.served), 2)


async def _answer_slowly(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(0.2)
    return web.Response(body=b"slow")
