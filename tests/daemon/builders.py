"""Builds fleets of complete daemons in one process, with a store stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import io
from typing import Any, TYPE_CHECKING
from unittest import mock

import aiohttp

from merlintrestle.daemon import service
from merlintrestle.documents import compiler
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import timing
from merlintrestle.requests.transport import server
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import client as clients
from merlintrestle.store import records
from standins import faults
from standins import keyvalue
from standins import store as stores
from tests.members import builders as member_builders

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Mapping,
        Sequence,
    )

    from aiohttp import web

TEST_TIMEOUT_S = 20.0


def build_class(
    name: str, match: str, **fields: Any
) -> document_pb2.ClassTarget:
    """Builds a class of work, by default repeatable and small."""
    values: dict[str, Any] = {
        "latency_ms": 200,
        "share": 0.99,
        "availability": 0.99,
        "repeatable": True,
        "importance": 3,
        "rate": 10.0,
        "work_ms": 5.0,
        "size": document_pb2.SMALL,
        "deadline_ms": 5000,
        "match": [match],
    }
    return document_pb2.ClassTarget(name=name, **(values | fields))


def build_document() -> document_pb2.Document:
    """Builds a document with the service kassa and its three classes."""
    document = document_pb2.Document(organisation="zaanoever")
    kassa = document.services.add(name="kassa")
    kassa.classes.append(build_class("lookup", "* /"))
    kassa.classes.append(
        build_class(
            "payout", "POST /payouts", repeatable=False, key_required=True
        )
    )
    kassa.classes.append(
        build_class("archive", "GET /archive", size=document_pb2.LARGE)
    )
    return document


class Daemon(service.Daemon):
    """A complete daemon with its backend server.

    Attributes:
        backend: The backend server, once started.
    """

    def __init__(self, settings: settings_pb2.DaemonSettings):
        super().__init__(settings)
        self.backend: server.Server | None = None

    @property
    def url(self) -> str:
        """URL for requests of callers to kassa."""
        return f"http://127.0.0.1:{self._proxy.caller_port}/kassa"

    @property
    def admin_url(self) -> str:
        """URL of its loopback port."""
        return f"http://127.0.0.1:{self._admin.port}"

    @property
    def control_address(self) -> str:
        """Address of its control port, as "ip:port"."""
        return self._table.local_id

    @property
    def in_flight(self) -> int:
        """Number of requests without a complete answer."""
        return self._proxy.in_flight

    @property
    def activated_versions(self) -> list[int]:
        """The versions that it activated, in order."""
        return [
            activation.version for activation in self._active_version.history
        ]

    def set_farewell_time(self, farewell_s: float) -> None:
        """Sets the time for which a stopping daemon still serves callers."""
        self._settings.farewell_s = farewell_s

    def set_workspaces(self, workspaces: Sequence[snapshots.Workspace]) -> None:
        """Adds workspaces to the active version."""
        active = self._active_version.active_snapshot
        assert active is not None
        self._active_version.active_snapshot = snapshots.Snapshot(
            active.version,
            active.resources,
            active.services,
            active.parsed_resources,
            active.digest,
            workspaces={item.name: item for item in workspaces},
        )

    def record_states(self, daemon: Daemon) -> list[int]:
        """Returns a list to which the states of another daemon are appended."""
        states: list[int] = []

        def record_state(member: control_pb2.Member) -> None:
            if member.id == daemon.control_address:
                states.append(member.state)

        self._table.on_change.append(record_state)
        return states

    async def wait_for_version(self, version: int) -> None:
        """Waits until a version is active."""
        while self._active_version.version != version:
            await asyncio.sleep(0.01)

    async def wait_until_open(self) -> None:
        """Waits until it serves calls."""
        while self._active_version.closed_reason:
            await asyncio.sleep(0.01)

    async def wait_for_upstreams(self, count: int) -> None:
        """Waits until it knows exactly `count` upstreams of kassa."""
        while len(self._table.get_upstreams("kassa")) != count:
            await asyncio.sleep(0.01)


class Fleet:
    """Daemons in one process that share a store.

    Attributes:
        store: The store stand-in.
        daemons: The daemons, in the order of their start unless a test
            reorders them.
        client: An HTTP client for callers and backend servers.
    """

    def __init__(self, client: aiohttp.ClientSession):
        self.store = stores.StoreStandin()
        self.daemons: list[Daemon] = []
        self.client = client

    async def accept_document(self, document: document_pb2.Document) -> int:
        """Writes a document to the store as the next accepted version.

        Returns:
            The number of the version.
        """
        store = clients.StoreClient(self.store.address)
        await store.start()
        try:
            head, revision = await records.read_head(store)
            digest = await records.write_document(store, document)
            documents = {document.organisation: digest}
            version = head.version + 1
            snapshot = compiler.compile_snapshot(
                version, {document.organisation: document}
            )
            new_head = acceptance.build_head(
                head, str(version), documents, snapshot.digest
            )
            await acceptance.swap_head(store, new_head, revision)
            return version
        finally:
            await store.close()

    def copy_store(self) -> dict[str, keyvalue.Entry]:
        """Returns a copy of the records of the store."""
        return self.store.servicer.key_value_store.copy_entries()

    async def serve_stale_data(
        self, entries: dict[str, keyvalue.Entry]
    ) -> None:
        """Makes the store answer reads from a copy and send no watch events.

        Args:
            entries: A copy made by `copy_store`.
        """
        await self.store.set_faults(faults.StoreFaults(stale=True))
        self.store.servicer.stale_entries = entries

    async def restart_daemon(self, index: int) -> Daemon:
        """Stops a daemon and starts a new one at its control address."""
        daemon = self.daemons.pop(index)
        await daemon.stop()
        port = int(daemon.control_address.rpartition(":")[2])
        return await self.start_daemon(port)

    async def start_daemon(self, control_port: int = 0) -> Daemon:
        """Starts a daemon; the first daemon is the seed of the others."""
        settings = settings_pb2.DaemonSettings(
            address="127.0.0.1",
            zone="noord",
            region="local",
            control_port=control_port,
            store=self.store.address,
            spread="fast",
            drain_limit_s=TEST_TIMEOUT_S,
            claims="claims/",
            seeds=[seed.control_address for seed in self.daemons[:1]],
        )
        daemon = Daemon(settings)
        # The printed line with the bound ports is not needed here.
        with contextlib.redirect_stdout(io.StringIO()):
            await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def start_backend(
        self,
        daemon: Daemon,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Starts a backend server of kassa and announces it."""
        daemon.backend = server.Server(handler)
        await daemon.backend.start("127.0.0.1", 0)
        status = await self.announce(
            daemon,
            {
                "service": "kassa",
                "address": f"127.0.0.1:{daemon.backend.port}",
                "slots": 12,
                "state": "ready",
            },
        )
        assert status == 200

    async def announce(
        self, daemon: Daemon, announcement: Mapping[str, Any]
    ) -> int:
        """Sends an announcement of a backend server to a daemon.

        Returns:
            The status of the response.
        """
        async with self.client.post(
            daemon.admin_url + "/announce", json=announcement
        ) as response:
            return response.status

    async def close(self) -> None:
        """Stops the backend servers, the daemons and the store."""
        for daemon in self.daemons:
            if daemon.backend is not None:
                await daemon.backend.close()
            await daemon.stop()
        await self.store.close()


@contextlib.asynccontextmanager
async def run_fleet(count: int) -> AsyncIterator[Fleet]:
    """Runs daemons with short intervals until the context is left.

    Args:
        count: Number of daemons, each of which has activated version 1.
    """
    with mock.patch.object(
        timing, "Timing", lambda: member_builders.FAST_TIMING
    ):
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            aiohttp.ClientSession() as client,
        ):
            fleet = Fleet(client)
            await fleet.store.start()
            try:
                await fleet.accept_document(build_document())
                for _ in range(count):
                    await fleet.start_daemon()
                for daemon in fleet.daemons:
                    await daemon.wait_until_open()
                yield fleet
            finally:
                await fleet.close()
