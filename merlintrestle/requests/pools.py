"""Pools of HTTP connections to daemons and to the own backend server.

The library's own session does much per call that a proxy has no use for
(cookies, redirects, URLs) and sends idempotent methods again by itself. Here
its protocol, parser and writer are used without it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import client_proto

from merlintrestle import errors

if TYPE_CHECKING:
    import aiohttp
    from aiohttp import http_parser

# Shorter than servers keep idle connections: one closed by the other side just
# as a call is written to it would leave that call with an unknown outcome.
KEEPALIVE_S = 15.0
CONNECT_S = 1.0


class ConnectError(errors.MerlintrestleError):
    """No connection came about; nothing was sent."""


class Pool:
    """Idle connections by address, the newest used first."""

    def __init__(self) -> None:
        self._idle: dict[
            str, list[tuple[client_proto.ResponseHandler, float]]
        ] = {}
        self._loop = asyncio.get_running_loop()
        self._cleaning: asyncio.TimerHandle | None = None
        self._used: set[client_proto.ResponseHandler] = set()

    def take(self, address: str) -> client_proto.ResponseHandler | None:
        """Returns an idle connection; None if there is none."""
        idle = self._idle.get(address)
        while idle:
            protocol, since = idle.pop()
            if self._loop.time() - since > KEEPALIVE_S:
                protocol.close()
            elif protocol.is_connected() and not protocol.should_close:
                self._used.add(protocol)
                return protocol
        return None

    async def open(self, address: str) -> client_proto.ResponseHandler:
        """Opens a connection.

        Raises:
            ConnectError: None came about.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                _, protocol = await self._loop.create_connection(
                    self._build, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"{address}: {error}") from error
        self._used.add(protocol)
        return protocol

    def give_back(
        self, address: str, protocol: client_proto.ResponseHandler, keep: bool
    ) -> None:
        """Takes a connection back; it is closed unless it may be kept."""
        self._used.discard(protocol)
        if not keep or protocol.should_close or not protocol.is_connected():
            protocol.close()
            return
        since = self._loop.time()
        self._idle.setdefault(address, []).append((protocol, since))
        if self._cleaning is None:
            self._cleaning = self._loop.call_later(KEEPALIVE_S, self._clean)

    def has_idle(self, address: str) -> bool:
        """Returns whether the next call is likely to reuse a connection."""
        return bool(self._idle.get(address))

    def drop_idle(self, address: str) -> None:
        """Closes the idle connections to an address.

        What made one of them silent was there for all of the same age. Those
        in use are left: their own watches find out.
        """
        for protocol, _ in self._idle.pop(address, []):
            protocol.close()

    def close(self) -> None:
        """Closes all connections, also those in use."""
        if self._cleaning is not None:
            self._cleaning.cancel()
        for address in list(self._idle):
            self.drop_idle(address)
        for protocol in list(self._used):
            protocol.abort()

    def _build(self) -> client_proto.ResponseHandler:
        return client_proto.ResponseHandler(self._loop)

    def _clean(self) -> None:
        self._cleaning = None
        oldest = self._loop.time() - KEEPALIVE_S
        for address, idle in list(self._idle.items()):
            kept = []
            for protocol, since in idle:
                if since > oldest and protocol.is_connected():
                    kept.append((protocol, since))
                else:
                    protocol.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        if self._idle:
            self._cleaning = self._loop.call_later(KEEPALIVE_S, self._clean)


class Response:
    """An answer, its headers read.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers.
        content: Body, to be read.
        content_length: Stated length of the body; None: not stated.
    """

    __slots__ = (
        "_address",
        "_keep",
        "_pool",
        "_protocol",
        "_writing",
        "content",
        "content_length",
        "headers",
        "reason",
        "status",
    )

    def __init__(
        self,
        message: http_parser.RawResponseMessage,
        content: aiohttp.StreamReader,
        protocol: client_proto.ResponseHandler,
        pool: Pool,
        address: str,
        keep: bool,
        writing: asyncio.Task[None] | None,
    ):
        self.status = message.code
        self.reason = message.reason
        self.headers = message.headers
        self.content = content
        length = message.headers.get("Content-Length")
        self.content_length = None if length is None else int(length)
        self._protocol: client_proto.ResponseHandler | None = protocol
        self._pool = pool
        self._address = address
        self._keep = keep
        self._writing = writing
        content.on_eof(self._end)

    def close(self) -> None:
        """Closes the connection unless the answer has come whole."""
        protocol = self._protocol
        if protocol is None:
            return
        self._protocol = None
        self._stop_writing()
        error = errors.MerlintrestleError("the answer was given up")
        if not self.content.is_eof():
            self.content.set_exception(_build_closed(error))
        self._pool.give_back(self._address, protocol, False)

    def _end(self) -> None:
        protocol = self._protocol
        if protocol is None:
            return
        self._protocol = None
        done = self._stop_writing()
        self._pool.give_back(self._address, protocol, self._keep and done)

    def _stop_writing(self) -> bool:
        if self._writing is None or self._writing.done():
            return True
        self._writing.cancel()
        return False


def _build_closed(error: Exception) -> Exception:
    closed = client_proto.ClientPayloadError("the connection was closed")
    closed.__cause__ = error
    return closed
