"""Connections of the HTTP client library, opened by the event loop alone."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, NamedTuple

import aiohttp

# Longest time for one body to arrive, in seconds: one that comes byte by byte
# holds up no caller for ever. A link of 0.4 MB/s carries 4 MB in it.
_BODY_TIMEOUT_S = 10.0


class TcpKeepalive(NamedTuple):
    """When a connection that gives no sign is broken by the operating system.

    Attributes:
        idle_s: Quiet time before the other end is first asked, in seconds.
        interval_s: Time between two questions, in seconds.
        probe_count: How many of them go without an answer.
        user_timeout_ms: Longest time for which what was sent may stay
            unacknowledged, in ms.
    """

    idle_s: int
    interval_s: int
    probe_count: int
    user_timeout_ms: int


class Connector(aiohttp.TCPConnector):
    """Opens plain connections to IP numbers, each a new one or a pooled one.

    The library opens a socket itself and hands it to the event loop. If the
    task is cancelled just then, uvloop closes the file and the socket object
    closes it once more, when another connection may have its number: that
    caller gets another's answer, or the process ends with EBADF. Connections
    that the event loop opens itself have one owner.
    """

    def __init__(
        self, force_close: bool = False, silence: TcpKeepalive | None = None
    ):
        """Sets whether each call has a connection of its own."""
        super().__init__(limit=0, force_close=force_close, use_dns_cache=False)
        self._silence = silence

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
                opened = await connect(*args, host, port)
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                raise
            raise client_error(req.connection_key, error) from error
        if self._silence is not None:
            set_keepalive(opened[0], self._silence)
        return opened


def set_keepalive(
    transport: asyncio.BaseTransport, silence: TcpKeepalive
) -> None:
    """Has the operating system break a connection that gives no sign."""
    opened = transport.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, silence.idle_s),
        (socket.TCP_KEEPINTVL, silence.interval_s),
        (socket.TCP_KEEPCNT, silence.probe_count),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    set_user_timeout(transport, silence.user_timeout_ms)


def set_user_timeout(transport: asyncio.BaseTransport, limit_ms: int) -> None:
    """Has the operating system break a connection that takes nothing more."""
    opened = transport.get_extra_info("socket")
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


async def read_body(
    answer: aiohttp.ClientResponse, limit: asyncio.Timeout, pause_s: float
) -> bytes:
    """Reads a body for as long as its bytes keep coming.

    Args:
        answer: The answer.
        limit: Bounds the call; put off with each part that comes.
        pause_s: Longest wait for the next part, in seconds.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _BODY_TIMEOUT_S
    limit.reschedule(min(loop.time() + pause_s, ends_at))
    parts = []
    async for part in answer.content.iter_any():
        parts.append(part)
        limit.reschedule(min(loop.time() + pause_s, ends_at))
    return b"".join(parts)
