"""Example fleet of separate processes: store, daemons and backend servers."""

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

# Daemons that are started at the same time.
_DAEMONS_PER_BATCH = 8
# Daemons that a starting daemon contacts first.
_SEED_COUNT = 3
_POLL_INTERVAL_S = 0.1
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=5.0)


class Instance:
    """An instance: one daemon and one backend server.

    Attributes:
        place: Availability zone and service.
        daemon: Process of the daemon.
        backend: Process of the backend server; None before its start.
    """

    def __init__(self, place: layouts.Place, daemon: processes.Process):
        self.place = place
        self.daemon = daemon
        self.backend: processes.Process | None = None

    @property
    def id(self) -> str:
        """Id of the daemon, "ip:control port"; empty for a baseline's proxy."""
        return self.daemon.ready_fields.get("id", "")

    @property
    def url(self) -> str:
        """URL of the daemon for callers."""
        address = self.id.rpartition(":")[0] or layouts.HOST
        return f"http://{address}:{self.daemon.ready_fields['port']}"

    @property
    def admin_address(self) -> str:
        """Address of the daemon's admin port on loopback, "ip:port"."""
        return f"{layouts.HOST}:{self.daemon.ready_fields['admin_port']}"


class Fleet:
    """A store and instances, whose processes belong to a process table.

    Attributes:
        layout: Layout of the fleet.
        store: Process of the store; set by `start`.
        instances: Instances; filled by `start`.
        ledger_path: Path of the file in which all backend servers record
            their runs.
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
        """Initializes a fleet without starting it.

        Args:
            table: Table that the fleet's processes are added to.
            layout: Layout of the fleet.
            build_arguments: Returns the module and arguments that start a
                daemon, or a baseline in its place; takes the place, the
                region, the address of the store and the ids of the seeds.
            name: Name of the ledger file, without its suffix.
        """
        self.layout = layout
        self.store: processes.Process
        self.instances: list[Instance] = []
        self.ledger_path = str(table.directory / f"{name}.runs")
        self._table = table
        self._build_arguments = build_arguments
        self._session: aiohttp.ClientSession | None = None
        self._daemons_started = 0

    @property
    def store_address(self) -> str:
        """Address of the store, "ip:port"."""
        return self.store.ready_fields["address"]

    async def start(
        self, places: list[layouts.Place], start_backends: bool = True
    ) -> None:
        """Starts the store, the daemons in batches and the backend servers.

        The seeds are started first, one after another.

        Args:
            places: Place of each instance.
            start_backends: Whether to start the backend servers.
        """
        self._session = aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT)
        self.store = await self._table.start("store", "standins.store")
        seed_places, others = places[:_SEED_COUNT], places[_SEED_COUNT:]
        for place in seed_places:
            await self._add_daemon(place)
        for index in range(0, len(others), _DAEMONS_PER_BATCH):
            batch = others[index : index + _DAEMONS_PER_BATCH]
            await _gather_starts(*map(self._add_daemon, batch))
        if start_backends:
            await _gather_starts(*map(self.start_backend, self.instances))

    async def close(self) -> None:
        """Closes the HTTP client; the process table stops the processes."""
        if self._session is not None:
            await self._session.close()

    async def restart_daemon(self, instance: Instance) -> None:
        """Restarts a daemon that has ended, on the same ports.

        The admin port may differ if the instance has no backend server.
        """
        previous = instance.daemon
        arguments = list(previous.arguments)
        fields = ["port", "peer_port", "control_port"]
        if instance.backend is not None:
            # The backend server keeps announcing itself to this port.
            fields.append("admin_port")
        for field in fields:
            flag = "--" + field.replace("_", "-")
            if flag in arguments and field in previous.ready_fields:
                arguments[arguments.index(flag) + 1] = str(
                    previous.ready_fields[field]
                )
        # The first daemon of a fleet was started without seeds.
        if previous.ready_fields.get("id") and "--seeds" not in arguments:
            others = [i for i in self.instances if i is not instance]
            seeds = [i.id for i in others[:_SEED_COUNT]]
            arguments += ["--seeds", ",".join(seeds)]
        instance.daemon = await self._table.start(previous.name, *arguments)

    async def start_backend(self, instance: Instance) -> None:
        """Starts an instance's backend server, on its previous port if any."""
        service = instance.place.service
        arguments = [
            *("standins.backend", "--service", service),
            *("--admin", instance.admin_address, "--ledger", self.ledger_path),
            *("--daemon", instance.url),
        ]
        for class_load in workload.read_classes(self.layout.name):
            if class_load.service == service and not class_load.large:
                arguments += [
                    "--work",
                    f"{class_load.prefix}={class_load.work_ms}",
                ]
        if instance.backend is not None:
            port = instance.backend.ready_fields["address"].rpartition(":")[2]
            arguments += ["--port", port]
        instance.backend = await self._table.start(service, *arguments)

    async def apply(self, *paths: str, operator: str = "demo") -> None:
        """Applies target documents in order with the operators' command.

        Args:
            paths: Paths of the documents.
            operator: Name of the operator.

        Raises:
            processes.ProcessError: The command refused a document or failed.
        """
        for path in paths:
            status, out, err = await processes.run_operators_command(
                "apply",
                path,
                *("--store", self.store_address, "--operator", operator),
                *self._build_daemon_option(),
            )
            if status:
                raise processes.ProcessError(
                    f"apply ended with status {status}:\n{out}{err}"
                )

    def _build_daemon_option(self) -> list[str]:
        """Returns the option that names a running daemon; [] for a baseline."""
        for instance in self.instances:
            if instance.id and instance.daemon.running:
                return ["--daemon", instance.id]
        return []

    async def get_json(self, address: str, path: str) -> Any:
        """Returns the JSON at a path, or None if it cannot be read."""
        assert self._session is not None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
            async with self._session.get(f"http://{address}{path}") as response:
                if response.status == 200:
                    return await response.json(content_type=None)
        return None

    async def post_json(self, address: str, path: str, fields: Any) -> None:
        """Posts JSON to a control port."""
        assert self._session is not None
        url = f"http://{address}{path}"
        async with self._session.post(url, json=fields) as response:
            response.raise_for_status()

    async def set_store_faults(self, **fields: Any) -> None:
        """Replaces the faults of the store."""
        await self.post_json(
            self.store.ready_fields["control"], "/faults", fields
        )

    async def read_head(self) -> document_pb2.Head:
        """Returns the accepted head, read from the store."""
        store_client = client.StoreClient(self.store_address)
        await store_client.start()
        try:
            entry = await store_client.get("head")
        finally:
            await store_client.close()
        head = document_pb2.Head()
        if entry is not None:
            head.ParseFromString(entry.value)
        return head

    async def read_accepted_ms(self) -> int:
        """Returns when the store wrote the newest head, in ms since 1970."""
        control = self.store.ready_fields["control"]
        writes = await self.get_json(control, "/writes?key=head")
        return writes[-1]["at_ms"]

    async def wait_until_active(
        self, version: int, within_s: float, instances: list[Instance]
    ) -> float | None:
        """Waits until a version or a later one is active on all instances.

        Args:
            version: Version to wait for.
            within_s: Timeout in seconds.
            instances: Instances whose daemons are asked.

        Returns:
            Seconds from the store's write of the newest head until the last
            daemon activated the version or a later one; None after the
            timeout.
        """
        accepted_ms = await self.read_accepted_ms()
        activations = [
            self._wait_active(instance, version) for instance in instances
        ]
        try:
            async with asyncio.timeout(within_s):
                last_ms = max(await asyncio.gather(*activations))
        except TimeoutError:
            return None
        return (last_ms - accepted_ms) / 1000

    async def _wait_active(self, instance: Instance, version: int) -> int:
        """Returns when a daemon activated a version, in ms since 1970."""
        while True:
            versions = await self.read_versions(instance)
            times = [ms for number, ms in versions.items() if number >= version]
            if times:
                return min(times)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def read_counters(self) -> dict[str, Any]:
        """Returns the store's counters."""
        return await self.get_json(
            self.store.ready_fields["control"], "/counters"
        )

    async def read_versions(self, instance: Instance) -> dict[int, int]:
        """Returns when a daemon activated each version, in ms since 1970."""
        pairs = await self.get_json(instance.admin_address, "/versions") or []
        return {pair["version"]: pair["at_ms"] for pair in pairs}

    async def _add_daemon(self, place: layouts.Place) -> None:
        """Starts a daemon or a baseline in its place; adds its instance."""
        seeds = [i.id for i in self.instances[:_SEED_COUNT]]
        arguments = self._build_arguments(
            place, self.layout.region, self.store_address, seeds
        )
        # A baseline has no address of its own.
        if "--address" in arguments:
            address = layouts.get_address(self._daemons_started)
            arguments[arguments.index("--address") + 1] = address
        self._daemons_started += 1
        daemon = await self._table.start("daemon", *arguments)
        self.instances.append(Instance(place, daemon))


async def _gather_starts(*starts: Coroutine[Any, Any, None]) -> None:
    """Waits until all starts have ended, then raises the first error, if any.

    A start that continued after another one failed would add its process after
    the process table was closed, and nothing would stop that process.
    """
    results = await asyncio.gather(*starts, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
