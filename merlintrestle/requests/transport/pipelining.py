"""Connections of callers that send requests ahead of answers (pipelining).

aiohttp handles the requests of a connection one after the other. Here, tasks
run the repeatable requests behind the first concurrently. aiohttp's loop still
takes one request after the other from the connection: that is the request's
turn, at which its task may write and the loop takes over its response.
"""

from __future__ import annotations

import asyncio
import collections
import select
from typing import Any, TYPE_CHECKING

from aiohttp import http
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.ingress import memory as memories
from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import request_handlers
from merlintrestle.requests.transport import server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from aiohttp import abc

    from merlintrestle.ingress import ingress as ingresses

# Maximum number of requests of a connection that are in flight.
MAX_DEPTH = 8
# Maximum number of requests of all connections that run ahead of their turn.
# Each may hold an answer of `bodies.MAX_BUFFERED_BYTES`, or twice as much of a
# streamed one. Further requests run when their turn comes.
MAX_AHEAD = 128
# Interval of checks for a disconnect while nothing is read, in seconds.
_DISCONNECT_CHECK_S = 0.25
_HEADERS_END = b"\r\n\r\n"


class PipelinedRequest(web.BaseRequest):
    """A request that arrived before the one in front was answered.

    Attributes:
        arrived_at: Event loop time of its arrival, in seconds.
        has_turn: True once all requests in front have been answered.
        allows_next: True once the request behind it may run as well.
        ahead: Task that handles it before its turn; None: it has none.
    """

    ATTRS = web.BaseRequest.ATTRS | frozenset(
        ("ahead", "allows_next", "arrived_at", "has_turn", "turn")
    )

    # Requests are abstract mappings, so `isinstance` would call Python code of
    # `abc` several times for each request; the functions compare types.

    def __init__(self, arrived_at: float, *arguments: Any):
        super().__init__(*arguments)
        self.arrived_at = arrived_at
        self.has_turn = False
        self.allows_next = False
        self.ahead: asyncio.Task[web.StreamResponse] | None = None
        self.turn: asyncio.Future[None] | None = None

    async def wait_for_turn(self) -> None:
        """Waits until all requests in front have been answered."""
        if not self.has_turn:
            self.turn = self.turn or asyncio.get_running_loop().create_future()
            await asyncio.shield(self.turn)

    def grant_turn(self) -> None:
        """Ends the wait for the turn."""
        self.has_turn = True
        if self.turn is not None and not self.turn.done():
            self.turn.set_result(None)


def get_arrival(request: web.BaseRequest, now: float) -> float:
    """Returns when a request arrived, in seconds of the event loop's clock."""
    if type(request) is PipelinedRequest:
        return request.arrived_at
    return now


def has_turn(request: web.BaseRequest) -> bool:
    """Returns whether the answer of a request may be written."""
    return type(request) is not PipelinedRequest or request.has_turn


async def wait_for_turn(request: web.BaseRequest) -> None:
    """Waits until the answer of a request may be written."""
    if type(request) is PipelinedRequest:
        await request.wait_for_turn()


def allow_next(request: web.BaseRequest) -> None:
    """Lets the request behind this one run; the handler calls it early."""
    protocol = request.protocol
    if type(protocol) is _PipeliningHandler:
        protocol.allow_next(request)


def is_followed(request: web.BaseRequest) -> bool:
    """Returns whether the request behind this one runs or has run.

    If the answer to this one closed the connection, that answer would be lost.
    """
    protocol = request.protocol
    return type(protocol) is _PipeliningHandler and protocol.is_followed(
        request
    )


def may_end_connection(request: web.BaseRequest) -> bool:
    """Returns whether the answer to a request may end its connection.

    Not if the request behind it runs or has run, as its answer would be lost.
    Otherwise nothing is started behind it from now on.
    """
    protocol = request.protocol
    return type(
        protocol
    ) is not _PipeliningHandler or protocol.may_end_connection(request)


def cancel_behind(request: web.BaseRequest) -> None:
    """Cancels what is behind a request whose answer closes the connection."""
    protocol = request.protocol
    if type(protocol) is _PipeliningHandler:
        protocol.cancel_behind(request)


