"""HTTP servers of the data path, without routing or middleware."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import re
import socket
from typing import Any, cast, NamedTuple, TYPE_CHECKING, TypeVar

from aiohttp import hdrs
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from merlintrestle import events as event_logs
from merlintrestle.ingress import ingress as ingresses
from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.ingress import memory as memories
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import protocols

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable

_T = TypeVar("_T")

events = event_logs.EventLog("requests")

# Time within which the headers of a request must arrive, and idle timeout of a
# connection, if the configuration states none. The idle timeout is longer than
# the time for which the pools of other daemons keep an idle connection.
HEADER_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 75.0
# aiohttp's own idle timeout, in seconds. `Server.end_overdue` ends connections
# earlier, by the limits of the active version.
_MAX_IDLE_S = 86_400.0
# Time that `close` allows for requests in flight. It must not be 0, which means
# no timeout to aiohttp: a stop would then take as long as the longest download.
_SHUTDOWN_TIMEOUT_S = 0.05
# Interval at which `flush` checks the write buffers of connections.
_FLUSH_POLL_S = 0.02
# Default maximum size of the request line and of each header, in bytes.
DEFAULT_HEADER_BYTES = 8190
# Size of the shortest header, "a:" with the end of its line.
_MIN_HEADER_BYTES = 4
# Body bytes that a connection reads ahead of its handler. aiohttp pauses at
# twice as much.
_READ_AHEAD_BYTES = 32 * 1024
# Receive buffer of an inbound connection in the operating system, in bytes.
# Bytes there count towards the memory of the process, and each connection can
# fill its own. A connection gets the large one for a longer body, while there
# is memory.
_RECEIVE_BUFFER_BYTES = 8 * 1024
_LARGE_BUFFER_BYTES = 128 * 1024
# Connections that the operating system accepts ahead.
_BACKLOG = 256
# Connections that are accepted in one iteration of a busy event loop.
_MAX_ACCEPTED = 16
# Part of the connections that is ended at once when there are too many.
_SURPLUS_PART = 50
# Minimum time between two searches that find none to end, in seconds.
_SEARCH_INTERVAL_S = 0.05
# The length of a body, or the field of one that has no stated length.
_BODY_LENGTH = re.compile(
    rb"\n(?:content-length: *(\d{1,12})|transfer-encoding:)", re.IGNORECASE
)
_HEADERS_END = b"\r\n\r\n"
_REFUSAL = (
    "HTTP/1.1 {status}\r\nMerlintrestle-Outcome: not-run\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
)
_HEADER_TIMEOUT = _REFUSAL.format(status="408 Request Timeout").encode()
_HEADERS_TOO_LARGE = _REFUSAL.format(
    status="431 Request Header Fields Too Large"
).encode()


class Limits(NamedTuple):
    """Limits on what a sender of requests may do.

    Attributes:
        header_bytes: Maximum size of the request line, and of all headers.
        header_timeout_s: Time within which the headers of a request must
            arrive, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = _IDLE_TIMEOUT_S


