"""A small fleet on the platform, for the cases of the second review.

The daemons are separate processes, started by the command of the deploy file.
The store, the upstreams and the consumers are stand-ins in this process. Each
daemon reaches the store through a relay of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp

from standins import platform_backend
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
# Bounds of the users' small deployments, in their sheets.
BOUNDS = (
    "seedLagS=3,addrReuseS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,"
    "drainMs=2000,graceS=6,lossSlackMs=200,configDeadlineMs=2000,"
    "rollbackSlackMs=250,stretchMaxMs=5000,retryBudgetRatio=0.2,"
    "budgetWindowS=10,retrySlack=62,recoveryS=15"
)
STABLE_WINDOW_S = 3.0
CONFIG_DEADLINE_S = 2.0
STRETCH_MAX_S = 5.0
HEARTBEAT_S = 1.5
_PORTS = {"control": 8620, "inbound": 8624, "ready": 8625, "outbound": 8629}
_FIRST_PORTS = range(20_000, 32_000, 16)
_START_TIMEOUT_S = 20.0


class SetupError(Exception):
    """The case could not run."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class StoreRelay:
    """Passes the calls of one daemon on to the store, or holds them up.

    Attributes:
        port: Its port; set by `start`.
        cut: Whether the machine is partitioned from the store.
        watches: Number of watches that were begun.
    """

    def __init__(self, store_port: int):
        self.port = 0
        self.cut = False
        self.watches = 0
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def heal(self) -> None:
        """Ends the partition; connections that it held up are broken."""
        self.cut = False
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        answers: asyncio.Task[None] | None = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if self.cut:
                    continue
                self.watches += b"/kv-watch" in head.split(b"\r\n")[0]
                if upstream is None:
                    back, upstream = await asyncio.open_connection(
                        "127.0.0.1", self._store_port
                    )
                    answers = asyncio.create_task(self._copy(back, writer))
                upstream.write(head + body)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            if upstream is not None:
                upstream.close()
            if answers is not None:
                answers.cancel()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes answers on; none arrives during a partition."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self.cut:
                    writer.write(data)
        if not self.cut:
            writer.close()


class Machine:
    """A machine with a daemon and its upstream.

    Attributes:
        address: Its loopback address.
        relay: Its way to the store.
        backend: Its upstream.
        process: The daemon, while it is started.
    """

    def __init__(self, service: str, zone: str, address: str, store_port: int):
        self.address = address
        self.zone = zone
        self.relay = StoreRelay(store_port)
        self.backend = platform_backend.PlatformBackendStandin(service, zone)
        self.process: asyncio.subprocess.Process | None = None
        self._beats: asyncio.Task[None] | None = None
        self._first_port, self._reservation = _reserve_ports()

    async def prepare(self, folder: pathlib.Path, zones: list[str]) -> None:
        """Starts the relay and the upstream, and writes the settings."""
        await self.relay.start()
        await self.backend.start()
        lines = {
            "node": f"sidecar-{self.address}",
            "role": "daemon",
            "machineClass": "sidecar",
            "serves": "sidecar",
            "ip": self.address,
            "zone": self.zone,
            "region": "zaanstreek",
            **{f"zones.{zone}": "zaanstreek" for zone in zones},
            **{
                f"listen.{name}": f"{self.address}:{port}"
                for name, port in _PORTS.items()
            },
            "internalPorts": f"{self._first_port},{self._first_port + 15}",
            "seeds": "",
            "firstStart": "true",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1500",
            "bounds": BOUNDS,
            "app": f"127.0.0.1:{self.backend.port}",
            "service": self.backend.service,
            "platform.address": f"127.0.0.1:{self.relay.port}",
            "platform.form": "kv",
        }
        self.settings_path = folder / f"{self.address}.conf"
        self.settings_path.write_text(
            "".join(f"{name}={value}\n" for name, value in lines.items())
        )
        self._log = (folder / f"{self.address}.log").open("ab")

    async def start(self) -> None:
        """Starts the daemon."""
        self.process = await start_daemon(self.settings_path, self._log)
        if self._beats is None:
            self._beats = asyncio.create_task(self._send_beats())

    async def wait_until_ready(self) -> None:
        """Waits until the daemon says that it is ready."""
        url = f"http://{self.address}:8625/merlintrestle/ready"
        deadline = time.monotonic() + _START_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.05)
        raise SetupError(f"{self.address} is not ready")

    def pause_beats(self) -> None:
        """Makes the upstream send no pings."""
        if self._beats is not None:
            self._beats.cancel()

    def resume_beats(self) -> None:
        """Makes the upstream send pings again."""
        self._beats = asyncio.create_task(self._send_beats())

    async def lose(self) -> None:
        """Takes the machine away: its daemon and its upstream."""
        self.pause_beats()
        assert self.process is not None
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self.backend.close()

    async def close(self) -> None:
        """Ends the daemon and the stand-ins."""
        self.pause_beats()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        await self.backend.close()
        await self.relay.close()
        self._reservation.close()
        self._log.close()

    async def _send_beats(self) -> None:
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self.backend.send_heartbeat(f"{self.address}:8620")
            await asyncio.sleep(HEARTBEAT_S)


