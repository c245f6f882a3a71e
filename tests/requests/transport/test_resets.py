"""Tests of answers whose connections are reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING
import unittest

import aiohttp
import multidict
import uvloop

from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import pool as pools

if TYPE_CHECKING:
    from collections.abc import Iterator

_LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
# Value of SO_LINGER with which the close of a connection resets it.
_LINGER_RESET = struct.pack("ii", 1, 0)
_HALF = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"


@contextlib.contextmanager
def _listen() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        yield listener


async def _read_answer(listener: socket.socket, reset: bool) -> bytes:
    """Returns the body of an answer without a length.

    Its bytes and the end of its connection are there before the event loop
    reads either.

    Args:
        listener: Accepts the connection of the call.
        reset: Whether the connection is reset instead of closed.
    """
    loop = asyncio.get_running_loop()
    pool = pools.Pool(loop)
    host, port = listener.getsockname()
    connection = await pool.open(f"{host}:{port}")
    server, _ = await loop.sock_accept(listener)
    call = asyncio.create_task(
        connection.call(
            "GET", "/", multidict.CIMultiDict(), bodies.Body(b"", 0)
        )
    )
    await loop.sock_recv(server, 4096)
    server.setblocking(True)
    server.sendall(_HALF)
    if reset:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    server.close()
    answer = await call
    return await answer.content.read()


class ResetTest(unittest.TestCase):
    """An answer that ends with its connection, on each event loop."""

    def test_reset_answer_does_not_look_whole(self) -> None:
        """Guards against half an answer that its caller takes for whole."""
        for new_loop in _LOOPS:
            with (
                self.subTest(new_loop=new_loop),
                _listen() as listener,
                asyncio.Runner(loop_factory=new_loop) as runner,
                self.assertRaises(aiohttp.ClientError),
            ):
                runner.run(_read_answer(listener, reset=True))

    def test_closed_answer_is_whole(self) -> None:
        """Guards against sound answers that are taken for truncated."""
        for new_loop in _LOOPS:
            with (
                self.subTest(new_loop=new_loop),
                _listen() as listener,
                asyncio.Runner(loop_factory=new_loop) as runner,
            ):
                body = runner.run(_read_answer(listener, reset=False))
                self.assertEqual(body, b"half")
