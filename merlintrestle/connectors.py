"""Connector, TCP keep-alive and body timeouts for the HTTP client."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import Any, NamedTuple

import aiohttp
from aiohttp import client_proto

# Maximum time to read a body, so that a body that arrives byte by byte cannot
# block a caller. It is enough for 4 MB at 0.4 MB/s.
_BODY_TIMEOUT_S = 10.0
# Receive buffer of a connection in the operating system, which counts towards
# the memory of the process and could grow to megabytes otherwise.
_RECEIVE_BUFFER_BYTES = 128 * 1024


class TcpKeepalive(NamedTuple):
    """TCP settings by which the operating system closes a dead connection.

    Attributes:
        idle_s: Idle time before the first keep-alive probe, in seconds.
        interval_s: Time between two probes, in seconds.
        probe_count: Number of unanswered probes that close the connection.
        user_timeout_ms: Maximum time for which sent data may stay
            unacknowledged, in ms.
    """

    idle_s: int
    interval_s: int
    probe_count: int
    user_timeout_ms: int


class _BoundedResponses(client_proto.ResponseHandler):
    """Connection that is aborted if the bytes of one response are too many.

    All bytes count, as a head, informational responses, the framing of chunks
    and a body can all go on without end. The timeout of a call alone is not
    enough: within a second, a fast link brings more than an instance may hold.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_bytes: int):
        super().__init__(loop)
        self._max_bytes = max_bytes
        self._received = 0

    def set_response_params(self, **params: Any) -> None:
        """Begins a response; called by the library for each request."""
        self._received = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Receives bytes, or ends the response if they are too many."""
        self._received += len(data)
        if self._received <= self._max_bytes:
            super().data_received(data)
            return
        problem = f"a response of more than {self._max_bytes} bytes"
        error = aiohttp.ClientPayloadError(problem)
        # A body without a length would otherwise end with its connection.
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if isinstance(self.transport, asyncio.Transport):
            self.transport.abort()


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
        self,
        max_response_bytes: int,
        force_close: bool = False,
        keepalive: TcpKeepalive | None = None,
    ):
        """Initializes the connector.

        Args:
            max_response_bytes: Maximum size of a response with all its bytes.
            force_close: Whether to close each connection after one call.
            keepalive: TCP settings of its connections; None: the defaults.
        """
        super().__init__(limit=0, force_close=force_close, use_dns_cache=False)
        self._keepalive = keepalive
        factory: Any = functools.partial(
            _BoundedResponses, self._loop, max_response_bytes
        )
        self._factory = factory

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: Any,
        req: Any,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[Any, Any]:
        """Opens a connection; overrides a private method of the library."""
        del kwargs
        host, port = addr_infos[0][4][:2]
        try:
            async with asyncio.timeout(timeout.sock_connect):
                connect: Any = self._loop.create_connection
                connection = await connect(*args, host, port)
        except OSError as error:
            # Without errno, it comes from asyncio.timeout(), and the library
            # handles it as a timeout. ETIMEDOUT is a connection error.
            if isinstance(error, TimeoutError) and error.errno is None:
                raise
            raise client_error(req.connection_key, error) from error
        sock = connection[0].get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
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
        timeout_ms: Maximum time for which sent data may stay
            unacknowledged, in ms.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def read_body(
    response: aiohttp.ClientResponse,
    timeout: asyncio.Timeout,
    idle_timeout_s: float,
) -> bytes:
    """Reads a body unless data arrives too slowly.

    The timeout expires `idle_timeout_s` after the last chunk, and 10 s after
    the call of this function at the latest; its context then raises
    TimeoutError.

    Args:
        response: The response that has the body.
        timeout: An entered `asyncio.timeout` context; rescheduled with each
            chunk.
        idle_timeout_s: Maximum wait for the next chunk, in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _BODY_TIMEOUT_S
    timeout.reschedule(min(loop.time() + idle_timeout_s, deadline))
    chunks = []
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        timeout.reschedule(min(loop.time() + idle_timeout_s, deadline))
    return b"".join(chunks)


async def fetch_headers(
    url: str, max_response_bytes: int, timeout_s: float
) -> aiohttp.ClientResponse | None:
    """Fetches a URL over a connection of its own, but not the body.

    Args:
        url: The URL.
        max_response_bytes: Maximum size of the response with all its bytes.
        timeout_s: Longest wait, in seconds.

    Returns:
        The response, which is closed; None if there was none in time.
    """
    try:
        async with (
            asyncio.timeout(timeout_s),
            aiohttp.ClientSession(
                connector=Connector(max_response_bytes, force_close=True),
                auto_decompress=False,
            ) as session,
            session.get(url) as response,
        ):
            return response
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
