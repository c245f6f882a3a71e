"""A fleet on the platform whose daemons are processes of their own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import socket
import sys
import tempfile
from typing import Any, TYPE_CHECKING

import aiohttp

from merlintrestle.platform import settings as settings_lib
from merlintrestle.platform import store as stores
from standins import platform_backend
from standins import platform_store
from tests.platform import builders

if TYPE_CHECKING:
    import signal

TEST_TIMEOUT_S = 60.0
_INTERNAL_PORTS = range(20_000, 32_000, 10)
_ROOT = pathlib.Path(__file__).parents[2]


def _find_port() -> int:
    """Returns a port whose next one is free on the loopback address.

    A daemon opens its own loopback port there, whatever its address is. It is
    none that the operating system gives to connections: one of them could have
    it while the daemon is restarted.
    """
    while True:
        port = secrets.choice(_INTERNAL_PORTS)
        with socket.socket() as free, contextlib.suppress(OSError):
            free.bind(("127.0.0.1", port + 1))
            return port


class DaemonProcess:
    """A daemon as the platform starts it, and the backend server beside it.

    Attributes:
        backend: The backend server.
        lines: What the process wrote to standard output, over all its lives.
    """

    def __init__(
        self, service: str, address: str, store: str, folder: pathlib.Path
    ):
        """Sets where it listens; nothing is opened before `start`."""
        self.backend = platform_backend.PlatformBackendStandin(service)
        self.lines: list[dict[str, Any]] = []
        self._address = address
        self._internal_port = _find_port()
        self._store = store
        self._path = folder / f"{address}.conf"
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Where callers send requests."""
        return f"http://{self._address}:8629"

    @property
    def control(self) -> str:
        """Where the backend server sends heartbeats, "ip:port"."""
        return f"{self._address}:8620"

    @property
    def ready_url(self) -> str:
        """Where the platform asks whether it serves."""
        return f"http://{self._address}:8625/merlintrestle/ready"

    async def start(self) -> None:
        """Starts the process with the settings file as it is now."""
        if not self.backend.port:
            await self.backend.start()
        self.write_settings()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "merlintrestle.platform",
            cwd=_ROOT,
            env={**os.environ, settings_lib.PATH_VARIABLE: str(self._path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read(self._process))

    def write_settings(self, **changes: str) -> None:
        """Writes the settings file."""
        ports = {"inbound": 8624, "outbound": 8629, "ready": 8625}
        ports["control"] = 8620
        listen = {
            f"listen.{name}": f"{self._address}:{port}"
            for name, port in ports.items()
        }
        text = builders.build_text(
            **{
                **listen,
                "ip": self._address,
                "service": self.backend.service,
                "app": f"127.0.0.1:{self.backend.port}",
                "internalPorts": f"{self._internal_port},"
                f"{self._internal_port + 9}",
                "platform.address": self._store,
                **changes,
            }
        )
        self._path.write_text(text)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        assert self._process is not None
        assert self._reading is not None
        await self._reading
        return await self._process.wait()

    async def close(self) -> None:
        """Kills the process if it still runs, and ends the backend server."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self.wait()
        await self.backend.close()

    def list_events(self) -> list[str]:
        """Returns the events that the process logged, in order."""
        return [line["event"] for line in self.lines if "event" in line]

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            self.lines.append(json.loads(line))


class ProcessFleet(contextlib.AsyncExitStack):
    """A store, and daemons that are processes of their own.

    Each daemon has an address of its own on loopback, so that all may use the
    same ports, as on the platform.

    Attributes:
        store: The stand-in of the store.
        daemons: The daemons.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = platform_store.PlatformStoreStandin()
        self.daemons: list[DaemonProcess] = []
        self._attempts = 0

    async def start(self, *services: str) -> None:
        """Starts one daemon for each service named, and has them meet."""
        await self.store.start()
        self.push_async_callback(self.store.close)
        await self.store.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(5)
        )
        folder = pathlib.Path(self.enter_context(tempfile.TemporaryDirectory()))
        self._client = await self.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        network = f"127.{1 + secrets.randbelow(200)}.{secrets.randbelow(250)}"
        for number, service in enumerate(services, 1):
            daemon = DaemonProcess(
                service, f"{network}.{number}", self.store.address, folder
            )
            self.push_async_callback(daemon.close)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)
            assert await daemon.backend.send_heartbeat(daemon.control) == 200

    async def wait_until_ready(
        self, daemon: DaemonProcess, status: int = 200
    ) -> None:
        """Waits until a daemon says that callers may come, or may not."""
        while await self._ask_ready(daemon) != status:
            await asyncio.sleep(0.05)

    async def wait_until_served(
        self, number: int, path: str = "/tickets/1"
    ) -> None:
        """Waits until a daemon serves a request, which callers may retry."""
        while await self.send(number, path) != 200:
            await asyncio.sleep(0.05)

    async def send(self, number: int, path: str = "/tickets/1") -> int:
        """Sends a request to a daemon; returns its status, 0 for none."""
        self._attempts += 1
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": f"a{self._attempts}",
            "X-Deadline-Ms": "5000",
        }
        url = self.daemons[number].url + path
        try:
            async with self._client.get(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def _ask_ready(self, daemon: DaemonProcess) -> int:
        try:
            async with self._client.get(daemon.ready_url) as answer:
                return answer.status
        except aiohttp.ClientError:
            return 0
