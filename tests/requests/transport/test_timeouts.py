"""Limits on time while the event loop stands still."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any
import unittest
from unittest import mock

from aiohttp import web
import uvloop

from merlintrestle.requests.transport import exchanges
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import timeouts
from tests.requests import builders

_LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    del request
    return web.Response(body=b"whole")


async def _call_over_stalled_connects() -> tuple[int, bytes]:
    """Returns the answer to a call; the loop stands still in each connect."""
    open_ = pools.Pool.open

    async def hold_up(self: pools.Pool, *arguments: Any) -> Any:
        stall_s = 1.2 * exchanges._CONNECT_S
        asyncio.get_running_loop().call_soon(time.sleep, stall_s)
        return await open_(self, *arguments)

    async with (
        builders.run_nodes(1, handler=_answer) as (node,),
        builders.open_client() as client,
    ):
        with mock.patch.object(pools.Pool, "open", hold_up):
            answer = await client.get(node.url + "/x")
            return answer.status, await answer.read()


class StallTest(unittest.TestCase):
    # As the processes make their loops: uvloop would open a ring otherwise.
    @mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"})
    def test_connection_made_while_the_event_loop_stood_still(self) -> None:
        """Guards against upstreams held for unreachable by the own pause."""
        for loop_factory in _LOOPS:
            with (
                self.subTest(loop=loop_factory.__module__),
                asyncio.Runner(loop_factory=loop_factory) as runner,
            ):
                answer = runner.run(_call_over_stalled_connects())
                self.assertEqual(answer, (200, b"whole"))


class BoundTest(unittest.IsolatedAsyncioTestCase):
    async def test_wait_for_what_never_comes_ends(self) -> None:
        with self.assertRaises(TimeoutError):
            async with timeouts.bound(0.01):
                await asyncio.Event().wait()

    async def test_block_that_ended_is_not_ended_again(self) -> None:
        async with timeouts.bound(0.01):
            pass
        async with timeouts.bound(0.01):
            time.sleep(0.02)  # noqa: ASYNC251
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)

    async def test_error_of_the_block_is_raised(self) -> None:
        with self.assertRaises(OSError):
            async with timeouts.bound(1.0):
                raise OSError
