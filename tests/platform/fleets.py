"""A small fleet on a stand-in of the platform, in one process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import aiohttp

from merlintrestle.platform import service
from merlintrestle.platform import store as stores
from standins import platform_backend
from standins import platform_store
from tests.platform import builders

TEST_TIMEOUT_S = 20.0


class Daemon(service.PlatformDaemon):
    """A daemon whose ports the test can ask for."""

    @property
    def url(self) -> str:
        """Where callers send requests."""
        return f"http://127.0.0.1:{self._proxy.caller_port}"

    @property
    def control(self) -> str:
        """Where the backend server sends heartbeats, "ip:port"."""
        return str(self._endpoints.announcements)

    @property
    def ready_url(self) -> str:
        """Where the platform asks whether it serves."""
        return f"http://{self._endpoints.readiness}/merlintrestle/ready"

    def skip_farewell(self) -> None:
        """Has a stop not wait until callers have moved."""
        self._settings.farewell_s = 0

    @property
    def version(self) -> int:
        """The version that runs."""
        return self._active_version.version

    def count_upstreams(self, name: str) -> int:
        """Returns how many upstreams of a service it knows."""
        return len(self._table.get_upstreams(name))


class Fleet(contextlib.AsyncExitStack):
    """A store, and daemons with a backend server each.

    Attributes:
        store: The stand-in of the store.
        daemons: The daemons.
        backends: Their backend servers, in the same order.
        client: Sends requests, each over a new connection.
        expose_share: Part of the calls that a bad version may get.
    """

    expose_share = 0.5

    def __init__(self) -> None:
        super().__init__()
        self.store = platform_store.PlatformStoreStandin()
        self.daemons: list[Daemon] = []
        self.backends: list[platform_backend.PlatformBackendStandin] = []
        self._attempts = 0

    async def start(self, *services: str, configuration: bytes = b"") -> None:
        """Starts one daemon for each service named."""
        await self.store.start()
        self.push_async_callback(self.store.close)
        await self.store.write(
            stores.CONFIGURATION_KEY,
            configuration or builders.build_configuration(5),
        )
        await self.start_daemons(*services)

    async def start_daemons(self, *services: str) -> None:
        """Starts the daemons alone; the store runs already."""
        self.client = await self.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        for name in services:
            await self.add(name)
        await self.meet(services)

    async def add(
        self, name: str, announced: bool = True, version: str = "v1"
    ) -> None:
        """Adds a daemon with a backend server, which may announce itself."""
        host, _, port = self.store.address.rpartition(":")
        backend = platform_backend.PlatformBackendStandin(name, version=version)
        await backend.start()
        self.push_async_callback(backend.close)
        daemon = Daemon(
            builders.build_settings(
                service=name,
                expose_share=self.expose_share,
                backend=builders.settings_lib.Address(host, backend.port),
                store=builders.settings_lib.Address(host, int(port)),
            )
        )
        await daemon.start()
        self.push_async_callback(daemon.stop)
        daemon.skip_farewell()
        self.daemons.append(daemon)
        self.backends.append(backend)
        if announced:
            assert await backend.send_heartbeat(daemon.control) == 200

    async def meet(self, services: tuple[str, ...]) -> None:
        """Waits until every daemon knows every upstream."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for daemon in self.daemons:
                for name in set(services):
                    while daemon.count_upstreams(name) < services.count(name):
                        await asyncio.sleep(0.02)

    async def send(
        self,
        number: int = 0,
        path: str = "/tickets/1",
        method: str = "GET",
        deadline_ms: int = 1000,
        host: str = "desk.example",
        **options: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request to a daemon; returns status, headers and body."""
        self._attempts += 1
        headers = {
            "Host": host,
            "X-Attempt-Id": f"a{self._attempts}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        async with self.client.request(
            method,
            self.daemons[number].url + path,
            headers={**headers, **options.pop("headers", {})},
            **options,
        ) as answer:
            return answer.status, dict(answer.headers), await answer.read()
