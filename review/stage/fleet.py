"""Daemons as separate processes, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import secrets
import socket
import sys
import time
import tomllib
from typing import Any, TYPE_CHECKING

from stage import recording
from stage import store as stores
from stage import upstream as upstreams
from stage import wire

if TYPE_CHECKING:
    import signal

ROOT = pathlib.Path(__file__).parents[2]
_BOUNDS = {
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


# First ports of the machines of this process.
_taken_ports: set[int] = set()


class Daemon:
    """One machine: a daemon and the upstream beside it.

    Attributes:
        address: Loopback address of the machine.
        upstream: The upstream.
        process: The process of the daemon; None before its first start.
    """

    def __init__(
        self,
        address: str,
        upstream: upstreams.Upstream,
        folder: pathlib.Path,
        store_address: str,
        changes: dict[str, str],
        bounds: dict[str, str],
    ):
        self.address = address
        self.upstream = upstream
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._settings_path = folder / f"{address}.conf"
        self._store_address = store_address
        self._changes = changes
        self._bounds = bounds
        self._first_port = _find_ports()

    @property
    def outbound(self) -> str:
        """Address for consumers."""
        return f"{self.address}:8629"

    @property
    def control(self) -> str:
        """Address for pings."""
        return f"{self.address}:8620"

    async def is_ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        request = wire.build_request(
            "GET", "/merlintrestle/ready", {"Host": self.address}
        )
        answer = await wire.fetch(f"{self.address}:8625", request, 0.5)
        return answer is not None and answer.status == 200

    def write_settings(self) -> None:
        """Writes the settings file, as the platform does."""
        ports = {"inbound": 8624, "outbound": 8629, "ready": 8625}
        ports["control"] = 8620
        fields = {
            "node": f"sidecar-{self.address}",
            "role": "daemon",
            "machineClass": "sidecar",
            "serves": "sidecar",
            "ip": self.address,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            **{
                f"listen.{name}": f"{self.address}:{port}"
                for name, port in ports.items()
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
            "app": f"{self.address}:8628",
            "service": self.upstream.service,
            "platform.address": self._store_address,
            "platform.form": "kv",
            "platform.ttlMinMs": "1000",
            **self._changes,
            "bounds": ",".join(
                f"{name}={value}"
                for name, value in {**_BOUNDS, **self._bounds}.items()
            ),
        }
        self._settings_path.write_text(
            "".join(f"{name}={value}\n" for name, value in fields.items())
        )

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MERLINTRESTLE_CONFIG": str(self._settings_path),
        }
        with (self._folder / f"{self.address}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Ends the process and the upstream."""
        await self.upstream.close()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def list_log(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of its log with an event."""
        lines = (self._folder / f"{self.address}.log").read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in parsed if line.get("event") == event]


class Fleet:
    """A store and some machines.

    Attributes:
        store: The store.
        daemons: The machines.
        record: The record of the case.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: recording.Record,
        settings: dict[str, str] | None = None,
        bounds: dict[str, str] | None = None,
    ):
        self.store = stores.Store()
        self.daemons: list[Daemon] = []
        self.record = record
        self._folder = folder
        self._settings = settings or {}
        self._bounds = bounds or {}
        # Such an address belongs to this run alone.
        self._network = (
            f"127.{2 + secrets.randbelow(200)}.{secrets.randbelow(250)}"
        )

    async def start(
        self, services: list[str], configuration: bytes, slots: int = 12
    ) -> None:
        """Starts the store and one machine for each of the services."""
        await self.store.start(f"{self._network}.250")
        self.store.write("op/config", configuration)
        self.record.add("operator", "writes", configuration.decode())
        for number, service in enumerate(services, 1):
            address = f"{self._network}.{number}"
            upstream = upstreams.Upstream(service, self.record, slots)
            await upstream.start(address, 8628)
            daemon = Daemon(
                address,
                upstream,
                self._folder,
                self.store.address,
                self._settings,
                self._bounds,
            )
            self.daemons.append(daemon)
            await daemon.start()
            upstream.begin_beats(daemon.control)

    async def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        """Waits until all daemons are ready.

        Raises:
            TimeoutError: Some are not.
        """
        async with asyncio.timeout(timeout_s):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all processes."""
        for daemon in self.daemons:
            await daemon.close()
        await self.store.close()


def build_table(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a table with columns and rows; null means omitted."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows],
    }


def build_route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of a configuration, for the prefix "/NAME/"."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 2500,
        "targetLatencyMs": 800,
        "priority": 1,
        "split": None,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "service": service,
        **changes,
    }


def build_configuration(
    version: int,
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> bytes:
    """Returns a configuration, as the operator writes it."""
    services = sorted({route["service"] for route in routes})
    fields: dict[str, Any] = {
        "version": f"{version:08x}",
        "routes": build_table(routes),
        "services": build_table(
            [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConnections": 410,
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
    if tenants is not None:
        fields["tenants"] = build_table(tenants)
    return json.dumps(fields).encode()


def _find_ports() -> int:
    """Returns the first of sixteen ports; the second is free on 127.0.0.1."""
    while True:
        first = 20_000 + 16 * secrets.randbelow(700)
        if first in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", first + 1))
            except OSError:
                continue
        _taken_ports.add(first)
        return first


async def wait_until(moment: float) -> None:
    """Waits until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


def is_troubled() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def finish(code: int, text: str) -> None:
    """Prints the result and ends the process."""
    print(text)
    sys.exit(code)
