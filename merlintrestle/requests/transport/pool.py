"""Pool of idle connections to other daemons and to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import connectors
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import receive_buffers

if TYPE_CHECKING:
    import asyncio

    from merlintrestle.requests.reports import traffic as traffics

# Maximum idle time of a connection that is reused, in seconds. It is shorter
# than the idle timeout of servers: if a server closed a connection just as a
# call is sent over it, the outcome of the call would be unknown.
MAX_IDLE_S = 15.0
# A connection is no longer used this long before its server closes it. The
# idle time of the server starts when it writes its answer, and it announces
# whole seconds only.
_CLOSE_MARGIN_S = 1.0


class Pool:
    """Idle connections by address, reused last in, first out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        traffic: traffics.Traffic | None = None,
    ):
        """Creates an empty pool.

        Args:
            loop: The event loop.
            traffic: Counter of the bytes of connections that are opened without
                a counter.
        """
        self._loop = loop
        self._traffic = traffic
        self._idle: dict[str, list[connections.Connection]] = {}
        self._last_received_at_by_address: dict[str, float] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    def acquire(self, address: str) -> connections.Connection | None:
        """Removes and returns an idle connection; None: there is none."""
        idle = self._idle.get(address)
        if not idle:
            return None
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            if _is_fresh(connection, now) and connection.reusable:
                return connection
            connection.close()
        return None

    async def open(
        self,
        address: str,
        unacknowledged_timeout_ms: int = 0,
        traffic: traffics.Traffic | None = None,
    ) -> connections.Connection:
        """Opens a connection.

        Args:
            address: Address of the server, "ip:port".
            unacknowledged_timeout_ms: Time for which sent data may stay
                unacknowledged before the operating system closes the
                connection, in milliseconds; 0: the default of the operating
                system.
            traffic: Counter of the bytes of the connection; None: that of the
                pool.

        Raises:
            OSError: The connection failed; nothing was sent.
        """
        host, _, port = address.rpartition(":")
        transport, connection = await self._loop.create_connection(
            lambda: connections.Connection(
                self._loop,
                address,
                self._last_received_at_by_address,
                traffic or self._traffic,
            ),
            host,
            int(port),
        )
        sock = transport.get_extra_info("socket")
        receive_buffers.set_size(sock, receive_buffers.LARGE_BYTES)
        if unacknowledged_timeout_ms:
            connectors.set_user_timeout(transport, unacknowledged_timeout_ms)
        return connection

    def has_received_since(self, address: str, since: float) -> bool:
        """Returns whether bytes were received from an address since a time."""
        return self._last_received_at_by_address.get(address, 0.0) > since

    def release(self, connection: connections.Connection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if not connection.reusable:
            connection.abort()
            return
        connection.mark_idle(self._loop.time())
        self._idle.setdefault(connection.address, []).append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(MAX_IDLE_S, self._sweep)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address.

        If one connection has gone silent (see `probes`), for example because a
        firewall lost its state, the other idle ones to the address probably
        have as well. Connections in use stay open; the watchdogs of their calls
        detect whether they are silent.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for address in list(self._idle):
            self.close_idle(address)

    def _sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        self._sweep_timer = None
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            kept = [
                connection for connection in idle if _is_fresh(connection, now)
            ]
            for connection in idle:
                if not _is_fresh(connection, now):
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]
                self._last_received_at_by_address.pop(address, None)
        if self._idle:
            self._sweep_timer = self._loop.call_later(MAX_IDLE_S, self._sweep)


def _is_fresh(connection: connections.Connection, now: float) -> bool:
    """Returns whether the server is not about to close an idle connection."""
    max_idle_s = MAX_IDLE_S
    if connection.keep_alive_s is not None:
        max_idle_s = min(max_idle_s, connection.keep_alive_s - _CLOSE_MARGIN_S)
    return now - connection.idle_since <= max_idle_s
