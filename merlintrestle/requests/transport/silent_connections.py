"""Server side of a connection that has sent nothing yet."""

from __future__ import annotations

import asyncio
from typing import Any, cast, Protocol, TYPE_CHECKING

from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.requests.transport import estimates

if TYPE_CHECKING:
    from merlintrestle.ingress import ingress as ingresses


class Server(Protocol):
    """The server that accepted a connection.

    Attributes:
        ingress: The budgets of the process.
        shares_loop_time: Whether requests wait for their share of the event
            loop's time.
    """

    ingress: ingresses.Ingress
    shares_loop_time: bool

    def get_time(self) -> float:
        """Returns the time of the event loop, in seconds."""

    def add_silent(self, connection: SilentConnection) -> None:
        """Adds a new connection."""

    def remove_silent(self, connection: SilentConnection) -> None:
        """Removes a connection that has sent something or has ended."""

    def build_handler(self) -> Any:
        """Creates the protocol of a connection that sends a request."""


class SilentConnection(asyncio.Protocol):
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
                self, estimates.estimate_request(self._received), self._queue
            )
            return False
        # Before the handler, which may pause it again.
        transport.resume_reading()
        self._hand_over()
        return True

    def _has_memory(self) -> bool:
        memory = self._server.ingress.memory
        return not memory.is_short or memory.has_room(
            estimates.estimate_request(self._received)
        )

    def _estimate_cost(self) -> float:
        received = self._received
        cost = estimates.estimate_parsing_cost(
            len(received), received.count(b"\n")
        )
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
