"""What connections are set to, at either end and on either event loop."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from aiohttp import web
import multidict
import uvloop

from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import server

if TYPE_CHECKING:
    from collections.abc import Callable


def _is_undelayed(transport: asyncio.BaseTransport | None) -> bool:
    assert transport is not None
    opened = transport.get_extra_info("socket")
    return bool(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


async def _exchange() -> tuple[bool, bool]:
    """Sends a request; returns whether its client and server are undelayed."""
    served = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        served.append(_is_undelayed(request.transport))
        return web.Response()

    own = server.Server(answer)
    await own.start("127.0.0.1", 0)
    pool = pools.Pool(asyncio.get_running_loop())
    connection = await pool.open(f"127.0.0.1:{own.port}")
    sent: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    async with asyncio.timeout(10):
        got = await connection.call("GET", "/", sent, bodies.Body(b"", 0))
        await got.content.read()
    asked = _is_undelayed(connection.transport)
    connection.close()
    await own.close()
    return asked, served[0]


class UndelayedTest(unittest.TestCase):
    """Small packets are sent at once.

    The end of an answer would wait up to 40 ms for the other side to
    acknowledge its beginning.
    """

    # As the processes make their loops: a ring that uvloop opens otherwise
    # stays open when the loop is closed.
    @mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"})
    def test_both_ends_are_on_either_event_loop(self) -> None:
        loops: tuple[Callable[[], asyncio.AbstractEventLoop], ...]
        loops = (asyncio.new_event_loop, uvloop.new_event_loop)
        for make_loop in loops:
            with (
                self.subTest(make_loop.__module__),
                asyncio.Runner(loop_factory=make_loop) as runner,
            ):
                self.assertEqual(runner.run(_exchange()), (True, True))


if __name__ == "__main__":
    unittest.main()
