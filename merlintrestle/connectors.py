"""Connector of the HTTP client that lets the event loop open sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, NamedTuple

import aiohttp

# Bounds the time that a body which arrives byte by byte can block a caller. A
# link of 0.4 MB/s transfers 4 MB within it.
_BODY_TIMEOUT_S = 10.0


class TcpKeepalive(NamedTuple):
    """TCP settings by which the operating system closes a dead connection.

    Attributes:
        idle_s: Idle time before the first keep-alive probe, in seconds.
        interval_s: Time between two probes, in seconds.
        probe_count: Number of unanswered probes that close the connection.
        user_timeout_ms: Longest time for which sent data may stay
            unacknowledged, in ms.
    """

    idle_s: int
    interval_s: int
    probe_count: int
    user_timeout_ms: int


class Connector(aiohttp.TCPConnector):
    """Opens unencrypted connections to IP addresses, pooled or one per call.

    The library opens a socket itself and passes it to the event loop. If the
    task is cancelled at that moment, uvloop closes the file descriptor and the
    socket object closes it a second time, when it may already belong to another
    connection: the caller of that connection gets the answer to another call,
    or the process ends with EBADF. A connection that the event loop opens
    itself has only one owner.
    """

    def __init__(
        self, force_close: bool = False, keepalive: TcpKeepalive | None = None
    ):
        """Initializes the connector.

        Args:
            force_close: Whether to close each connection after one call.
            keepalive: TCP settings of its connections; None: the defaults.
        """
        super().__init__(limit=0, force_close=force_close, use_dns_cache=False)
        self._keepalive = keepalive

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: Any,
        req: Any,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[Any, Any]:
        del kwargs
        host, port = addr_infos[0][4][:2]
        try:
            async with asyncio.timeout(timeout.sock_connect):
                connect: Any = self._loop.create_connection
                connection = await connect(*args, host, port)
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                raise
            raise client_error(req.connection_key, error) from error
        if self._keepalive is not None:
            set_keepalive(connection[0], self._keepalive)
        return connection


def set_keepalive(
    transport: asyncio.BaseTransport, keepalive: TcpKeepalive
) -> None:
    """Makes the operating system close a connection whose peer is dead."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, keepalive.idle_s),
        (socket.TCP_KEEPINTVL, keepalive.interval_s),
        (socket.TCP_KEEPCNT, keepalive.probe_count),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    set_user_timeout(transport, keepalive.user_timeout_ms)


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Makes the operating system close a connection that acknowledges nothing.

    Args:
        transport: The connection.
        timeout_ms: Longest time for which sent data may stay unacknowledged.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def read_body(
    response: aiohttp.ClientResponse, timeout: asyncio.Timeout, gap_s: float
) -> bytes:
    """Reads a body as long as further bytes of it arrive in time.

    Args:
        response: The response that has the body.
        timeout: Timeout of the call; postponed with each chunk.
        gap_s: Longest wait for the next chunk, in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _BODY_TIMEOUT_S
    timeout.reschedule(min(loop.time() + gap_s, deadline))
    chunks = []
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        timeout.reschedule(min(loop.time() + gap_s, deadline))
    return b"".join(chunks)
