"""Fleet in one process, on stand-ins for the platform."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

import aiohttp

from merlintrestle import settings_reader
from merlintrestle.platform import service
from merlintrestle.platform import store as stores
from standins import platform_backend
from standins import platform_store
from tests.platform import builders

if TYPE_CHECKING:
    from merlintrestle.requests.crashing import strikes as strikes_lib

TEST_TIMEOUT_S = 20.0


class Daemon(service.PlatformDaemon):
    """Daemon whose addresses and state are accessible to tests."""

    @property
    def url(self) -> str:
        """URL to which callers send requests."""
        return f"http://127.0.0.1:{self._proxy.caller_port}"

    @property
    def heartbeat_address(self) -> str:
        """Address to which the backend server sends heartbeats, "ip:port"."""
        return str(self._endpoints.announcements)

    @property
    def ready_url(self) -> str:
        """URL at which the platform checks readiness."""
        return f"http://{self._endpoints.readiness}/merlintrestle/ready"

    @property
    def strikes(self) -> strikes_lib.Strikes:
        """What it knows of requests that crash backend servers."""
        return self._proxy.crashes.strikes

    def skip_farewell(self) -> None:
        """Makes a stop skip the wait for callers to leave."""
        self._settings.farewell_s = 0

    @property
    def version(self) -> int:
        """Running version of the configuration."""
        return self._active_version.version

    def count_upstreams(self, service_name: str) -> int:
        """Returns the number of known upstreams of a service."""
        return len(self._table.get_upstreams(service_name))


class Fleet(contextlib.AsyncExitStack):
    """A store, daemons, and one backend server for each daemon.

    Attributes:
        store: Stand-in for the store.
        daemons: Daemons.
        backends: Backend servers of the daemons, in the same order.
        client: HTTP client that uses a new connection for each request.
        expose_share: Share of the calls that a bad version may get.
    """

    expose_share = 0.5

    def __init__(self) -> None:
        super().__init__()
        self.store = platform_store.PlatformStoreStandin()
        self.daemons: list[Daemon] = []
        self.backends: list[platform_backend.PlatformBackendStandin] = []
        self._attempt_count = 0

    async def start(self, *services: str, configuration: bytes = b"") -> None:
        """Starts the store and one daemon for each of the services."""
        await self.store.start()
        self.push_async_callback(self.store.close)
        await self.store.write(
            stores.CONFIGURATION_KEY,
            configuration or builders.build_configuration(5),
        )
        await self.start_daemons(*services)

    async def start_daemons(self, *services: str) -> None:
        """Starts only the daemons; the store must be running."""
        self.client = await self.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        for service_name in services:
            await self.add_daemon(service_name)
        await self.wait_until_discovered(services)

    async def add_daemon(
        self,
        service_name: str,
        with_heartbeat: bool = True,
        version: str = "v1",
    ) -> None:
        """Adds a daemon with a backend server.

        Args:
            service_name: Service of the backend server.
            with_heartbeat: Whether the backend server sends one heartbeat.
            version: Version of the backend server's software.
        """
        host, _, port = self.store.address.rpartition(":")
        backend = platform_backend.PlatformBackendStandin(
            service_name, version=version
        )
        await backend.start()
        self.push_async_callback(backend.close)
        daemon = Daemon(
            builders.build_settings(
                service=service_name,
                expose_share=self.expose_share,
                backend=settings_reader.Address(host, backend.port),
                store=settings_reader.Address(host, int(port)),
            )
        )
        await daemon.start()
        self.push_async_callback(daemon.stop)
        daemon.skip_farewell()
        self.daemons.append(daemon)
        self.backends.append(backend)
        if with_heartbeat:
            assert await backend.send_heartbeat(daemon.heartbeat_address) == 200

    async def wait_until_discovered(self, services: tuple[str, ...]) -> None:
        """Waits until every daemon knows all upstreams.

        Args:
            services: Service of each upstream; repeated for several upstreams.
        """
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for daemon in self.daemons:
                for service_name in set(services):
                    while daemon.count_upstreams(service_name) < services.count(
                        service_name
                    ):
                        await asyncio.sleep(0.02)

    async def send(
        self,
        index: int = 0,
        path: str = "/tickets/1",
        method: str = "GET",
        deadline_ms: int = 1000,
        host: str = "desk.example",
        **options: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request of a caller to a daemon.

        The ids of the attempts of a fleet are "a1", "a2" and so on.

        Args:
            index: Index of the daemon in `daemons`.
            path: Path of the request.
            method: HTTP method.
            deadline_ms: Time for which the caller waits, in milliseconds.
            host: Host of the route.
            **options: Passed to `aiohttp.ClientSession.request`; `headers` are
                added to those of the caller.

        Returns:
            Status, headers and body of the response.
        """
        self._attempt_count += 1
        headers = {
            "Host": host,
            "X-Attempt-Id": f"a{self._attempt_count}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        async with self.client.request(
            method,
            self.daemons[index].url + path,
            headers={**headers, **options.pop("headers", {})},
            **options,
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.read(),
            )