class Server(web.Server):
    """HTTP server with one port and one handler.

    Attributes:
        ingress: The budgets of the process.
        name: Name of the port, for metrics.
        port: The bound port.
        traffic: Counter of the bytes of its connections.
        get_limits: Returns the limits on senders.
        get_time: Returns the time of the event loop, in seconds.
        shares_loop_time: Whether requests wait for their share of the event
            loop's time. Those of other daemons do not: they were accepted.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        ingress: ingresses.Ingress | None = None,
        name: str = "",
        max_connections: int = 0,
        traffic: traffics.Traffic | None = None,
        shares_loop_time: bool = True,
    ):
        """Sets the handler.

        Args:
            handler: Answers requests.
            ingress: The budgets of the process; None: those of its own.
            name: Name of the port, for metrics.
            max_connections: Connections that may be open at once; 0: as many as
                on a port for callers.
            traffic: Counter of the bytes of connections.
            shares_loop_time: See above.
        """
        options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": _MAX_IDLE_S,
            # Connections inherit it from the listening socket.
            "tcp_keepalive": False,
            "auto_decompress": False,
            "read_bufsize": _READ_AHEAD_BYTES,
            # The rest of a refused upload is read for this time in seconds, so
            # that the refusal arrives before the connection is reset.
            "lingering_time": 2.0,
        }
        super().__init__(
            handler,
            handler_cancellation=True,
            **options,
        )
        self.ingress = ingress = ingress or ingresses.Ingress()
        self.name = name
        self.port = 0
        self.traffic = traffic or traffics.Traffic()
        self.get_limits: Callable[[], Limits] = Limits
        self.get_time = self._loop.time
        self.shares_loop_time = shares_loop_time
        self._max_connections = (
            max_connections or ingress.budgets.caller_connections
        )
        self._options = options
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[Any]] = set()
        # Connections that have sent nothing yet, the oldest first.
        self._silent: dict[_SilentConnection, None] = {}
        self._searched_at = 0.0
        ingress.add_port(self)

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]
        """Creates the protocol of a new connection."""
        return _SilentConnection(self)

    def build_handler(self) -> RequestHandler:
        """Creates the protocol of a connection that sends a request."""
        return RequestHandler(self, loop=self._loop, **self.build_options())

    def build_options(self) -> dict[str, Any]:
        """Returns the options of a new connection."""
        max_bytes = self.get_limits().header_bytes
        return {
            **self._options,
            "max_line_size": max_bytes,
            "max_field_size": max_bytes,
            "max_headers": max_bytes // _MIN_HEADER_BYTES,
        }

    async def start(self, address: str, port: int) -> None:
        """Binds the port; 0 selects a free one."""
        # asyncio sets TCP_NODELAY only where the protocol is stated.
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        # Accepted connections inherit it.
        _set_receive_buffer(sock, _RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            sock.bind((address, port))
            self._listener = await self._loop.create_server(
                self, sock=sock, backlog=_BACKLOG
            )
        except BaseException:
            sock.close()
            raise
        self._socket = sock
        self.ingress.loop_time.on_contention.append(self._accept_waiting)
        self.port = self._listener.sockets[0].getsockname()[1]

    def _accept_waiting(self) -> None:
        """Accepts connections that wait while the event loop is busy.

        The event loop accepts one in each iteration. That is too few while
        iterations take long: connections beyond the backlog are not opened.
        """
        assert self._socket is not None
        for _ in range(_MAX_ACCEPTED):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                # None waits, or the port is closed.
                return
            task = self._loop.create_task(
                self._loop.connect_accepted_socket(self, sock)
            )
            self._accepting.add(task)
            task.add_done_callback(self._finish_accepting)

    def _finish_accepting(self, task: asyncio.Task[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.ingress.count_closed("not accepted")

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections) + len(self._silent)

    def add_silent(self, connection: _SilentConnection) -> None:
        """Adds a new connection; ends others if there are too many.

        If all others have requests in flight, the new one is ended.
        """
        self._silent[connection] = None
        if self.open_count <= self._max_connections:
            return
        self.ingress.count_closed("connections")
        if len(self._silent) > 1 or not self._end_waiting():
            next(iter(self._silent)).abort()

    def remove_silent(self, connection: _SilentConnection) -> None:
        """Removes a connection that has sent something or has ended."""
        self._silent.pop(connection, None)

    def list_connections(self) -> Iterable[RequestHandler]:
        """Returns the connections that have sent something."""
        return [
            connection
            for connection in cast("list[RequestHandler]", self.connections)
            if connection.transport is not None
        ]

    def end_overdue(self, now: float) -> None:
        """Ends connections that are idle or incomplete for too long.

        Args:
            now: Event loop time, in seconds.
        """
        limits = self.get_limits()
        for silent in list(self._silent):
            if now - silent.opened_at <= limits.idle_timeout_s:
                break
            silent.abort()
        for connection in self.list_connections():
            connection.end_overdue(now, limits)

    def _end_waiting(self) -> bool:
        """Ends connections whose sender is waited for; tells if there are any.

        Several that have stopped half-way are ended at once, so that not every
        new one needs a search. If none has, it is the one that has been idle or
        incomplete for longest.
        """
        now = self._loop.time()
        if now - self._searched_at < _SEARCH_INTERVAL_S:
            return False
        waiting = [
            connection
            for connection in self.list_connections()
            if connection.incomplete_since or connection.is_idle
        ]
        if not waiting:
            self._searched_at = now
            return False
        stopped_at = now - memories.STOPPED_S
        stopped = [
            connection
            for connection in waiting
            if connection.has_stopped(stopped_at)
        ]
        if stopped:
            stopped.sort(key=lambda connection: connection.incomplete_since)
            count = 1 + self._max_connections // _SURPLUS_PART
            for connection in stopped[:count]:
                connection.abort()
        else:
            min(waiting, key=lambda connection: connection.waits_since).abort()
        return True

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
            self.ingress.loop_time.on_contention.remove(self._accept_waiting)
        for silent in list(self._silent):
            silent.abort()
        self.pre_shutdown()
        await self.shutdown(_SHUTDOWN_TIMEOUT_S)

    def get_buffered_bytes(self) -> int:
        """Returns the number of bytes in the connections' write buffers."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
            if connection.transport is not None
        )


