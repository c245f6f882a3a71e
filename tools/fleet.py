"""An example fleet as separate processes: store, daemons, backend servers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

import aiohttp

from merlintrestle.schema import document_pb2
from merlintrestle.store import client
from tools import layouts
from tools import processes
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_BATCH = 8
_SEEDS = 3
_POLL_S = 0.1
_CALL_TIMEOUT = aiohttp.ClientTimeout(total=5.0)


class Instance:
    """One instance: a daemon and the backend server beside it.

    Attributes:
        place: Zone and service.
        daemon: The daemon's process.
        backend: The backend server's process; None before its start.
    """

    def __init__(self, place: layouts.Place, daemon: processes.Process):
        self.place = place
        self.daemon = daemon
        self.backend: processes.Process | None = None

    @property
    def id(self) -> str:
        """Id of the daemon; empty for a baseline's proxy."""
        return self.daemon.ready_fields.get("id", "")

    @property
    def url(self) -> str:
        """Where callers reach the daemon."""
        address = self.id.rpartition(":")[0] or layouts.HOST
        return f"http://{address}:{self.daemon.ready_fields['port']}"

    @property
    def admin_address(self) -> str:
        """Admin address of the daemon."""
        return f"{layouts.HOST}:{self.daemon.ready_fields['admin_port']}"


