"""HTTP ports with a few routes, apart from the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from merlintrestle import settings_reader

if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum wait for open requests when a port is closed.
_SHUTDOWN_TIMEOUT_S = 0.1


class HttpPorts:
    """HTTP servers, each with one port and its routes."""

    def __init__(self, max_body_bytes: int):
        """Initializes the servers; `serve` binds a port.

        Args:
            max_body_bytes: Maximum size of the body of a request.
        """
        self._max_body_bytes = max_body_bytes
        self._runners: list[web.AppRunner] = []

    async def serve(
        self,
        address: settings_reader.Address,
        routes: Sequence[web.AbstractRouteDef],
    ) -> settings_reader.Address:
        """Binds a port; 0 selects a free one.

        Returns:
            The address with the bound port.
        """
        application = web.Application(client_max_size=self._max_body_bytes)
        application.add_routes(routes)
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, address.host, address.port).start()
        return settings_reader.Address(address.host, runner.addresses[0][1])

    async def close(self) -> None:
        """Closes all ports."""
        for runner in self._runners:
            await runner.cleanup()
