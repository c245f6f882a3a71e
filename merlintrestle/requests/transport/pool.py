"""The pool: idle connections to other daemons and to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import connectors
from merlintrestle.requests.transport import connections

if TYPE_CHECKING:
    import asyncio

    from merlintrestle.requests.reports import traffic as traffics

# Shorter than servers keep idle connections: one closed by the other side just
# as a call is written to it would leave that call with an unknown outcome.
KEEPALIVE_S = 15.0
# How long before the other side closes an idle connection it is no longer used,
# in seconds: its clock started when it wrote its answer, and it states whole
# seconds only.
_MARGIN_S = 1.0


class Pool:
    """Idle connections by address; the one used last is used first."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        """Starts without connections."""
        self._loop = loop
        self._idle: dict[str, list[connections.Connection]] = {}
        self._heard: dict[str, float] = {}
        self._sweeping: asyncio.TimerHandle | None = None

    def take(self, address: str) -> connections.Connection | None:
        """Returns an idle connection; None: there is none."""
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
        unacknowledged_ms: int = 0,
        traffic: traffics.Traffic | None = None,
    ) -> connections.Connection:
        """Opens a connection.

        Args:
            address: Its other end.
            unacknowledged_ms: Longest time for which what was sent may stay
                unacknowledged; 0: none.
            traffic: Where its bytes are counted.

        Raises:
            OSError: It could not be opened; nothing was sent.
        """
        host, _, port = address.rpartition(":")
        transport, connection = await self._loop.create_connection(
            lambda: connections.Connection(
                self._loop, address, self._heard, traffic
            ),
            host,
            int(port),
        )
        if unacknowledged_ms:
            connectors.limit_unacknowledged(transport, unacknowledged_ms)
        return connection

    def has_heard(self, address: str, since: float) -> bool:
        """Returns whether bytes came from an address since a time."""
        return self._heard.get(address, 0.0) > since

    def give_back(self, connection: connections.Connection) -> None:
        """Keeps a connection whose call has ended, or closes it."""
        if not connection.reusable:
            connection.abort()
            return
        connection.rest(self._loop.time())
        self._idle.setdefault(connection.address, []).append(connection)
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(KEEPALIVE_S, self._sweep)

    def drop(self, address: str) -> None:
        """Closes the idle connections to an address.

        What made one connection silent was there for all of the same age.
        Those in use are left: the watches over their calls find out.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        for address in list(self._idle):
            self.drop(address)

    def _sweep(self) -> None:
        """Closes connections that were idle for too long."""
        self._sweeping = None
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            kept = [one for one in idle if _is_fresh(one, now)]
            for connection in idle:
                if not _is_fresh(connection, now):
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]
                self._heard.pop(address, None)
        if self._idle:
            self._sweeping = self._loop.call_later(KEEPALIVE_S, self._sweep)


def _is_fresh(connection: connections.Connection, now: float) -> bool:
    """Returns whether the other side surely keeps an idle connection open."""
    limit_s = KEEPALIVE_S
    if connection.keep_alive_s is not None:
        limit_s = min(limit_s, connection.keep_alive_s - _MARGIN_S)
    return now - connection.idle_since <= limit_s
