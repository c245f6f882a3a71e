"""The failures that `tools/measure failures` causes, at fixed times."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import pathlib
import signal
import time
from typing import NamedTuple, TYPE_CHECKING

import aiohttp

from tools import demonstration
from tools import processes
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tools import fleet

logger = logging.getLogger(__name__)

# Duration of the load during which the failures are caused.
DURATION_S = 30.0
_WATCH_INTERVAL_S = 0.2
# Time in which all daemons must run the accepted version after the last
# failure.
_RECOVERY_TIMEOUT_S = 5.0


class PlannedStop(NamedTuple):
    """A planned stop of a daemon or backend server, which must cut no call.

    Attributes:
        at_ms: When the stop began, in ms since 1970.
        daemon_url: URL of the instance's daemon.
        address: Address of the instance's backend server.
        stops_daemon: Whether the daemon stops; otherwise the backend server
            drains.
        restarted_ms: When the process was started again, in ms since 1970.
    """

    at_ms: int
    daemon_url: str
    address: str
    stops_daemon: bool
    restarted_ms: float = math.inf


class Scenario:
    """Causes the failures and restarts the processes that failed.

    Attributes:
        planned_stops: Planned stops so far.
        crashes: Number of crashes of backend servers that no step of the
            scenario caused.
        accepted_changes: Number of changes of targets that were reported to the
            operator as accepted.
        outdated_daemons: Number of daemons that do not run the accepted version
            at the end, after all failures are over.
    """

    def __init__(
        self,
        example_fleet: fleet.Fleet,
        folder: pathlib.Path,
        refresh: Callable[[], Awaitable[None]],
        with_versions: bool,
    ):
        """Initializes the scenario.

        Args:
            example_fleet: The fleet in which to cause the failures.
            folder: Folder for changed target documents.
            refresh: Called after each restart of a daemon, to tell the
                baseline's proxies the upstreams.
            with_versions: Whether the daemons run configuration versions;
                false for the baseline.
        """
        self.planned_stops: list[PlannedStop] = []
        self.crashes = 0
        self.accepted_changes = 0
        self.outdated_daemons = 0
        # For each instance, the versions that it ran, by the process id of its
        # daemon.
        self._versions_by_pid: list[dict[int, list[int]]] = [
            {} for _ in example_fleet.instances
        ]
        self._fleet = example_fleet
        self._folder = folder
        self._refresh = refresh
        self._with_versions = with_versions
        # Held while a backend server is stopped, started or given a fault. Two
        # restarts of one backend server at once would use the same port.
        self._locks = {
            instance: asyncio.Lock() for instance in example_fleet.instances
        }

    async def run(self) -> None:
        """Causes every failure at its time and waits until all are over."""
        first, second, third = self._group_instances()
        steps: list[tuple[float, Awaitable[None]]] = [
            (2.0, self._kill_daemon(first[0], 2.0)),
            (3.0, self._change_targets(10)),
            (4.0, self._freeze(first[1].daemon, 3.0)),
            (5.0, self._kill_backend(first[2])),
            (7.0, self._fail_store(4.0, outage="unavailable")),
            (8.0, self._kill_daemon(second[0], 2.0)),
            (9.0, self._freeze(second[1].backend, 2.0)),
            (10.0, self._set_backend_fault(third[2 % len(third)], "cut")),
            (11.0, self._set_backend_fault(first[3 % len(first)], "silent")),
            (12.0, self._drain_backend(third[0], 8.0)),
            (14.0, self._stop_daemon(third[1])),
            (16.0, self._snapshot_store()),
            (17.0, self._change_with_lost_answers()),
            (19.0, self._fail_store(3.0, latency_s=0.5)),
            (20.0, self._kill_backend(second[2 % len(second)])),
            (23.0, self._fail_store(4.0, stale=True)),
            (23.5, self._kill_daemon(first[1], 0.5)),
        ]
        watch_tasks = [
            asyncio.create_task(self._watch_backends()),
            asyncio.create_task(self._watch_versions()),
        ]
        try:
            await asyncio.gather(*(_run_after(*step) for step in steps))
        finally:
            for task in watch_tasks:
                task.cancel()
            await asyncio.gather(*watch_tasks, return_exceptions=True)
        await self._count_outdated_daemons()
        await self._record_versions()

    def list_versions(self) -> list[list[int]]:
        """Returns the versions that each instance ran, in order.

        The versions of a daemon's processes before and after a restart follow
        each other.
        """
        return [
            sum(versions.values(), start=[])
            for versions in self._versions_by_pid
        ]

    async def _count_outdated_daemons(self) -> None:
        """Counts the daemons that do not run the accepted version in time."""
        if not self._with_versions:
            return
        version = (await self._fleet.read_head()).version
        instances = self._fleet.instances
        if (
            await self._fleet.wait_until_active(
                version, _RECOVERY_TIMEOUT_S, instances
            )
            is None
        ):
            times_by_version = await asyncio.gather(
                *map(self._fleet.read_versions, instances)
            )
            outdated = [
                max(versions, default=0) < version
                for versions in times_by_version
            ]
            self.outdated_daemons = sum(outdated)

    def _group_instances(self) -> list[list[fleet.Instance]]:
        """Returns the instances of each service, by the layout's order."""
        return [
            [i for i in self._fleet.instances if i.place.service == service]
            for service in self._fleet.layout.backend_counts
        ]

    async def _kill_daemon(
        self, instance: fleet.Instance, downtime_s: float
    ) -> None:
        """Kills a daemon and starts it again after some time."""
        await self._record_versions()
        await instance.daemon.kill()
        await asyncio.sleep(downtime_s)
        await self._fleet.restart_daemon(instance)
        await self._refresh()

    async def _kill_backend(self, instance: fleet.Instance) -> None:
        """Kills a backend server and starts it again after a second."""
        async with self._locks[instance]:
            assert instance.backend is not None
            await instance.backend.kill()
            await asyncio.sleep(1.0)
            await self._fleet.start_backend(instance)

    async def _freeze(
        self, process: processes.Process | None, duration_s: float
    ) -> None:
        """Stops a process by SIGSTOP and lets it continue after some time."""
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    async def _fail_store(self, duration_s: float, **faults: object) -> None:
        """Sets faults of the store for some time.

        Args:
            duration_s: Time after which the faults end, in seconds.
            **faults: The faults by name.
        """
        await self._fleet.set_store_faults(**faults)
        await asyncio.sleep(duration_s)
        await self._fleet.set_store_faults()

    async def _snapshot_store(self) -> None:
        """Makes later stale reads return the store's present state."""
        control = self._fleet.store.ready_fields["control"]
        await self._fleet.post_json(control, "/remember", {})

    async def _set_backend_fault(
        self, instance: fleet.Instance, fault: str
    ) -> None:
        """Sets a fault of a backend server, which remains until it restarts."""
        async with self._locks[instance]:
            await self._restart_if_crashed(instance)
            assert instance.backend is not None
            control = instance.backend.ready_fields["control"]
            # The backend server may be crashed by a caller's request meanwhile.
            with contextlib.suppress(aiohttp.ClientError):
                await self._fleet.post_json(control, "/faults", {fault: True})

    async def _drain_backend(
        self, instance: fleet.Instance, drain_s: float
    ) -> None:
        """Drains a backend server, stops it and starts it again.

        While it drains, it still runs the calls that arrive.
        """
        async with self._locks[instance]:
            await self._restart_if_crashed(instance)
            backend = instance.backend
            assert backend is not None
            planned_stop = self._record_stop(instance, stops_daemon=False)
            control = backend.ready_fields["control"]
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._fleet.post_json(control, "/drain", {})
            await asyncio.sleep(drain_s)
            await backend.stop()
            restarted_ms = time.time_ns() // 1_000_000
            index = self.planned_stops.index(planned_stop)
            self.planned_stops[index] = planned_stop._replace(
                restarted_ms=restarted_ms
            )
            await self._fleet.start_backend(instance)

    async def _stop_daemon(self, instance: fleet.Instance) -> None:
        """Stops a daemon as planned and starts it again."""
        await self._record_versions()
        self._record_stop(instance, stops_daemon=True)
        await instance.daemon.stop(within_s=20.0)
        await self._fleet.restart_daemon(instance)
        await self._refresh()

    async def _change_with_lost_answers(self) -> None:
        """Changes a target while the store's answers are lost."""
        if not self._with_versions:
            return
        await self._fleet.set_store_faults(lose_answers=3)
        await self._change_targets(20)
        await self._fleet.set_store_faults()

    async def _change_targets(self, add_ms: int) -> None:
        """Applies a document with a changed latency target.

        Args:
            add_ms: Time to add to the first latency target, in ms.
        """
        if not self._with_versions:
            return
        document = workload.list_documents(self._fleet.layout.name)[-1]
        path = demonstration.change_document(
            pathlib.Path(document), self._folder, add_ms
        )
        try:
            await self._fleet.apply(str(path))
        except processes.ProcessError as error:
            logger.info("change of targets not accepted: %s", error)
        else:
            self.accepted_changes += 1

    def _record_stop(
        self, instance: fleet.Instance, stops_daemon: bool
    ) -> PlannedStop:
        """Records that a planned stop of an instance begins now."""
        assert instance.backend is not None
        at_ms = time.time_ns() // 1_000_000
        address = instance.backend.ready_fields["address"]
        planned_stop = PlannedStop(at_ms, instance.url, address, stops_daemon)
        self.planned_stops.append(planned_stop)
        return planned_stop

    async def _watch_backends(self) -> None:
        """Restarts backend servers that have crashed, until cancelled."""
        while True:
            for instance in self._fleet.instances:
                if not self._locks[instance].locked():
                    async with self._locks[instance]:
                        await self._restart_if_crashed(instance)
            await asyncio.sleep(_WATCH_INTERVAL_S)

    async def _restart_if_crashed(self, instance: fleet.Instance) -> None:
        """Restarts the backend server of an instance if it has crashed."""
        backend = instance.backend
        if backend is not None and not backend.running:
            self.crashes += 1
            await self._fleet.start_backend(instance)

    async def _watch_versions(self) -> None:
        """Records the versions of the daemons, until cancelled."""
        while True:
            await self._record_versions()
            await asyncio.sleep(_WATCH_INTERVAL_S)

    async def _record_versions(self) -> None:
        """Records the versions that the present process of each daemon ran."""
        if not self._with_versions:
            return
        instances = self._fleet.instances
        times_by_version = await asyncio.gather(
            *map(self._fleet.read_versions, instances)
        )
        triples = zip(
            instances, self._versions_by_pid, times_by_version, strict=True
        )
        for instance, versions_by_pid, versions in triples:
            # A daemon lists only the versions of its own process, so the list
            # of a restarted one is empty at first.
            if versions:
                versions_by_pid[instance.daemon.pid] = list(versions)


async def _run_after(delay_s: float, step: Awaitable[None]) -> None:
    await asyncio.sleep(delay_s)
    await step
