"""Tests of timeouts while the event loop is blocked."""

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
    """Returns the answer to a call; each connect blocks the event loop."""
    open_connection = pools.Pool.open

    async def open_stalled(self: pools.Pool, *arguments: Any) -> Any:
        stall_s = 1.2 * exchanges._CONNECT_TIMEOUT_S
        asyncio.get_running_loop().call_soon(time.sleep, stall_s)
        return await open_connection(self, *arguments)

    async with (
        builders.run_nodes(1, handler=_answer) as (node,),
        builders.open_client() as client,
    ):
        with mock.patch.object(pools.Pool, "open", open_stalled):
            answer = await client.get(node.url + "/x")
            return answer.status, await answer.read()


class StallTest(unittest.TestCase):
    # The processes set this too: otherwise uvloop would open an io_uring.
    @mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"})
    def test_connection_made_while_the_event_loop_is_blocked(self) -> None:
        """A blocked event loop does not make upstreams appear unreachable."""
        for loop_factory in _LOOPS:
            with (
                self.subTest(loop=loop_factory.__module__),
                asyncio.Runner(loop_factory=loop_factory) as runner,
            ):
                answer = runner.run(_call_over_stalled_connects())
                self.assertEqual(answer, (200, b"whole"))


class TimeoutTest(unittest.IsolatedAsyncioTestCase):
    """A block with a timeout."""

    async def test_endless_wait_is_ended(self) -> None:
        with self.assertRaises(TimeoutError):
            async with timeouts.timeout(0.01):
                await asyncio.Event().wait()

    async def test_completed_block_is_not_cancelled(self) -> None:
        """A block that ends is not cancelled, nor is what runs after it.

        The second block ends after its time is over, but before pending I/O has
        been processed.
        """
        async with timeouts.timeout(0.01):
            pass
        async with timeouts.timeout(0.01):
            time.sleep(0.02)  # noqa: ASYNC251
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)

    async def test_error_of_the_block_is_raised(self) -> None:
        with self.assertRaises(OSError):
            async with timeouts.timeout(1.0):
                raise OSError
