"""Protocols: what holds for both ends of a connection between daemons."""

from __future__ import annotations

from typing import cast, TYPE_CHECKING

from aiohttp import base_protocol

if TYPE_CHECKING:
    import asyncio


class Undelayed(base_protocol.BaseProtocol):
    """Leaves it to the event loop to have small packets sent at once.

    Event loops do that for each connection they open or accept. The library
    does it once more, by a socket object of its own: three system calls for
    each end, which shows where connections serve one call.

    It stands behind the library's class in the bases of a protocol.
    """

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport; called by the event loop."""
        self.transport = cast("asyncio.Transport", transport)
