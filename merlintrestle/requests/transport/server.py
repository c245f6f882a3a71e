"""HTTP servers of the data path, without routing or middleware."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TYPE_CHECKING, TypeVar

from aiohttp import web
from aiohttp import web_protocol

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import protocols

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

_T = TypeVar("_T")

events = event_logs.EventLog("requests")

# A new connection that has not sent its first request in this time is closed.
FIRST_REQUEST_TIMEOUT_S = 10.0
# Idle timeout of connections. It is longer than the time for which the pools of
# other daemons keep an idle connection.
_KEEPALIVE_TIMEOUT_S = 75.0
# Time that `close` allows for requests in flight. It must not be 0, which means
# no timeout to aiohttp: a stop would then take as long as the longest download.
_SHUTDOWN_TIMEOUT_S = 0.05
# Interval at which `flush` checks the write buffers of connections.
_FLUSH_POLL_S = 0.02
# Default maximum size of the request line and of each header, in bytes.
DEFAULT_HEADER_BYTES = 8190
_MAX_HEADERS = 100


class Server(web.Server):
    """HTTP server with one port and one handler.

    Attributes:
        port: The bound port.
        traffic: Counter of the bytes of its connections.
        get_max_header_bytes: Returns the maximum size of the request line and
            of each header on a new connection, in bytes.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        traffic: traffics.Traffic | None = None,
        max_headers: int = _MAX_HEADERS,
    ):
        """Sets the handler.

        Args:
            handler: Answers requests.
            traffic: Counter of the bytes of connections.
            max_headers: Maximum number of headers of a request.
        """
        options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": _KEEPALIVE_TIMEOUT_S,
            "max_headers": max_headers,
            "auto_decompress": False,
            # The rest of a refused upload is read for this time in seconds, so
            # that the refusal arrives before the connection is reset.
            "lingering_time": 2.0,
        }
        super().__init__(
            handler,
            handler_cancellation=True,
            **options,
        )
        self.port = 0
        self.traffic = traffic or traffics.Traffic()
        self.get_max_header_bytes = lambda: DEFAULT_HEADER_BYTES
        self._options = options
        self._listener: asyncio.Server | None = None

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a connection."""
        return RequestHandler(self, loop=self._loop, **self.build_options())

    def build_options(self) -> dict[str, Any]:
        """Returns the options of a new connection."""
        max_bytes = self.get_max_header_bytes()
        return {
            **self._options,
            "max_line_size": max_bytes,
            "max_field_size": max_bytes,
        }

    async def start(self, address: str, port: int) -> None:
        """Binds the port; 0 selects a free one."""
        self._listener = await self._loop.create_server(
            self, address, port, reuse_address=True, backlog=1024
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def flush(self) -> None:
        """Waits until the operating system has accepted all answers.

        A call counts as answered once its last bytes are in the write buffer of
        the connection. Bytes that are still there when the process exits are
        lost, such as the end of a long download to a slow caller. Stops waiting
        once no bytes have moved for `bodies.STALL_TIMEOUT_S`.
        """
        buffered_bytes = self.get_buffered_bytes()
        moved_at = self._loop.time()
        while (
            buffered_bytes
            and self._loop.time() - moved_at < bodies.STALL_TIMEOUT_S
        ):
            await asyncio.sleep(_FLUSH_POLL_S)
            new_buffered_bytes = self.get_buffered_bytes()
            if new_buffered_bytes != buffered_bytes:
                moved_at = self._loop.time()
            buffered_bytes = new_buffered_bytes

    async def close(self) -> None:
        """Stops listening and closes every connection."""
        if self._listener is not None:
            self._listener.close()
        self.pre_shutdown()
        await self.shutdown(_SHUTDOWN_TIMEOUT_S)

    def get_buffered_bytes(self) -> int:
        """Returns the number of bytes in the connections' write buffers."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
            if connection.transport is not None
        )


class RequestHandler(web.RequestHandler, protocols.NoDelayProtocol):
    """Server side of a connection.

    Counts bytes, limits the wait for the first request, and adds the outcome to
    error responses, which aiohttp would generate without one.
    """

    __slots__ = ("_first_request_timer", "_traffic")

    def __init__(self, server: Server, **options: Any):
        super().__init__(server, **options)
        self._traffic = server.traffic

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timer of the first request."""
        super().connection_made(transport)
        # The task of the connection exists. From here on, aiohttp only creates
        # tasks for single requests.
        self._loop = _InlineLoop(self._loop)  # type: ignore[assignment]
        # Otherwise a sender that never completes its first headers would occupy
        # a connection and its buffer forever: aiohttp's idle timeout applies
        # only after the first request.
        self._first_request_timer = self._loop.call_later(
            FIRST_REQUEST_TIMEOUT_S, self._close_if_without_request
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the request in flight."""
        self._first_request_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receives bytes; fails the call in flight if its body is malformed."""
        self._traffic.received += len(data)
        super().data_received(data)
        request = self._current_request
        if request is None or not self._messages:
            return
        # aiohttp queues the parser error as the next request. The call in
        # flight would wait for the rest of its body until its deadline.
        malformed = isinstance(self._messages[-1][0], web_protocol._ErrInfo)
        if malformed and not request.content.is_eof():
            request.content.set_exception(
                web.RequestPayloadError("the body is malformed")
            )

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes the rest of an answer and counts its bytes."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._traffic.sent += request.writer.output_size

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be parsed or handled."""
        if isinstance(exc, ConnectionError) and self._is_disconnected():
            raise exc
        if status < 500:
            response = outcomes.render(
                outcomes.NotRun("the request is malformed", status, None)
            )
        else:
            events.write(logging.ERROR, "request crashed", {}, exception=exc)
            if request.writer.output_size > 0:
                raise ConnectionError("the answer has been started")
            response = outcomes.render(
                outcomes.Unknown("an internal error", status)
            )
        response.force_close()
        return response

    def _is_disconnected(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def _close_if_without_request(self) -> None:
        if self._request_count == 0:
            self.force_close()


class _InlineLoop:
    """Event loop whose `create_task` returns the coroutine itself.

    aiohttp creates a task for each request and awaits it at once, so that each
    request has its own context variables. The daemon uses none, so one task for
    each connection is enough. Newer versions of Python have eager tasks for the
    same purpose.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self.time = loop.time
        self.call_at = loop.call_at
        self.create_future = loop.create_future

    def create_task(
        self, request: Coroutine[Any, Any, _T]
    ) -> Coroutine[Any, Any, _T]:
        """Returns the coroutine, to be awaited in place of a task."""
        return request

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)
