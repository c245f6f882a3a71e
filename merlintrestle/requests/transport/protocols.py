"""asyncio protocol base class for connections."""

from __future__ import annotations

from typing import cast, TYPE_CHECKING

from aiohttp import base_protocol

if TYPE_CHECKING:
    import asyncio


class NoDelayProtocol(base_protocol.BaseProtocol):
    """Leaves setting TCP_NODELAY to the event loop.

    Event loops set it for each connection that they open or accept. aiohttp
    sets it again, through another socket object. That takes three system
    calls at each end, a noticeable cost for connections that serve one call.

    Must follow aiohttp's class in the bases of a protocol.
    """

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the transport; called by the event loop."""
        self.transport = cast("asyncio.Transport", transport)