class Fleet:
    """A store and instances; all processes belong to the given table.

    Attributes:
        layout: Which example fleet.
        store: The store's process, after `start`.
        instances: The instances, after `start`.
        ledger_path: File in which all backend servers record their runs.
    """

    def __init__(
        self,
        table: processes.ProcessTable,
        layout: layouts.Layout,
        build_arguments: Callable[
            [layouts.Place, str, str, list[str]], list[str]
        ] = layouts.build_daemon_arguments,
        name: str = "fleet",
    ):
        """Prepares a fleet.

        Args:
            table: Where its processes are registered.
            layout: Which example fleet.
            build_arguments: Makes the arguments of a daemon, so that a
                baseline can stand in its place.
            name: Names the file of runs.
        """
        self.layout = layout
        self.store: processes.Process
        self.instances: list[Instance] = []
        self.ledger_path = str(table.directory / f"{name}.runs")
        self._table = table
        self._build_arguments = build_arguments
        self._session: aiohttp.ClientSession | None = None
        self._started = 0

    @property
    def store_address(self) -> str:
        """Address of the store, "ip:port"."""
        return self.store.ready_fields["address"]

    async def start(
        self, places: list[layouts.Place], start_backends: bool = True
    ) -> None:
        """Starts the store, the daemons in batches and the backend servers."""
        self._session = aiohttp.ClientSession(timeout=_CALL_TIMEOUT)
        self.store = await self._table.start("store", "standins.store")
        first, rest = places[:_SEEDS], places[_SEEDS:]
        for place in first:
            await self._add_daemon(place)
        for index in range(0, len(rest), _BATCH):
            batch = rest[index : index + _BATCH]
            await _finish_all(*map(self._add_daemon, batch))
        if start_backends:
            await _finish_all(*map(self.start_backend, self.instances))

    async def close(self) -> None:
        """Closes the client; the table stops the processes."""
        if self._session is not None:
            await self._session.close()

    async def restart_daemon(self, instance: Instance) -> None:
        """Starts a daemon that has ended again, at the same ports."""
        before = instance.daemon
        arguments = list(before.arguments)
        fields = ["port", "peer_port", "control_port"]
        if instance.backend is not None:
            # It goes on announcing itself to this port.
            fields.append("admin_port")
        for field in fields:
            flag = "--" + field.replace("_", "-")
            if flag in arguments and field in before.ready_fields:
                arguments[arguments.index(flag) + 1] = str(
                    before.ready_fields[field]
                )
        if before.ready_fields.get("id") and "--seeds" not in arguments:
            others = [i for i in self.instances if i is not instance]
            seeds = [i.id for i in others[:_SEEDS]]
            arguments += ["--seeds", ",".join(seeds)]
        instance.daemon = await self._table.start(before.name, *arguments)

    async def start_backend(self, instance: Instance) -> None:
        """Starts the backend server, at the same port as before if any."""
        service = instance.place.service
        arguments = [
            *("standins.backend", "--service", service),
            *("--admin", instance.admin_address, "--ledger", self.ledger_path),
            *("--daemon", instance.url),
        ]
        for load in workload.read_classes(self.layout.name):
            if load.service == service and not load.large:
                arguments += ["--work", f"{load.prefix}={load.work_ms}"]
        if instance.backend is not None:
            port = instance.backend.ready_fields["address"].rpartition(":")[2]
            arguments += ["--port", port]
        instance.backend = await self._table.start(service, *arguments)

    async def apply(self, *paths: str, operator: str = "demo") -> None:
        """Applies target documents in order by the operators' program.

        Raises:
            processes.ProcessError: The program refused one or failed.
        """
        for path in paths:
            status, out, err = await processes.run_operator(
                "apply",
                path,
                *("--store", self.store_address, "--operator", operator),
                *self._name_daemon(),
            )
            if status:
                raise processes.ProcessError(
                    f"apply ended with status {status}:\n{out}{err}"
                )

    def _name_daemon(self) -> list[str]:
        """Returns the option that names a daemon; none for a baseline."""
        for instance in self.instances:
            if instance.id and instance.daemon.running:
                return ["--daemon", instance.id]
        return []

    async def get_json(self, address: str, path: str) -> Any:
        """Reads a page as JSON; None where it cannot be had."""
        assert self._session is not None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
            async with self._session.get(f"http://{address}{path}") as answer:
                if answer.status == 200:
                    return await answer.json(content_type=None)
        return None

    async def post_json(self, address: str, path: str, fields: Any) -> None:
        """Posts JSON to a control port."""
        assert self._session is not None
        url = f"http://{address}{path}"
        async with self._session.post(url, json=fields) as answer:
            answer.raise_for_status()

    async def set_store_faults(self, **fields: Any) -> None:
        """Puts faults of the store in force in place of those before."""
        await self.post_json(
            self.store.ready_fields["control"], "/faults", fields
        )

    async def read_head(self) -> document_pb2.Head:
        """Returns the accepted head as the store holds it."""
        store = client.StoreClient(self.store_address)
        await store.start()
        try:
            entry = await store.get("head")
        finally:
            await store.close()
        head = document_pb2.Head()
        if entry is not None:
            head.ParseFromString(entry.value)
        return head

    async def read_accepted_ms(self) -> int:
        """Returns when the store took the newest head, in ms since 1970."""
        control = self.store.ready_fields["control"]
        writes = await self.get_json(control, "/writes?key=head")
        return writes[-1]["at_ms"]

    async def wait_until_active(
        self, version: int, within_s: float, instances: list[Instance]
    ) -> float | None:
        """Waits until all instances run a version or a later one.

        Returns:
            Seconds from the store's write of the newest head until the last
            daemon took it into use; None where that took too long.
        """
        accepted_ms = await self.read_accepted_ms()
        taken = [
            self._wait_running(instance, version) for instance in instances
        ]
        try:
            async with asyncio.timeout(within_s):
                last_ms = max(await asyncio.gather(*taken))
        except TimeoutError:
            return None
        return (last_ms - accepted_ms) / 1000

    async def _wait_running(self, instance: Instance, version: int) -> int:
        while True:
            versions = await self.read_versions(instance)
            times = [ms for number, ms in versions.items() if number >= version]
            if times:
                return min(times)
            await asyncio.sleep(_POLL_S)

    async def read_counters(self) -> dict[str, Any]:
        """Returns the store's counters."""
        return await self.get_json(
            self.store.ready_fields["control"], "/counters"
        )

    async def read_versions(self, instance: Instance) -> dict[int, int]:
        """Returns when a daemon took each version into use, in ms."""
        pairs = await self.get_json(instance.admin_address, "/versions") or []
        return {pair["version"]: pair["at_ms"] for pair in pairs}

    async def _add_daemon(self, place: layouts.Place) -> None:
        seeds = [i.id for i in self.instances[:_SEEDS]]
        arguments = self._build_arguments(
            place, self.layout.region, self.store_address, seeds
        )
        if "--address" in arguments:
            address = layouts.get_address(self._started)
            arguments[arguments.index("--address") + 1] = address
        self._started += 1
        daemon = await self._table.start("daemon", *arguments)
        self.instances.append(Instance(place, daemon))


async def _finish_all(*starts: Coroutine[Any, Any, None]) -> None:
    """Runs all to their end, then raises the first error if any.

    A start that goes on after another has failed would add a process after
    the table was closed, which nobody would stop.
    """
    results = await asyncio.gather(*starts, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
