"""HTTP ports with a few routes, apart from the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import web

from merlintrestle import settings_reader
from merlintrestle.requests.transport import server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from merlintrestle.ingress import ingress as ingresses

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpPorts:
    """HTTP servers, each with one port and its routes."""

    def __init__(self, ingress: ingresses.Ingress, max_body_bytes: int):
        """Initializes the servers; `serve` binds a port.

        Args:
            ingress: The budgets of the process.
            max_body_bytes: Maximum size of the body of a request.
        """
        self._ingress = ingress
        self._max_body_bytes = max_body_bytes
        self._servers: list[server.Server] = []

    async def serve(
        self,
        name: str,
        address: settings_reader.Address,
        routes: Mapping[tuple[str, str], Handler],
    ) -> settings_reader.Address:
        """Binds a port; 0 selects a free one.

        Args:
            name: Name of the port, for metrics.
            address: Address to bind.
            routes: Handlers by method and path. HEAD is allowed where GET is. A
                path that ends with "/" stands for those of one more segment.

        Returns:
            The address with the bound port.
        """
        router = _Router(routes, self._max_body_bytes)
        http_server = server.Server(
            router.handle,
            self._ingress,
            name,
            self._ingress.budgets.endpoint_connections,
        )
        await http_server.start(address.host, address.port)
        self._servers.append(http_server)
        return settings_reader.Address(address.host, http_server.port)

    async def close(self) -> None:
        """Closes all ports."""
        for http_server in self._servers:
            await http_server.close()


class _Router:
    """Finds the route of a request."""

    def __init__(
        self, routes: Mapping[tuple[str, str], Handler], max_body_bytes: int
    ):
        self._routes = routes
        self._max_body_bytes = max_body_bytes

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request; with 404 or 405 if there is no route."""
        if (request.content_length or 0) > self._max_body_bytes:
            return _refuse(413)
        request._client_max_size = self._max_body_bytes
        method = (
            hdrs.METH_GET
            if request.method == hdrs.METH_HEAD
            else request.method
        )
        handlers = {
            stated_method: handler
            for (stated_method, path), handler in self._routes.items()
            if _matches(path, request.path)
        }
        if method in handlers:
            return await handlers[method](request)
        return _refuse(405 if handlers else 404)


def get_last_segment(request: web.BaseRequest) -> str:
    """Returns the last segment of the path, decoded."""
    return request.path.rpartition("/")[2]


def _matches(stated_path: str, path: str) -> bool:
    if not stated_path.endswith("/"):
        return path == stated_path
    segment = path.removeprefix(stated_path)
    return bool(segment) and segment != path and "/" not in segment


def _refuse(status: int) -> web.Response:
    response = web.Response(status=status)
    response.force_close()
    return response
