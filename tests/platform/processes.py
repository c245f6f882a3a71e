"""Fleet on the platform whose daemons are separate processes."""

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
    from collections.abc import Collection
    import signal

TEST_TIMEOUT_S = 60.0
# Each daemon reserves ten ports. They are not ephemeral ports of the operating
# system: a connection could occupy such a port while the daemon restarts.
_FIRST_PORTS = range(20_000, 32_000, 10)
_ROOT = pathlib.Path(__file__).parents[2]


def _reserve_ports() -> tuple[int, socket.socket]:
    """Reserves the ports of a daemon.

    The second one is the port of the administration interface, which is always
    on 127.0.0.1, whatever the daemon's address is. So it must be free there,
    and no other fleet of tests may choose it before the daemon binds it.

    Returns:
        The first port, and a UDP socket that reserves the ports until it is
        closed.
    """
    while True:
        port = secrets.choice(_FIRST_PORTS)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(("127.0.0.1", port + 1))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port + 1))
        except OSError:
            reservation.close()
            continue
        return port, reservation


class DaemonProcess:
    """A daemon as started by the platform, and its backend server.

    Attributes:
        backend: Local backend server of the daemon.
        lines: JSON lines on standard output, of all runs of the process.
    """

    def __init__(
        self,
        service: str,
        address: str,
        store_address: str,
        folder: pathlib.Path,
        settings: dict[str, str] | None = None,
    ):
        """Sets the addresses; `start` opens all resources.

        Args:
            service: Service of the backend server.
            address: Loopback address of the daemon.
            store_address: Address of the store, "ip:port".
            folder: Folder for the settings file.
            settings: Settings that replace or extend the usual ones.
        """
        self._settings = settings or {}
        self.backend = platform_backend.PlatformBackendStandin(service)
        self.lines: list[dict[str, Any]] = []
        self._address = address
        self._first_port, self._reservation = _reserve_ports()
        self._store_address = store_address
        self._settings_path = folder / f"{address}.conf"
        self._process: asyncio.subprocess.Process | None = None
        self._output_reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Loopback address, which belongs to this daemon only."""
        return self._address

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def url(self) -> str:
        """URL to which callers send requests."""
        return f"http://{self._address}:8629"

    @property
    def heartbeat_address(self) -> str:
        """Address to which the backend server sends heartbeats, "ip:port"."""
        return f"{self._address}:8620"

    @property
    def ready_url(self) -> str:
        """URL at which the platform checks readiness."""
        return f"http://{self._address}:8625/merlintrestle/ready"

    async def start(self) -> None:
        """Writes the settings file and starts the process."""
        if not self.backend.port:
            await self.backend.start()
        self.write_settings()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "merlintrestle.platform",
            cwd=_ROOT,
            env={
                **os.environ,
                settings_lib.PATH_VARIABLE: str(self._settings_path),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._output_reader = asyncio.create_task(
            self._read_output(self._process)
        )

    def write_settings(self, **changes: str) -> None:
        """Writes the settings file.

        Args:
            **changes: Settings that replace or extend the usual ones.
        """
        ports = {"inbound": 8624, "outbound": 8629, "ready": 8625}
        ports["control"] = 8620
        listen = {
            f"listen.{name}": f"{self._address}:{port}"
            for name, port in ports.items()
        }
        text = builders.build_settings_text(
            **{
                **listen,
                "ip": self._address,
                "service": self.backend.service,
                "app": f"127.0.0.1:{self.backend.port}",
                "internalPorts": f"{self._first_port},{self._first_port + 9}",
                "platform.address": self._store_address,
                **self._settings,
                **changes,
            }
        )
        self._settings_path.write_text(text)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Waits for the process to end; returns its exit status."""
        assert self._process is not None
        assert self._output_reader is not None
        await self._output_reader
        return await self._process.wait()

    async def close(self) -> None:
        """Kills the process if it is running, and stops the backend server."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self.wait()
        await self.backend.close()
        self._reservation.close()

    def list_events(self) -> list[str]:
        """Returns the logged events, in order."""
        return [line["event"] for line in self.lines if "event" in line]

    async def _read_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            self.lines.append(json.loads(line))


class ProcessFleet(contextlib.AsyncExitStack):
    """A store, and daemons that are separate processes.

    Each daemon has its own loopback address, so that all can use the same
    ports, as on the platform.

    Attributes:
        store: Stand-in for the store.
        daemons: Daemons.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = platform_store.PlatformStoreStandin()
        self.daemons: list[DaemonProcess] = []
        self._attempt_count = 0

    async def start(
        self,
        *services: str,
        configuration: bytes | None = None,
        settings: dict[str, str] | None = None,
    ) -> None:
        """Starts the store and one ready daemon for each of the services.

        Args:
            *services: Services of the backend servers.
            configuration: The first configuration; None: a usual one.
            settings: Settings that replace or extend the usual ones.
        """
        await self.store.start()
        self.push_async_callback(self.store.close)
        await self.store.write(
            stores.CONFIGURATION_KEY,
            configuration or builders.build_configuration(5),
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
                service,
                f"{network}.{number}",
                self.store.address,
                folder,
                settings,
            )
            self.push_async_callback(daemon.close)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_for_readiness(daemon)
            assert (
                await daemon.backend.send_heartbeat(daemon.heartbeat_address)
                == 200
            )

    async def send_heartbeats(self, silent: Collection[int] = ()) -> None:
        """Sends one heartbeat of each backend server.

        Args:
            silent: Indices of the backend servers that send none.
        """
        for index, daemon in enumerate(self.daemons):
            if index in silent:
                continue
            try:
                await daemon.backend.send_heartbeat(daemon.heartbeat_address)
            except (aiohttp.ClientError, TimeoutError):
                # The daemon is stopped; it receives a later heartbeat.
                continue

    async def wait_for_readiness(
        self, daemon: DaemonProcess, status: int = 200
    ) -> None:
        """Waits until the readiness endpoint of a daemon returns a status.

        Args:
            daemon: The daemon.
            status: 200 if callers may use the daemon, else 503.
        """
        while await self._query_readiness(daemon) != status:
            await asyncio.sleep(0.05)

    async def wait_until_served(
        self, index: int, path: str = "/tickets/1"
    ) -> None:
        """Repeats a request, which must be idempotent, until it is served."""
        while await self.send(index, path) != 200:
            await asyncio.sleep(0.05)

    async def send(self, index: int, path: str = "/tickets/1") -> int:
        """Sends a request to a daemon; returns the status, 0 on failure."""
        self._attempt_count += 1
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": f"a{self._attempt_count}",
            "X-Deadline-Ms": "5000",
        }
        url = self.daemons[index].url + path
        try:
            async with self._client.get(url, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def _query_readiness(self, daemon: DaemonProcess) -> int:
        try:
            async with self._client.get(daemon.ready_url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0
