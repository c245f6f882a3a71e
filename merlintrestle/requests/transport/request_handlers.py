"""Server side of a connection on which requests arrive."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
from typing import Any, TYPE_CHECKING, TypeVar

from aiohttp import hdrs
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from merlintrestle import events as event_logs
from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.ingress import memory as memories
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import estimates
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import protocols
from merlintrestle.requests.transport import receive_buffers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Coroutine

    from merlintrestle.requests.transport import sender_limits

_T = TypeVar("_T")

events = event_logs.EventLog("requests")

# aiohttp's own idle timeout, in seconds. `Server.end_overdue` ends connections
# earlier, by the limits of the active version.
MAX_IDLE_S = 86_400.0
_HEADERS_END = b"\r\n\r\n"
_REFUSAL = (
    "HTTP/1.1 {status}\r\nMerlintrestle-Outcome: not-run\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
)
_HEADER_TIMEOUT = _REFUSAL.format(status="408 Request Timeout").encode()
_HEADERS_TOO_LARGE = _REFUSAL.format(
    status="431 Request Header Fields Too Large"
).encode()


class RequestHandler(web.RequestHandler, protocols.NoDelayProtocol):
    """Server side of a connection.

    Counts bytes, takes its share of the budgets of the process, and adds the
    outcome to error responses, which aiohttp would generate without one.

    Attributes:
        incomplete_since: Event loop time since which a request has arrived in
            part, in seconds; 0: none has.
    """

    __slots__ = (
        "_charged_bytes",
        "_charges",
        "_granted",
        "_handle",
        "_has_long_body",
        "_has_stated_length",
        "_held_bytes",
        "_ingress",
        "_partial_bytes",
        "_partial_lines",
        "_pending",
        "_queued",
        "_share",
        "_shares_loop_time",
        "_traffic",
        "_unfinished",
        "_widened",
        "incomplete_since",
    )

    def __init__(self, server: Any, **options: Any):
        super().__init__(server, **options)
        self._ingress = server.ingress
        self._traffic = server.traffic
        self._share = loop_times.Share()
        self._shares_loop_time = server.shares_loop_time
        self._handle = server.request_handler
        self._request_handler = self._run_in_turn
        self.incomplete_since = 0.0
        # Estimated bytes held for this connection: for each message that is
        # not yet answered, and in all.
        self._charges: collections.deque[int] = collections.deque()
        self._charged_bytes = 0
        self._held_bytes = 0
        # Size and lines of headers that have arrived in part.
        self._partial_bytes = 0
        self._partial_lines = 0
        # Bytes that wait for their turn to be parsed.
        self._pending = b""
        self._queued = False
        # Body of the last message, if it has not arrived completely.
        self._unfinished: Any = None
        self._has_stated_length = False
        # Whether the time of the next request was taken when it was parsed.
        self._granted = False
        self._has_long_body = False
        # Whether the receive buffer is the large one.
        self._widened = False

    async def start(self) -> None:
        """Handles the requests, until the connection ends.

        The task of the connection ends without an error. It would hold that
        with its traceback, whose frames refer to the task, and only the garbage
        collector would free the request.
        """
        with contextlib.suppress(asyncio.CancelledError):
            await super().start()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the transport."""
        super().connection_made(transport)
        self._set_held(memories.CONNECTION_BYTES)
        # The task of the connection exists. From here on, aiohttp only creates
        # tasks for single requests.
        self._loop = _InlineLoop(self._loop)  # type: ignore[assignment]

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the request in flight and gives back what is held."""
        super().connection_lost(exc)
        self._pending = b""
        self._unfinished = None
        self.incomplete_since = 0.0
        self._ingress.memory.cancel_wait(self)
        self._give_back()

    @property
    def _waits_for_request(self) -> bool:
        """Whether no request is being handled, and none is about to be."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for its next request."""
        return self._waits_for_request and not self.incomplete_since

    @property
    def has_whole_request(self) -> bool:
        """Whether a request that has arrived whole is not yet answered.

        Another one may have begun to arrive behind it.
        """
        request = self._current_request
        if request is not None:
            return request.content.is_eof()
        return not self._waits_for_request and self._unfinished is None

    @property
    def can_shed(self) -> bool:
        """Whether `shed` ends only what has not arrived completely."""
        return self._unfinished is not None or not self.has_whole_request

    @property
    def held_bytes(self) -> int:
        """Estimated bytes held for this connection."""
        return self._held_bytes

    def has_stopped(self, since: float) -> bool:
        """Returns whether a request arrived in part, and nothing more came.

        Args:
            since: Event loop time by which it had begun to arrive, in seconds.
        """
        return 0 < self.incomplete_since < since and not self._pending

    @property
    def waits_since(self) -> float:
        """Event loop time since which it has been incomplete or idle."""
        return self.incomplete_since or self._idle_since

    @property
    def _idle_since(self) -> float:
        return self._next_keepalive_close_time - MAX_IDLE_S

    def receive_first(self, data: bytes, share: loop_times.Share) -> None:
        """Receives the first bytes, whose time was taken already.

        Args:
            data: The bytes.
            share: The share of the connection.
        """
        self._share = share
        lines = data.count(b"\n")
        if (
            estimates.estimate_parsing_cost(len(data), lines)
            > loop_times.MAX_SLICE_COST
        ):
            self.data_received(data)
            return
        self._traffic.received += len(data)
        self._parse(data, lines)

    def data_received(self, data: bytes) -> None:
        """Receives bytes, and parses them when it is their turn."""
        if not data:
            # aiohttp resumes its parser.
            self._parse(data, 0)
            return
        self._traffic.received += len(data)
        if self._pending:
            self._pending += data
            return
        lines = data.count(b"\n")
        cost = self._estimate_cost(len(data), lines)
        if self._may_parse(data, lines, cost):
            self._parse(data, lines)
            return
        self._pending = data
        self._pause_transport_reading()
        self._queue_pending()

    def parse(self, data: bytes) -> None:
        """Parses bytes; fails the call in flight if its body is malformed."""
        super().data_received(data)
        request = self._current_request
        if request is None or not self._messages:
            return
        # aiohttp queues the parser error as the next request. The call in
        # flight would wait for the rest of its body until its deadline.
        malformed = isinstance(self._messages[-1][0], web_protocol._ErrInfo)
        if malformed and not request.content.is_eof():
            # Nothing that follows can be read.
            self._lingering_time = 0.0
            request.content.set_exception(
                web.RequestPayloadError("the body is malformed")
            )

    def shed(self) -> None:
        """Ends a request that has not arrived completely, as memory is short.

        Its caller is told that it has not run, unless a part of it was sent on
        already. What is held counts as given back at once.
        """
        body = self._unfinished
        self.incomplete_since = 0.0
        if body is None or not self._request_in_progress:
            self.abort()
            return
        # Nothing more of it is read, and the connection ends with the answer.
        self._lingering_time = 0.0
        self._pause_transport_reading()
        self._pending = b""
        self._unfinished = None
        self._give_back()
        body.set_exception(bodies.ShedError("memory is short"))

    def abort(self) -> None:
        """Closes the connection at once."""
        self._give_back()
        if self.transport is not None:
            self.transport.abort()
        self.force_close()

    def end_overdue(
        self, now: float, limits: sender_limits.SenderLimits
    ) -> None:
        """Ends the connection if it is idle or incomplete for too long.

        A body that stops is ended by whoever reads it.

        Args:
            now: Event loop time, in seconds.
            limits: The limits on senders.
        """
        if not self._waits_for_request or self._pending:
            return
        if not self.incomplete_since:
            if now - self._idle_since > limits.idle_timeout_s:
                self.force_close()
        elif now - self.incomplete_since > limits.header_timeout_s:
            self._ingress.count_closed("header timeout")
            self._refuse(_HEADER_TIMEOUT)

    def _refuse(self, answer: bytes) -> None:
        """Answers headers that have not arrived completely, and closes."""
        transport = self.transport
        if transport is None:
            return
        if self._waits_for_request:
            transport.write(answer)
        self.force_close()

    def _estimate_cost(self, size: int, lines: int) -> float:
        """Returns the estimated cost of bytes, in microseconds.

        It includes that of the request that usually begins with them, so that
        it waits only once.
        """
        cost = estimates.estimate_parsing_cost(size, lines)
        if self._unfinished is None:
            cost += loop_times.REQUEST_COST
        return cost

    def _may_parse(self, data: bytes, lines: int, cost: float) -> bool:
        """Returns whether bytes may be parsed now; charges their cost."""
        if not self._shares_loop_time:
            return True
        return (
            cost <= loop_times.MAX_SLICE_COST
            and self._has_memory(data, lines)
            and self._ingress.loop_time.try_start(self._share, cost)
        )

    def _has_memory(self, data: bytes, lines: int) -> bool:
        """Returns whether there is memory for bytes, once parsed."""
        size, starts = self._estimate_size(data, lines)
        return self._ingress.memory.has_room(size, starts)

    def _estimate_size(self, data: bytes, lines: int) -> tuple[int, bool]:
        """Returns the bytes that would be held for bytes, once parsed.

        Returns:
            The size, and whether a request starts with these bytes.
        """
        if self._unfinished is None:
            return len(data) + lines * memories.HEADER_BYTES, True
        if self._has_stated_length:
            # It was taken when the body began.
            return 0, False
        return len(data) + lines * memories.PIECE_BYTES, False

    def _queue_pending(self) -> None:
        """Parses the pending bytes when it is the turn of this connection."""
        if self._queued:
            return
        self._queued = True
        lines = self._pending.count(b"\n")
        cost = self._estimate_cost(len(self._pending), lines)
        self._ingress.loop_time.queue(
            self._share,
            min(cost, loop_times.MAX_SLICE_COST),
            self._parse_pending,
        )

    def _parse_pending(self) -> bool:
        """Parses some of the pending bytes; returns whether there were any."""
        self._queued = False
        pending = self._pending
        if not pending or self._reading_paused or self._buffer_paused:
            # The connection has ended, or it goes on when reading is resumed.
            return False
        lines = pending.count(b"\n")
        cost = self._estimate_cost(len(pending), lines)
        if cost > loop_times.MAX_SLICE_COST:
            size = int(len(pending) * loop_times.MAX_SLICE_COST / cost)
            piece = pending[: max(1, size)]
            lines = piece.count(b"\n")
        else:
            piece = pending
        if not self._has_memory(piece, lines):
            self._queued = True
            size, _ = self._estimate_size(piece, lines)
            self._ingress.memory.wait(self, size, self._retry_pending)
            return True
        self._pending = pending[len(piece) :]
        self._parse(piece, lines)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()
        return True

    def _retry_pending(self) -> None:
        self._queued = False
        if self._pending:
            self._queue_pending()

    def _resume_transport_reading(self) -> None:
        if self._pending:
            self._queue_pending()
        else:
            super()._resume_transport_reading()

    def _parse(self, data: bytes, lines: int) -> None:
        """Parses bytes and takes what is held for the result.

        Args:
            data: The bytes; empty if aiohttp resumes its parser.
            lines: Number of their lines.
        """
        messages = self._messages
        known = len(messages)
        body = self._unfinished
        self.parse(data)
        if (
            body is None
            and len(messages) == 1
            and not known
            and messages[0][1] is streams.EMPTY_PAYLOAD
            and not self._partial_bytes
            and data.endswith(_HEADERS_END)
        ):
            # Usually a packet is one request without a body.
            self._granted = True
            self._charge(*messages[0])
            self._set_held(self._held_bytes + self._charges[-1])
            return
        if len(messages) > known:
            self._granted = bool(data) and body is None
            # What has arrived in part since began later.
            self.incomplete_since = 0.0
            for index in range(known, len(messages)):
                self._charge(*messages[index])
            body = messages[-1][1]
            self._partial_bytes = self._partial_lines = 0
            if body is streams.EMPTY_PAYLOAD and not data.endswith(
                _HEADERS_END
            ):
                self._partial_bytes, self._partial_lines = len(data), lines
        elif body is None:
            self._partial_bytes += len(data)
            self._partial_lines += lines
        if body is not None and body.is_eof():
            self._finish_body(body)
            body = None
        self._unfinished = body
        self._adjust_receive_buffer()
        self._note_incomplete()
        self._update_held()
        if self._partial_bytes > 2 * self.max_line_size:
            self._ingress.count_closed("header size")
            self._refuse(_HEADERS_TOO_LARGE)

    def _adjust_receive_buffer(self) -> None:
        """Sets the size of the receive buffer, if a body begins or has ended.

        A body that has no stated length is long once its first part is.
        """
        body = self._unfinished
        if body is None:
            wide = False
        elif self._widened or (
            not self._has_long_body
            and body.total_bytes <= receive_buffers.USUAL_BYTES
        ):
            return
        else:
            wide = not self._ingress.memory.is_short
        if wide == self._widened or self.transport is None:
            return
        self._widened = wide
        receive_buffers.set_size(
            self.transport.get_extra_info("socket"),
            receive_buffers.LARGE_BYTES
            if wide
            else receive_buffers.USUAL_BYTES,
        )

    def _charge(self, message: Any, body: Any) -> None:
        """Takes the estimated size of a message until it is answered.

        That includes a body of a stated length, up to what is buffered of it.
        """
        size = memories.REQUEST_BYTES
        if not isinstance(message, web_protocol._ErrInfo):
            size += len(message.raw_headers) * memories.HEADER_BYTES
            size += 2 * len(message.path)
            if body is not streams.EMPTY_PAYLOAD:
                length = headers.read_number(
                    message.headers, hdrs.CONTENT_LENGTH
                )
                self._has_stated_length = length is not None
                self._has_long_body = (
                    length or 0
                ) > receive_buffers.USUAL_BYTES
                size += min(length or 0, bodies.MAX_BUFFERED_BYTES)
        self._charges.append(size)
        self._charged_bytes += size

    def _finish_body(self, body: Any) -> None:
        """Adds a buffered body to the size of its message."""
        if (
            self._charges
            and not self._has_stated_length
            and body.total_bytes <= bodies.MAX_BUFFERED_BYTES
        ):
            self._charges[-1] += body.total_bytes
            self._charged_bytes += body.total_bytes

    def _release_charge(self) -> None:
        """Gives back the size of a message that was answered."""
        if self._charges:
            size = self._charges.popleft()
            self._charged_bytes -= size
            self._set_held(self._held_bytes - size)

    def _note_incomplete(self) -> None:
        """Notes since when a request has arrived in part, if one has.

        A body that is passed on as it arrives makes progress.
        """
        body = self._unfinished
        if body is None and not self._partial_bytes:
            self.incomplete_since = 0.0
        elif not self.incomplete_since or (
            body is not None and body.total_bytes > bodies.MAX_BUFFERED_BYTES
        ):
            self.incomplete_since = self._loop.time()

    def _update_held(self) -> None:
        held = memories.CONNECTION_BYTES + self._charged_bytes
        held += self._partial_bytes + len(self._pending)
        held += self._partial_lines * memories.HEADER_BYTES
        body = self._unfinished
        if body is not None and not self._has_stated_length:
            held += body._size + len(body._buffer) * memories.PIECE_BYTES
            held += min(body.total_bytes, bodies.MAX_BUFFERED_BYTES)
        if self._widened:
            held += receive_buffers.LARGE_BYTES
        elif self._reading_paused or self._buffer_paused or self._pending:
            held += receive_buffers.USUAL_BYTES
        self._set_held(held)

    def _give_back(self) -> None:
        """Gives back all that is held."""
        self._charges.clear()
        self._widened = False
        self._charged_bytes = self._partial_bytes = self._partial_lines = 0
        self._set_held(0)

    def _set_held(self, held: int) -> None:
        difference = held - self._held_bytes
        if difference:
            self._held_bytes = held
            self._ingress.memory.change(difference)

    def _run_in_turn(
        self, request: web.BaseRequest
    ) -> Awaitable[web.StreamResponse]:
        """Handles the request whose turn it is."""
        if self._granted or not self._shares_loop_time:
            self._granted = False
            return self._handle(request)
        if self._ingress.loop_time.try_start(
            self._share, loop_times.REQUEST_COST
        ):
            return self._handle(request)
        return self._handle_later(request)

    async def _handle_later(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        await self._ingress.loop_time.wait(self._share, loop_times.REQUEST_COST)
        return await self._handle(request)

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
            self._release_charge()

    def log_exception(self, *args: Any, **fields: Any) -> None:
        """Logs an error of a connection, at a bounded rate."""
        events.write(
            logging.ERROR, "connection failed", {}, exception=fields["exc_info"]
        )

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
        if isinstance(exc, web.RequestPayloadError):
            is_shed = isinstance(exc, bodies.ShedError)
            response = outcomes.render(
                outcomes.NotRun(
                    str(exc), 503 if is_shed else 400, 1.0 if is_shed else None
                )
            )
        elif status < 500:
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
