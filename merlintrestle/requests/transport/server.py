"""HTTP servers of the data path, without router or middleware."""

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

# A new connection that has not sent its first request by then is closed.
FIRST_REQUEST_TIMEOUT_S = 10.0
# Longer than the pools of other daemons keep a connection that is idle.
_KEEPALIVE_S = 75.0
# What `close` leaves a request in flight. The library takes 0 for no limit, so
# that a stop would last as long as the longest download.
_CUT_S = 0.05
# Time between two looks at the buffers of connections at a planned stop.
_FLUSH_S = 0.02
_MAX_LINE_BYTES = 8190
_MAX_FIELD_BYTES = 8190
_MAX_HEADERS = 100


class Server(web.Server):
    """Listens on one port and answers by one handler.

    Attributes:
        port: The bound port.
        traffic: Bytes over its connections.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        traffic: traffics.Traffic | None = None,
    ):
        """Sets what answers, and where the bytes of the port are counted."""
        options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": _KEEPALIVE_S,
            "max_line_size": _MAX_LINE_BYTES,
            "max_field_size": _MAX_FIELD_BYTES,
            "max_headers": _MAX_HEADERS,
            "auto_decompress": False,
            # A refused upload is read on for this long, so that the refusal
            # arrives before the connection is reset.
            "lingering_time": 2.0,
        }
        super().__init__(
            handler,
            handler_cancellation=True,
            **options,
        )
        self.port = 0
        self.traffic = traffic or traffics.Traffic()
        self._options = options
        self._listener: asyncio.Server | None = None

    def __call__(self) -> web.RequestHandler:
        """Makes the protocol of one connection."""
        return _Connection(self, loop=self._loop, **self._options)

    async def start(self, address: str, port: int) -> None:
        """Binds the port; 0 takes a free one."""
        self._listener = await self._loop.create_server(
            self, address, port, reuse_address=True, backlog=1024
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def flush(self) -> None:
        """Waits until all answers have gone to the operating system.

        A call counts as answered once its last bytes are in the buffer of the
        connection. What is still there when the process ends is lost, and the
        end of a long download to a slow caller with it. Callers that take
        nothing at all for `bodies.STALL_S` are not waited for.
        """
        held_back = self.get_held_back()
        moved_at = self._loop.time()
        while (
            held_back and self._loop.time() - moved_at < bodies.STALL_TIMEOUT_S
        ):
            await asyncio.sleep(_FLUSH_S)
            now_held_back = self.get_held_back()
            if now_held_back != held_back:
                moved_at = self._loop.time()
            held_back = now_held_back

    async def close(self) -> None:
        """Stops listening and cuts every connection."""
        if self._listener is not None:
            self._listener.close()
        self.pre_shutdown()
        await self.shutdown(_CUT_S)

    def get_held_back(self) -> int:
        """Returns the bytes of answers that wait to be sent."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
            if connection.transport is not None
        )


class _Connection(web.RequestHandler, protocols.Undelayed):
    """One connection; answers that the library makes state an outcome too."""

    __slots__ = ("_first_request", "_traffic")

    def __init__(self, server: Server, **options: Any):
        super().__init__(server, **options)
        self._traffic = server.traffic

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # The task of the connection is made; from here on the library makes
        # tasks for single requests alone.
        self._loop = _InlineLoop(self._loop)  # type: ignore[assignment]
        # A sender that never ends its first headers holds a connection and
        # its buffer for good. The library limits idle time only afterwards.
        self._first_request = self._loop.call_later(
            FIRST_REQUEST_TIMEOUT_S, self._close_if_silent
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        self._first_request.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Reads on; fails the body of a call that turns out malformed."""
        self._traffic.received += len(data)
        super().data_received(data)
        request = self._current_request
        if request is None or not self._messages:
            return
        # The library keeps its finding as the next request. The call under way
        # would wait for the rest of its body until its deadline.
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
        """Writes what is left of an answer, and counts its bytes."""
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
        """Answers a request that could not be read or handled."""
        if isinstance(exc, ConnectionError) and self._is_cut():
            raise exc
        if status < 500:
            response = outcomes.render(
                outcomes.NotRun("the request is malformed", status, None)
            )
        else:
            events.write(logging.ERROR, "request crashed", {}, exception=exc)
            if request.writer.output_size > 0:
                raise ConnectionError("the answer has begun")
            response = outcomes.render(
                outcomes.Unknown("an internal error", status)
            )
        response.force_close()
        return response

    def _is_cut(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def _close_if_silent(self) -> None:
        if self._request_count == 0:
            self.force_close()


class _InlineLoop:
    """An event loop whose new tasks run in the task that awaits them.

    The library makes a task for each request and awaits it at once, so that
    its context variables are its own. Nothing here uses any, and one task for
    each connection is enough. Later releases of Python begin such a task
    without waiting for the event loop, to the same end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self.time = loop.time
        self.call_at = loop.call_at
        self.create_future = loop.create_future

    def create_task(
        self, request: Coroutine[Any, Any, _T]
    ) -> Coroutine[Any, Any, _T]:
        """Returns what is awaited in place of a task."""
        return request

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)
