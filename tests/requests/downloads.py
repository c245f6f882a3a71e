"""Downloads for tests of the data path."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from tests.requests import builders


class SlowDownload:
    """A download whose caller does not read the answer at first.

    The last bytes of the answer therefore stay in the daemon's write buffer.
    The class contains both the caller and the handler of the backend server.

    Attributes:
        length: Number of bytes that the backend server sent.
    """

    _CHUNK = bytes(8 * 1024)

    def __init__(self, node: builders.Node):
        self.length = 0
        self._node = node

    async def request(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Requests the download over a connection with small receive buffers.

        Returns:
            The reader and the writer of the caller's connection.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = self._node.proxy.caller_port
        await loop.sock_connect(sock, ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        writer.write(
            b"GET /kassa/archive HTTP/1.1\r\nHost: a\r\n"
            b"Connection: close\r\n\r\n"
        )
        return reader, writer

    async def send(self, request: web.BaseRequest) -> web.StreamResponse:
        """Sends chunks until the daemon's write buffer is not empty.

        It is the handler of the backend server.
        """
        answer = web.StreamResponse()
        await answer.prepare(request)
        while not self._get_buffered_bytes():
            await answer.write(self._CHUNK)
            self.length += len(self._CHUNK)
            # Lets the daemon read the chunk and write it to the caller.
            for _ in range(10):
                await asyncio.sleep(0)
        await answer.write_eof()
        return answer

    async def wait_until_held_back(self) -> None:
        """Waits until the call has ended, with a non-empty write buffer.

        The buffer contains the last bytes of the answer, which the daemon has
        not written to the socket yet.
        """
        while self._node.proxy.in_flight or not self.length:
            await asyncio.sleep(0)
        assert self._get_buffered_bytes()

    def _get_buffered_bytes(self) -> int:
        return sum(
            transport.get_write_buffer_size()
            for transport in self._node.list_transports()
        )