class _SilentConnection(asyncio.Protocol):
    """Server side of a connection that has sent nothing yet.

    It takes little memory, so that many of them can wait.

    Attributes:
        opened_at: Event loop time of its opening, in seconds.
    """

    __slots__ = (
        "_received",
        "_server",
        "_share",
        "_transport",
        "_waits",
        "opened_at",
    )

    def __init__(self, server: Server):
        self._received = b""
        self._server = server
        self._share = loop_times.Share()
        self._waits = False
        self._transport: asyncio.Transport | None = None
        self.opened_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the first bytes."""
        self._transport = cast("asyncio.Transport", transport)
        self.opened_at = self._server.get_time()
        self._server.add_silent(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._transport = None
        self._forget()

    def data_received(self, data: bytes) -> None:
        """Receives the first bytes of a request."""
        self._received += data
        if self._waits:
            return
        if not self._server.shares_loop_time or (
            self._has_memory()
            and self._server.ingress.loop_time.try_start(
                self._share, self._estimate_cost()
            )
        ):
            self._hand_over()
            return
        self._waits = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._queue()

    def _queue(self) -> None:
        self._server.ingress.loop_time.queue(
            self._share, self._estimate_cost(), self._take_turn
        )

    def _take_turn(self) -> bool:
        """Hands the connection over in its turn, once there is memory.

        Returns:
            Whether it was handed over.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if not self._has_memory():
            self._server.ingress.memory.wait(
                self, _estimate_request(self._received), self._queue
            )
            return False
        # Before the handler, which may pause it again.
        transport.resume_reading()
        self._hand_over()
        return True

    def _has_memory(self) -> bool:
        memory = self._server.ingress.memory
        return not memory.is_short or memory.has_room(
            _estimate_request(self._received)
        )

    def _estimate_cost(self) -> float:
        received = self._received
        cost = _estimate_parsing_cost(len(received), received.count(b"\n"))
        return loop_times.REQUEST_COST + min(cost, loop_times.MAX_SLICE_COST)

    def _hand_over(self) -> None:
        """Hands the connection over to a handler of requests."""
        transport = self._transport
        self._server.remove_silent(self)
        if transport is None or transport.is_closing():
            return
        handler = self._server.build_handler()
        transport.set_protocol(handler)
        handler.connection_made(transport)
        received, self._received = self._received, b""
        handler.receive_first(received, self._share)

    def abort(self) -> None:
        """Closes the connection."""
        self._forget()
        if self._transport is not None:
            self._transport.abort()

    def _forget(self) -> None:
        self._received = b""
        self._server.remove_silent(self)
        if self._waits:
            self._server.ingress.memory.cancel_wait(self)


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

    def __init__(self, server: Server, **options: Any):
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
    def is_idle(self) -> bool:
        """Whether the connection waits for its next request."""
        return self._waiter is not None and not self.incomplete_since

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
        return self._next_keepalive_close_time - _MAX_IDLE_S

    def receive_first(self, data: bytes, share: loop_times.Share) -> None:
        """Receives the first bytes, whose time was taken already.

        Args:
            data: The bytes.
            share: The share of the connection.
        """
        self._share = share
        lines = data.count(b"\n")
        if _estimate_parsing_cost(len(data), lines) > loop_times.MAX_SLICE_COST:
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

    def end_overdue(self, now: float, limits: Limits) -> None:
        """Ends the connection if it is idle or incomplete for too long.

        A body that stops is ended by whoever reads it.

        Args:
            now: Event loop time, in seconds.
            limits: The limits on senders.
        """
        if self._waiter is None or self._pending:
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
        if self._waiter is not None:
            transport.write(answer)
        self.force_close()

    def _estimate_cost(self, size: int, lines: int) -> float:
        """Returns the estimated cost of bytes, in microseconds.

        It includes that of the request that usually begins with them, so that
        it waits only once.
        """
        cost = _estimate_parsing_cost(size, lines)
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
            and body.total_bytes <= _RECEIVE_BUFFER_BYTES
        ):
            return
        else:
            wide = not self._ingress.memory.is_short
        if wide == self._widened or self.transport is None:
            return
        self._widened = wide
        _set_receive_buffer(
            self.transport.get_extra_info("socket"),
            _LARGE_BUFFER_BYTES if wide else _RECEIVE_BUFFER_BYTES,
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
                self._has_long_body = (length or 0) > _RECEIVE_BUFFER_BYTES
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
            held += _LARGE_BUFFER_BYTES
        elif self._reading_paused or self._buffer_paused or self._pending:
            held += _RECEIVE_BUFFER_BYTES
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


def _set_receive_buffer(sock: socket.socket, size: int) -> None:
    """Sets the receive buffer; connections inherit that of their listener."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _estimate_request(data: bytes) -> int:
    """Returns the estimated memory of a request from its first bytes."""
    size = memories.CONNECTION_BYTES + memories.REQUEST_BYTES
    size += len(data) + data.count(b"\n") * memories.HEADER_BYTES
    match = _BODY_LENGTH.search(data)
    if match is None:
        return size
    stated = int(match[1] or bodies.MAX_BUFFERED_BYTES)
    return size + min(stated, bodies.MAX_BUFFERED_BYTES)


def _estimate_parsing_cost(size: int, lines: int) -> float:
    """Returns the estimated cost of parsing bytes, in microseconds."""
    return (
        loop_times.READ_COST
        + lines * loop_times.LINE_COST
        + (size >> 10) * loop_times.KILOBYTE_COST
    )


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
