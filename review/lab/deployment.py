"""A small deployment: the daemons as processes, with all they talk to."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any

from review.lab import upstreams
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("weeghal-noord", "weeghal-zuid", "kantoor-dijk")
# Bounds of the smallest site of the pages (weegbrug-zaan).
BOUNDS = {
    "seedLagS": "3",
    "addrReuseS": "2",
    "stableWindowMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "graceS": "6",
    "lossSlackMs": "200",
    "configDeadlineMs": "2000",
    "rollbackSlackMs": "250",
    "stretchMaxMs": "5000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "retrySlack": "62",
    "recoveryS": "15",
}
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
_CONFIGURATION_KEY = "op/config"
_START_TIMEOUT_S = 20.0
_PORTS = {"control": 8620, "inbound": 8624, "ready": 8625, "outbound": 8629}
_APP_PORT = 8628
# Ports between daemons; below the ephemeral ports of the operating system.
_FIRST_PORTS = range(20_000, 31_000, 16)


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        """Opens the file."""
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def build_table(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the columns and rows in which a configuration states objects."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows],
    }


def build_configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> bytes:
    """Returns a configuration as the operator writes it."""
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": build_table(routes),
            "services": build_table(
                [
                    {
                        "name": service,
                        "healthPath": "/health",
                        "maxConnections": 130,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for service in services
                ]
            ),
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()


class Machine:
    """A machine: a daemon as a process, and the upstream beside it.

    Attributes:
        name: Name of the machine.
        address: Its loopback address.
        service: Service of its upstream.
        upstream: The upstream.
        disturbed_at: When its daemon was last started or got a signal.
        stopping: Whether the platform sends no new consumers to it.
        frozen: Whether its daemon is frozen.
    """

    def __init__(
        self, number: int, service: str, deployment: Deployment, **options: Any
    ):
        """Initializes the machine; `start` starts the daemon."""
        self.name = f"sidecar-{number}"
        self.address = f"{deployment.network}.{number}"
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.disturbed_at = time.monotonic()
        self.stopping = False
        self.frozen = False
        self._deployment = deployment
        self._settings_path = deployment.folder / f"{self.name}.conf"
        self._log_path = deployment.folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._first_port, self._reservation = _reserve_ports()
        self.upstream = upstreams.Upstream(
            service=service,
            zone=self.zone,
            address=f"{self.address}:{_APP_PORT}",
            control=f"{self.address}:{_PORTS['control']}",
            record=deployment.record.write,
            **options,
        )

    @property
    def member_id(self) -> str:
        """Id of the daemon among the daemons."""
        return f"{self.address}:{self._first_port}"

    def get_port(self, name: str) -> int:
        """Returns a port of the daemon by the name in the settings."""
        return _PORTS[name]

    def is_in_touch(self) -> bool:
        """Returns whether its processes ran undisturbed for the window."""
        return time.monotonic() - self.disturbed_at > STABLE_WINDOW_S

    async def start(self) -> None:
        """Writes the settings and starts the daemon."""
        self.write_settings()
        role = self._deployment.role
        words = role["run"].split()
        program = shutil.which(words[0]) or words[0]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(role.get("env", {}))
        environment["MERLINTRESTLE_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.disturbed_at = time.monotonic()
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                program,
                *words[1:],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._deployment.record.write(f"start {self.name}")

    def write_settings(self) -> None:
        """Writes the settings file of the daemon."""
        lines = {
            "node": self.name,
            "role": "daemon",
            "machineClass": "sidecar",
            "serves": "sidecar",
            "ip": self.address,
            "zone": self.zone,
            "region": "zaanstreek",
            **{f"zones.{zone}": "zaanstreek" for zone in ZONES},
            **{
                f"listen.{name}": f"{self.address}:{port}"
                for name, port in _PORTS.items()
            },
            "internalPorts": f"{self._first_port},{self._first_port + 15}",
            "seeds": "",
            "firstStart": "true",
            "failureCounted": "false",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "static",
            "entry": "static",
            "heartbeatMs": f"{HEARTBEAT_S * 1000:.0f}",
            "contracts": self._deployment.contracts,
            "bounds": ",".join(
                f"{name}={value}"
                for name, value in self._deployment.bounds.items()
            ),
            "app": self.upstream.address,
            "service": self.service,
            "platform.address": self._deployment.store_address,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
        }
        self._settings_path.write_text(
            "".join(f"{name}={value}\n" for name, value in lines.items())
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon."""
        assert self._process is not None
        self.disturbed_at = time.monotonic()
        self._process.send_signal(number)
        self._deployment.record.write(f"{number.name} {self.name}")

    def has_ended(self) -> bool:
        """Returns whether the process of the daemon has ended."""
        return self._process is None or self._process.returncode is not None

    async def wait(self) -> int:
        """Waits until the daemon has ended; returns its exit status."""
        assert self._process is not None
        status = await self._process.wait()
        self._deployment.record.write(f"{self.name} ended with {status}")
        return status

    async def stop(self) -> None:
        """Stops the daemon as the platform does."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.wait()
        self.disturbed_at = time.monotonic()

    async def restart(self) -> None:
        """Stops the daemon, starts it again and waits until it is ready."""
        await self.stop()
        await self.start()
        await self.wait_until_ready()

    async def is_ready(self) -> bool:
        """Returns whether the daemon answers the readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                answer = await upstreams.request(
                    self.address,
                    _PORTS["ready"],
                    "GET",
                    "/merlintrestle/ready",
                    {"Host": self.address},
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return answer is not None and answer.status == 200

    async def wait_until_ready(self) -> None:
        """Waits until the daemon is ready."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self._deployment.record.write(f"{self.name} is ready")

    async def close(self) -> None:
        """Kills the daemon and closes the upstream."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        await self.upstream.close()
        self._reservation.close()

    def list_log(self) -> list[dict[str, Any]]:
        """Returns the lines that the daemon has logged."""
        lines = []
        for line in self._log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Deployment(contextlib.AsyncExitStack):
    """The store, the machines and a folder for their files.

    Attributes:
        machines: The machines.
        store: Stand-in of the platform's store.
        store_address: Address that daemons use for the store.
        record: The record of the case.
        folder: Temporary folder.
        role: Role of the daemons in the deploy file.
        bounds: Bounds in the settings, by name.
        network: First three numbers of the machines' addresses.
        contracts: Parts of the rules in force, as in the settings.
    """

    def __init__(self, record: Record, **bounds: str):
        """Initializes the deployment; `start` opens the ports."""
        super().__init__()
        self.record = record
        self.bounds = {**BOUNDS, **bounds}
        self.machines: list[Machine] = []
        self.store = platform_store.PlatformStoreStandin()
        # The pages name no header of the store's answers.
        self.store.era = ""
        self.store_address = ""
        self.contracts = "base,drain,config,cost,retry,recover,platform"
        self.network = (
            f"127.{1 + secrets.randbelow(200)}.{secrets.randbelow(250)}"
        )
        text = (ROOT / "deploy" / "system.toml").read_text()
        self.role = next(iter(tomllib.loads(text)["roles"].values()))
        self.folder = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )

    async def start(
        self, configuration: bytes, services: list[str], **options: Any
    ) -> None:
        """Starts the store, then all machines with their upstreams.

        Args:
            configuration: The first configuration.
            services: Service of each machine's upstream.
            **options: Further options of the upstreams.
        """
        await self.store.start()
        self.push_async_callback(self.store.close)
        self.store_address = self.store_address or self.store.address
        await self.store.write(_CONFIGURATION_KEY, configuration)
        machines = [await self.add(service, **options) for service in services]
        for machine in machines:
            await machine.wait_until_ready()

    async def add(
        self, service: str, version: str = "v1", **options: Any
    ) -> Machine:
        """Adds a machine and starts its upstream and its daemon.

        Args:
            service: Service of its upstream.
            version: Version of its upstream's software.
            **options: Further options of its upstream.
        """
        machine = Machine(len(self.machines) + 1, service, self, **options)
        machine.upstream.version = version
        self.push_async_callback(machine.close)
        self.machines.append(machine)
        await machine.upstream.start()
        await machine.start()
        return machine

    async def write_configuration(self, configuration: bytes) -> None:
        """Writes a configuration as the operator does."""
        await self.store.write(_CONFIGURATION_KEY, configuration)

    def read_key(self, key: str) -> str | None:
        """Returns the value of a key as the operator reads it."""
        item = self.store._items.get(key)
        return None if item is None else item.value.decode()


def _reserve_ports() -> tuple[int, socket.socket]:
    """Returns the first of the ports of a daemon, and what reserves them.

    The second port is opened on 127.0.0.1 whatever the daemon's address is.
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
