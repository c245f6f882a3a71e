"""Tests of the socket options of connections."""

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


def _has_nodelay(transport: asyncio.BaseTransport | None) -> bool:
    assert transport is not None
    sock = transport.get_extra_info("socket")
    return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


async def _exchange() -> tuple[bool, bool]:
    """Sends a request; returns whether client and server have TCP_NODELAY."""
    server_results = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        server_results.append(_has_nodelay(request.transport))
        return web.Response()

    http_server = server.Server(answer)
    await http_server.start("127.0.0.1", 0)
    pool = pools.Pool(asyncio.get_running_loop())
    connection = await pool.open(f"127.0.0.1:{http_server.port}")
    sent_headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    async with asyncio.timeout(10):
        received = await connection.call(
            "GET", "/", sent_headers, bodies.Body(b"", 0)
        )
        await received.content.read()
    client_result = _has_nodelay(connection.transport)
    connection.close()
    await http_server.close()
    return client_result, server_results[0]


class NoDelayTest(unittest.TestCase):
    """Small packets are sent at once.

    Otherwise the end of an answer could wait up to 40 ms until the receiver
    acknowledges its start.
    """

    # The processes set this too: otherwise uvloop would open an io_uring, which
    # stays open when the loop is closed.
    @mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"})
    def test_both_ends_on_each_event_loop(self) -> None:
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
