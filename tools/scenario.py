"""Failures that `tools/measure failures` causes, in one fixed order."""

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

DURATION_S = 30.0
_WATCH_EVERY_S = 0.2
_HEAL_S = 5.0


class PlannedStop(NamedTuple):
    """A planned stop that must cut nothing.

    Attributes:
        at_ms: When it began, in ms since 1970.
        daemon_url: URL of the daemon beside the one that leaves.
        address: Address of the backend server.
        stops_daemon: True if the daemon stops; false if the backend server
            drains.
        restarted_ms: When what left was started again, in ms since 1970.
    """

    at_ms: int
    daemon_url: str
    address: str
    stops_daemon: bool
    restarted_ms: float = math.inf


class Scenario:
    """Causes the failures and restarts what should run again.

    Attributes:
        planned_stops: Planned stops that were made.
        crashes: Backend servers that ended by themselves.
        accepted_changes: Changes of targets that operators were told are
            accepted.
        outdated_daemons: Daemons that do not run the accepted version at the
            end, with everything well again.
    """

    def __init__(
        self,
        example_fleet: fleet.Fleet,
        folder: pathlib.Path,
        refresh: Callable[[], Awaitable[None]],
        with_versions: bool,
    ):
        """Prepares the failures of a fleet.

        Args:
            example_fleet: The fleet.
            folder: Folder for changed target documents.
            refresh: Called after each restart.
            with_versions: False for the baseline, which has no versions.
        """
        self.planned_stops: list[PlannedStop] = []
        self.crashes = 0
        self.accepted_changes = 0
        self.outdated_daemons = 0
        self._pages: list[dict[int, list[int]]] = [
            {} for _ in example_fleet.instances
        ]
        self._fleet = example_fleet
        self._folder = folder
        self._refresh = refresh
        self._with_versions = with_versions
        # Two restarts of one backend server would want the same port.
        self._locks = {
            instance: asyncio.Lock() for instance in example_fleet.instances
        }

    async def run(self) -> None:
        """Causes every failure at its time; returns when all are over."""
        balie, kassa, archive = self._list_services()
        steps: list[tuple[float, Awaitable[None]]] = [
            (2.0, self._kill_daemon(balie[0], 2.0)),
            (3.0, self._change_targets(10)),
            (4.0, self._freeze(balie[1].daemon, 3.0)),
            (5.0, self._kill_backend(balie[2])),
            (7.0, self._fail_store(4.0, outage="unavailable")),
            (8.0, self._kill_daemon(kassa[0], 2.0)),
            (9.0, self._freeze(kassa[1].backend, 2.0)),
            (10.0, self._change_backend(archive[2 % len(archive)], "cut")),
            (11.0, self._change_backend(balie[3 % len(balie)], "silent")),
            (12.0, self._drain_backend(archive[0], 8.0)),
            (14.0, self._stop_daemon(archive[1])),
            (16.0, self._remember_store()),
            (17.0, self._lose_answers_of_change()),
            (19.0, self._fail_store(3.0, latency_s=0.5)),
            (20.0, self._kill_backend(kassa[2 % len(kassa)])),
            (23.0, self._fail_store(4.0, stale=True)),
            (23.5, self._kill_daemon(balie[1], 0.5)),
        ]
        watching = [
            asyncio.create_task(self._watch_backends()),
            asyncio.create_task(self._watch_versions()),
        ]
        try:
            await asyncio.gather(*(_wait_then(*step) for step in steps))
        finally:
            for task in watching:
                task.cancel()
            await asyncio.gather(*watching, return_exceptions=True)
        await self._check_in_force()
        await self._read_versions()

    def list_versions(self) -> list[list[int]]:
        """Returns the versions each instance ran in order, over restarts."""
        return [sum(known.values(), start=[]) for known in self._pages]

    async def _check_in_force(self) -> None:
        if not self._with_versions:
            return
        version = (await self._fleet.read_head()).version
        instances = self._fleet.instances
        if (
            await self._fleet.wait_until_active(version, _HEAL_S, instances)
            is None
        ):
            pages = await asyncio.gather(
                *map(self._fleet.read_versions, instances)
            )
            behind = [max(page, default=0) < version for page in pages]
            self.outdated_daemons = sum(behind)

    def _list_services(self) -> list[list[fleet.Instance]]:
        return [
            [i for i in self._fleet.instances if i.place.service == service]
            for service in self._fleet.layout.backend_counts
        ]

    async def _kill_daemon(
        self, instance: fleet.Instance, away_s: float
    ) -> None:
        await self._read_versions()
        await instance.daemon.kill()
        await asyncio.sleep(away_s)
        await self._fleet.restart_daemon(instance)
        await self._refresh()

    async def _kill_backend(self, instance: fleet.Instance) -> None:
        async with self._locks[instance]:
            assert instance.backend is not None
            await instance.backend.kill()
            await asyncio.sleep(1.0)
            await self._fleet.start_backend(instance)

    async def _freeze(
        self, process: processes.Process | None, away_s: float
    ) -> None:
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(away_s)
        process.send_signal(signal.SIGCONT)

    async def _fail_store(self, away_s: float, **fields: object) -> None:
        await self._fleet.set_store_faults(**fields)
        await asyncio.sleep(away_s)
        await self._fleet.set_store_faults()

    async def _remember_store(self) -> None:
        """Has later stale reads answer from before the next change."""
        control = self._fleet.store.ready_fields["control"]
        await self._fleet.post_json(control, "/remember", {})

    async def _change_backend(
        self, instance: fleet.Instance, fault: str
    ) -> None:
        async with self._locks[instance]:
            await self._start_crashed(instance)
            assert instance.backend is not None
            control = instance.backend.ready_fields["control"]
            # A request may crash it at this very moment.
            with contextlib.suppress(aiohttp.ClientError):
                await self._fleet.post_json(control, "/faults", {fault: True})

    async def _drain_backend(
        self, instance: fleet.Instance, away_s: float
    ) -> None:
        """Lets a backend server leave; it takes what still comes."""
        async with self._locks[instance]:
            await self._start_crashed(instance)
            backend = instance.backend
            assert backend is not None
            stop = self._note_stop(instance, stops_daemon=False)
            control = backend.ready_fields["control"]
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._fleet.post_json(control, "/drain", {})
            await asyncio.sleep(away_s)
            await backend.stop()
            restarted_ms = time.time_ns() // 1_000_000
            place = self.planned_stops.index(stop)
            self.planned_stops[place] = stop._replace(restarted_ms=restarted_ms)
            await self._fleet.start_backend(instance)

    async def _stop_daemon(self, instance: fleet.Instance) -> None:
        await self._read_versions()
        self._note_stop(instance, stops_daemon=True)
        await instance.daemon.stop(within_s=20.0)
        await self._fleet.restart_daemon(instance)
        await self._refresh()

    async def _lose_answers_of_change(self) -> None:
        if not self._with_versions:
            return
        await self._fleet.set_store_faults(lose_answers=3)
        await self._change_targets(20)
        await self._fleet.set_store_faults()

    async def _change_targets(self, add_ms: int) -> None:
        if not self._with_versions:
            return
        document = workload.list_documents(self._fleet.layout.name)[-1]
        path = demonstration.change_document(
            pathlib.Path(document), self._folder, add_ms
        )
        try:
            await self._fleet.apply(str(path))
        except processes.ProcessError as error:
            logger.info("a change was not accepted: %s", error)
        else:
            self.accepted_changes += 1

    def _note_stop(
        self, instance: fleet.Instance, stops_daemon: bool
    ) -> PlannedStop:
        assert instance.backend is not None
        at_ms = time.time_ns() // 1_000_000
        address = instance.backend.ready_fields["address"]
        stop = PlannedStop(at_ms, instance.url, address, stops_daemon)
        self.planned_stops.append(stop)
        return stop

    async def _watch_backends(self) -> None:
        """Starts backend servers again that ended by themselves."""
        while True:
            for instance in self._fleet.instances:
                if not self._locks[instance].locked():
                    async with self._locks[instance]:
                        await self._start_crashed(instance)
            await asyncio.sleep(_WATCH_EVERY_S)

    async def _start_crashed(self, instance: fleet.Instance) -> None:
        backend = instance.backend
        if backend is not None and not backend.running:
            self.crashes += 1
            await self._fleet.start_backend(instance)

    async def _watch_versions(self) -> None:
        while True:
            await self._read_versions()
            await asyncio.sleep(_WATCH_EVERY_S)

    async def _read_versions(self) -> None:
        """Notes the versions that daemons took into use since last time."""
        if not self._with_versions:
            return
        instances = self._fleet.instances
        found = await asyncio.gather(*map(self._fleet.read_versions, instances))
        triples = zip(instances, self._pages, found, strict=True)
        for instance, known, versions in triples:
            # A page belongs to one process; a restarted daemon begins anew.
            if versions:
                known[instance.daemon.pid] = list(versions)


async def _wait_then(after_s: float, step: Awaitable[None]) -> None:
    await asyncio.sleep(after_s)
    await step