class Server(server.Server):
    """HTTP server whose connections run repeatable requests concurrently.

    Attributes:
        pipeline_counts: Counts of pipelined requests.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        ingress: ingresses.Ingress,
        name: str,
        max_connections: int,
        traffic: traffics.Traffic | None = None,
    ):
        """Sets the handler, which calls the functions of this module.

        See `server.Server` for the arguments.
        """
        super().__init__(handler, ingress, name, max_connections, traffic)
        self.pipeline_counts = traffics.PipelineCounts()

    def build_handler(self) -> request_handlers.RequestHandler:
        """Creates the protocol of a connection that sends a request."""
        return _PipeliningHandler(self, loop=self._loop, **self.build_options())


class _Entry:
    """A message that arrived before the one in front was answered."""

    __slots__ = ("arrived_at", "request")

    def __init__(self, arrived_at: float):
        self.arrived_at = arrived_at
        self.request: PipelinedRequest | None = None


class _PipeliningHandler(request_handlers.RequestHandler):
    """Server side of a connection whose requests may run concurrently.

    `_entries` belong to the last messages of `_messages`, in the same order. A
    message without an entry arrived while the connection was idle. The first
    `_started` entries have a task.
    """

    __slots__ = (
        "_at_boundary",
        "_counts",
        "_disconnect_timer",
        "_ended",
        "_entries",
        "_last_payload",
        "_next_may_start",
        "_started",
    )

    def __init__(self, manager: Server, **options: Any):
        super().__init__(manager, **options)
        # True if the bytes so far end with the end of a message.
        self._at_boundary = True
        self._counts = manager.pipeline_counts
        self._disconnect_timer: asyncio.TimerHandle | None = None
        # True once nothing behind the requests in flight may run.
        self._ended = False
        self._entries: collections.deque[_Entry] = collections.deque()
        self._last_payload: Any = None
        self._next_may_start = False
        self._started = 0
        self._request_factory = self._take_request
        self._max_msg_queue_size = MAX_DEPTH
        self._msg_queue_resume_size = MAX_DEPTH - 1
        self._parser = self._build_parser()

    def _build_parser(self) -> http.HttpRequestParser:
        """Returns a parser that stops after each message.

        aiohttp's own one drops the valid requests in front of malformed bytes
        of the same packet.
        """
        assert self._manager is not None
        return http.HttpRequestParser(
            self,
            self._manager._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )

    async def start(self) -> None:
        """Handles the requests; then cancels those that run ahead."""
        try:
            await super().start()
        finally:
            self.cancel_behind(None)
            self._counts.ahead -= self._started
            self._started = 0
            self._entries.clear()

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        # A body refers to its connection.
        self._last_payload = None
        super().connection_lost(exc)

    def close(self) -> None:
        """Closes the connection after the current answer."""
        super().close()
        self.cancel_behind(None)

    def force_close(self) -> None:
        """Closes the connection at once."""
        super().force_close()
        self.cancel_behind(None)

    def parse(self, data: bytes) -> None:
        """Parses one message after the other."""
        messages = self._messages
        if messages and _is_error(messages[-1][0]):
            # Nothing that follows can be parsed.
            return
        ends = data[-len(_HEADERS_END) :] == _HEADERS_END
        if (
            ends
            and self._at_boundary
            and not messages
            and not self._request_in_progress
            and data.find(_HEADERS_END) == len(data) - len(_HEADERS_END)
        ):
            # Usually the connection is idle, and a packet is one request
            # without a body. The parser then has nothing left.
            super().parse(data)
            self._next_may_start = False
            if messages and messages[0][1] is not streams.EMPTY_PAYLOAD:
                self._unfinished = messages[0][1]
                self._at_boundary = False
            elif (
                messages
                and not self._upgraded
                and _asks_for_upgrade(messages[0][0])
            ):
                # The parser drops what follows an upgrade that it does not
                # know. It holds no bytes.
                self._parser = self._build_parser()
            return
        while self._parse_one(data):
            # The parser has stopped at the end of a message.
            data = b""
        self._at_boundary = ends and self._last_payload is None
        if self._next_may_start and self._entries:
            self._start_next()
        if self._buffer_paused and self._disconnect_timer is None:
            self._watch_for_disconnect()

    def _parse_one(self, data: bytes) -> bool:
        """Parses up to the end of a message; returns whether to go on.

        Sets `_last_payload` to the body of that message, or to one that has not
        arrived completely, or to None if the parser has used up all bytes.
        """
        messages = self._messages
        known = len(messages)
        super().parse(data)
        payload = self._unfinished
        if len(messages) > known:
            if payload is not None and _is_error(messages[-1][0]):
                payload.set_exception(
                    web.RequestPayloadError("the body is malformed")
                )
            payload = messages[-1][1]
            self._add_entry(known)
        self._last_payload = payload
        if payload is None:
            return False
        if not payload.is_eof():
            self._unfinished = payload
            return False
        self._unfinished = None
        if len(messages) > known and (
            self._ingress.memory.is_short or _is_large(messages[-1][0])
        ):
            # The next one is parsed once this one is being handled.
            self._pause_reading_for_buffer()
            return False
        return not (
            len(messages) >= MAX_DEPTH
            or self._upgraded
            or self._close
            or self._force_close
            or (messages and _is_error(messages[-1][0]))
        )

    def allow_next(self, request: web.BaseRequest) -> None:
        """Lets the request behind this one run."""
        if not request.keep_alive:
            self._ended = True
            return
        if type(request) is PipelinedRequest:
            request.allows_next = True
        self._next_may_start = True
        if self._entries:
            self._start_next()

    def is_followed(self, request: web.BaseRequest) -> bool:
        """Returns whether the request behind this one runs or has run."""
        for task in self._list_tasks_behind(request):
            return not task.cancelling()
        return False

    def may_end_connection(self, request: web.BaseRequest) -> bool:
        """Returns whether an answer may end the connection; see the function.

        Once it may, it stays so.
        """
        if self._list_tasks_behind(request):
            return False
        self._ended = True
        return True

    def cancel_behind(self, request: web.BaseRequest | None) -> None:
        """Cancels what runs behind a request; nothing more is started.

        Args:
            request: The request; None: all that run ahead are cancelled.
        """
        self._ended = True
        for task in self._list_tasks_behind(request):
            task.cancel()

    def _list_tasks_behind(
        self, request: web.BaseRequest | None
    ) -> list[asyncio.Task[web.StreamResponse]]:
        """Returns the tasks that run, or have run, behind a request.

        Args:
            request: The request; None, or one whose turn it is: all tasks.
        """
        tasks = []
        for index in range(self._started):
            started = self._entries[index].request
            assert started is not None and started.ahead is not None
            tasks.append(started.ahead)
            if started is request:
                tasks.clear()
        return tasks

    def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> Coroutine[Any, Any, tuple[web.StreamResponse, bool]]:
        """Writes the rest of an answer."""
        if self._entries and _closes(request, resp):
            self.cancel_behind(None)
        finish = super().finish_response(request, resp, start_time)
        return self._finish_upgrade(finish) if self._upgraded else finish

    async def _finish_upgrade(
        self, finish: Coroutine[Any, Any, tuple[web.StreamResponse, bool]]
    ) -> tuple[web.StreamResponse, bool]:
        result = await finish
        if not self._upgraded:
            # aiohttp has parsed one message of what followed the upgrade.
            self.data_received(b"")
        return result

    def _add_entry(self, known: int) -> None:
        """Adds the entry of a new message unless the connection was idle."""
        if not known and not self._request_in_progress:
            self._next_may_start = False
            return
        self._entries.append(_Entry(self._loop.time()))
        self._counts.requests += 1

    def _take_request(
        self,
        message: http.RawRequestMessage,
        payload: Any,
        protocol: web.RequestHandler,
        writer: abc.AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Returns the request whose turn it is; aiohttp's request factory."""
        if len(self._entries) <= len(self._messages):
            self._next_may_start = False
            if self._ingress.loop_time.is_contended:
                # Its time begins here, although it waits for its turn.
                waiting = self._build_request(
                    _Entry(self._loop.time()), message, payload
                )
                waiting.grant_turn()
                return waiting
            return web.BaseRequest(
                message, payload, protocol, writer, task, self._loop
            )
        entry = self._entries.popleft()
        request = entry.request
        if request is None:
            self._next_may_start = False
            request = self._build_request(entry, message, payload)
        else:
            self._started -= 1
            self._counts.ahead -= 1
            if self._next_may_start:
                self._start_next()
        request.grant_turn()
        return request

    def _build_request(
        self, entry: _Entry, message: http.RawRequestMessage, payload: Any
    ) -> PipelinedRequest:
        return PipelinedRequest(
            entry.arrived_at,
            message,
            payload,
            self,
            http.StreamWriter(self, self._loop),
            self._task_handler,
            self._loop,
        )

    def _start_next(self) -> None:
        """Starts the next request, if there is one and the limits allow it."""
        index = self._started
        if (
            self._ended
            or index >= len(self._entries)
            or index + 1 >= MAX_DEPTH
            or self._counts.ahead >= MAX_AHEAD
            or self._ingress.memory.is_short
        ):
            return
        messages = self._messages
        message, payload = messages[len(messages) - len(self._entries) + index]
        if isinstance(message, web_protocol._ErrInfo):
            return
        if not self._ingress.loop_time.try_start(
            self._share, loop_times.REQUEST_COST
        ):
            return
        entry = self._entries[index]
        request = self._build_request(entry, message, payload)
        entry.request = request
        self._next_may_start = False
        self._started += 1
        self._counts.ahead += 1
        self._counts.max_depth = max(self._counts.max_depth, self._started + 1)
        request.ahead = asyncio.create_task(self._run_ahead(request))
        request.ahead.add_done_callback(_retrieve_exception)

    async def _run_ahead(self, request: PipelinedRequest) -> web.StreamResponse:
        try:
            response = await self._handle(request)
        except BaseException:
            # It will be answered by an error that closes the connection.
            self.cancel_behind(request)
            raise
        if _closes(request, response):
            self.cancel_behind(request)
        elif not request.allows_next:
            self.allow_next(request)
        return response

    def _run_in_turn(
        self, request: web.BaseRequest
    ) -> Awaitable[web.StreamResponse]:
        """Handles the request whose turn it is."""
        if type(request) is PipelinedRequest and request.ahead is not None:
            return self._join(request.ahead)
        return super()._run_in_turn(request)

    async def _join(
        self, ahead: asyncio.Task[web.StreamResponse]
    ) -> web.StreamResponse:
        """Returns the response of a task whose turn has come."""
        try:
            return await ahead
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # It was cancelled as an answer in front closes the connection.
            self.force_close()
            raise ConnectionError("the connection is closed") from None

    def _watch_for_disconnect(self) -> None:
        """Checks for a disconnect, which is not seen while nothing is read."""
        self._disconnect_timer = None
        transport = self.transport
        if not self._buffer_paused or transport is None:
            return
        poller = select.poll()
        poller.register(
            transport.get_extra_info("socket").fileno(), select.POLLRDHUP
        )
        if poller.poll(0):
            transport.abort()
            return
        self._disconnect_timer = self._loop.call_later(
            _DISCONNECT_CHECK_S, self._watch_for_disconnect
        )


def _is_large(message: Any) -> bool:
    """Returns whether a message takes much memory."""
    return not _is_error(message) and (
        len(message.raw_headers) * memories.HEADER_BYTES > memories.SMALL_BYTES
    )


def _closes(request: web.BaseRequest, response: web.StreamResponse) -> bool:
    """Returns whether a response closes its connection."""
    keep_alive = response.keep_alive
    return not (request.keep_alive if keep_alive is None else keep_alive)


def _asks_for_upgrade(message: object) -> bool:
    """Returns whether a message asks for another protocol."""
    return isinstance(message, http.RawRequestMessage) and message.upgrade


def _is_error(message: object) -> bool:
    """Returns whether aiohttp queued a parser error in place of a message."""
    return isinstance(message, web_protocol._ErrInfo)


def _retrieve_exception(task: asyncio.Task[web.StreamResponse]) -> None:
    """Prevents a log line of asyncio about an answer that has no reader."""
    if not task.cancelled():
        task.exception()
