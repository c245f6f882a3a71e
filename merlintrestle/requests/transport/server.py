"""HTTP servers of the data path, without routing or middleware."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast, TYPE_CHECKING

from aiohttp import web

from merlintrestle.ingress import ingress as ingresses
from merlintrestle.ingress import memory as memories
from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import receive_buffers
from merlintrestle.requests.transport import request_handlers
from merlintrestle.requests.transport import sender_limits
from merlintrestle.requests.transport import silent_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

# Time that `close` allows for requests in flight. It must not be 0, which means
# no timeout to aiohttp: a stop would then take as long as the longest download.
_SHUTDOWN_TIMEOUT_S = 0.05
# Interval at which `flush` checks the write buffers of connections.
_FLUSH_POLL_S = 0.02
# Size of the shortest header, "a:" with the end of its line.
_MIN_HEADER_BYTES = 4
# Body bytes that a connection reads ahead of its handler. aiohttp pauses at
# twice as much.
_READ_AHEAD_BYTES = 32 * 1024
# Connections that the operating system accepts ahead.
_BACKLOG = 256
# Connections that are accepted in one iteration of a busy event loop.
_MAX_ACCEPTED = 16
# Part of the connections that is ended at once when there are too many.
_SURPLUS_PART = 50
# Minimum time between two searches that find none to end, in seconds.
_SEARCH_INTERVAL_S = 0.05


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
            "keepalive_timeout": request_handlers.MAX_IDLE_S,
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
        self.get_limits: Callable[[], sender_limits.SenderLimits] = (
            sender_limits.SenderLimits
        )
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
        self._silent: dict[silent_connections.SilentConnection, None] = {}
        self._searched_at = 0.0
        ingress.add_port(self)

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]
        """Creates the protocol of a new connection."""
        return silent_connections.SilentConnection(self)

    def build_handler(self) -> request_handlers.RequestHandler:
        """Creates the protocol of a connection that sends a request."""
        return request_handlers.RequestHandler(
            self, loop=self._loop, **self.build_options()
        )

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
        receive_buffers.set_size(sock, receive_buffers.USUAL_BYTES)
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

    def add_silent(
        self, connection: silent_connections.SilentConnection
    ) -> None:
        """Adds a new connection; ends others if there are too many.

        If all others have requests in flight, the new one is ended.
        """
        self._silent[connection] = None
        if self.open_count <= self._max_connections:
            return
        self.ingress.count_closed("connections")
        if len(self._silent) > 1 or not self._end_waiting():
            next(iter(self._silent)).abort()

    def remove_silent(
        self, connection: silent_connections.SilentConnection
    ) -> None:
        """Removes a connection that has sent something or has ended."""
        self._silent.pop(connection, None)

    def list_connections(self) -> Iterable[request_handlers.RequestHandler]:
        """Returns the connections that have sent something."""
        return [
            connection
            for connection in cast(
                "list[request_handlers.RequestHandler]", self.connections
            )
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
            if connection.is_idle
            or (
                connection.incomplete_since and not connection.has_whole_request
            )
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