async def start_daemon(
    settings_path: pathlib.Path, log: Any
) -> asyncio.subprocess.Process:
    """Starts a daemon by the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    role = deploy["roles"]["daemon"]
    program, *arguments = role["run"].split()
    env = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    return await asyncio.create_subprocess_exec(
        program,
        *arguments,
        cwd=ROOT,
        env={
            **env,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MERLINTRESTLE_CONFIG": str(settings_path),
        },
        stdout=log,
        stderr=log,
    )


@dataclasses.dataclass
class Answer:
    """What a consumer got.

    Attributes:
        sent_at: When it sent the request, in seconds.
        status: Status; 0 if there was no answer.
        served_by: Id of the upstream; empty if none is named.
        body: The body.
    """

    sent_at: float
    status: int
    served_by: str = ""
    body: bytes = b""


class Fleet(contextlib.AsyncExitStack):
    """The store and the machines.

    Attributes:
        store: The store.
        machines: The machines.
        record: What happened.
        folder: Temporary folder of settings and logs.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.store = platform_store.PlatformStoreStandin()
        self.store.era = ""
        self.machines: list[Machine] = []
        self._attempts = 0

    async def start(
        self, places: list[tuple[str, str]], configuration: bytes
    ) -> None:
        """Starts the store and a machine for each (service, zone)."""
        await self.store.start()
        self.push_async_callback(self.store.close)
        await self.store.write("op/config", configuration)
        self.folder = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        self._session = await self.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=0)
            )
        )
        zones = sorted({zone for _, zone in places})
        network = f"127.{1 + secrets.randbelow(200)}.{secrets.randbelow(250)}"
        for number, (service, zone) in enumerate(places, 1):
            machine = Machine(
                service, zone, f"{network}.{number}", self.store.port
            )
            self.push_async_callback(machine.close)
            self.machines.append(machine)
            await machine.prepare(self.folder, zones)
            await machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()
        self.record.write(f"{len(places)} daemons are ready")

    async def write_configuration(self, value: bytes) -> float:
        """Writes a configuration as the operator; returns when confirmed."""
        await self.store.write("op/config", value)
        self.record.write("the store confirms a new configuration")
        return time.monotonic()

    async def send(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        timeout_ms: int = 1000,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answer:
        """Sends a request as a consumer on a machine, and records it."""
        self._attempts += 1
        attempt = f"{secrets.token_hex(4)}{self._attempts:08x}"
        sent_at = time.monotonic()
        result = Answer(sent_at, 0)
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000 + 1),
                self._session.request(
                    method,
                    f"http://{machine.address}:8629{path}",
                    headers={
                        "Host": HOST,
                        "X-Attempt-Id": attempt,
                        "X-Deadline-Ms": str(timeout_ms),
                        **(headers or {}),
                    },
                    data=body,
                ) as answer,
            ):
                result.body = await answer.read()
                result.status = answer.status
                result.served_by = answer.headers.get("X-Served-By", "")
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.record.write(
            f"{machine.address} {method} {path} {attempt}: {result.status}"
            f" served by {result.served_by or 'none'}"
        )
        return result


def build_table(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns columns and rows, as a configuration states them."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows],
    }


def build_route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }


def build_configuration(
    version: int, *routes: dict[str, Any], **changes: Any
) -> bytes:
    """Returns a configuration in full, as the operator writes it."""
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": 130}
        for name in ("balie", "kassa")
    ]
    configuration = {
        "version": f"{version:08x}",
        "routes": build_table(list(routes)),
        "services": build_table(services),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **changes,
    }
    return json.dumps(configuration).encode()


def is_troubled() -> bool:
    """Returns whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case: Any, folder: pathlib.Path) -> None:
    """Runs a case; exits with 1 if it broke the rule, 0 if not, 2 if unrun.

    Args:
        case: Coroutine function that gets the record and returns the number
            of breaks.
        folder: Folder of the case, for `record.txt`.
    """
    record = Record(folder / "record.txt")
    record.write(f"trouble: {is_troubled()}")
    try:
        breaks = asyncio.run(_run_case(case, record))
    except Exception as error:  # Anything unforeseen means that it did not run.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    else:
        status = 1 if breaks else 0
        record.write(f"breaks: {breaks}; exit status {status}")
        print(f"breaks: {breaks}")
    record.close()
    sys.exit(status)


async def _run_case(case: Any, record: Record) -> int:
    async with asyncio.timeout(110):
        return await case(record)


def _reserve_ports() -> tuple[int, socket.socket]:
    """Reserves the ports of a daemon; returns the first, and a reservation."""
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
