"""Whole daemons in one process, with a store and backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import io
from typing import Any, TYPE_CHECKING
from unittest import mock

import aiohttp

from merlintrestle.daemon import service
from merlintrestle.documents import compiler
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
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from aiohttp import web

TEST_TIMEOUT_S = 20.0


def build_class(
    name: str, match: str, **fields: Any
) -> document_pb2.ClassTarget:
    """Builds a class of work; repeatable and small unless told otherwise."""
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
    """Builds the targets of kassa: lookups, payouts and an archive."""
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
    """A whole daemon, and the backend server beside it."""

    def __init__(self, settings: settings_pb2.DaemonSettings):
        super().__init__(settings)
        self.backend: server.Server | None = None

    @property
    def url(self) -> str:
        """Where callers send requests for kassa."""
        return f"http://127.0.0.1:{self._proxy.caller_port}/kassa"

    @property
    def admin_url(self) -> str:
        """Its loopback port."""
        return f"http://127.0.0.1:{self._admin.port}"

    @property
    def control_address(self) -> str:
        """Its control port, "ip:port"."""
        return self._table.local_id

    @property
    def in_flight(self) -> int:
        """Requests that it has not answered whole."""
        return self._proxy.in_flight

    @property
    def taken(self) -> list[int]:
        """The versions that it took into use, in order."""
        return [taken.version for taken in self._active_version.history]

    def set_farewell(self, seconds: float) -> None:
        """Sets for how long callers are still served after a stop began."""
        self._settings.farewell_s = seconds

    def record_states(self, other: Daemon) -> list[int]:
        """Returns a list that grows with each state of another daemon."""
        states: list[int] = []

        def note(member: control_pb2.Member) -> None:
            if member.id == other.control_address:
                states.append(member.state)

        self._table.on_change.append(note)
        return states

    async def wait_for_version(self, version: int) -> None:
        """Waits until it runs a version."""
        while self._active_version.version != version:
            await asyncio.sleep(0.01)

    async def wait_until_open(self) -> None:
        """Waits until it serves."""
        while self._active_version.closed_reason:
            await asyncio.sleep(0.01)

    async def wait_for_upstreams(self, count: int) -> None:
        """Waits until it knows so many upstreams of kassa."""
        while len(self._table.get_upstreams("kassa")) != count:
            await asyncio.sleep(0.01)


class Fleet:
    """Daemons in one process that share a store.

    Attributes:
        store: The stand-in of the store.
        daemons: The daemons, in the order of their start.
        client: An HTTP client for callers and backend servers.
    """

    def __init__(self, client: aiohttp.ClientSession):
        self.store = stores.StoreStandin()
        self.daemons: list[Daemon] = []
        self.client = client

    async def accept(self, document: document_pb2.Document) -> int:
        """Has the next version accepted by the store; returns its number."""
        store = clients.StoreClient(self.store.address)
        await store.start()
        try:
            before, revision = await records.read_head(store)
            digest = await records.write_document(store, document)
            documents = {document.organisation: digest}
            version = before.version + 1
            snapshot = compiler.compile_snapshot(
                version, {document.organisation: document}
            )
            head = acceptance.make_head(
                before, str(version), documents, snapshot.digest
            )
            await acceptance.swap_head(store, head, revision)
            return version
        finally:
            await store.close()

    def copy_store(self) -> dict[str, keyvalue.Entry]:
        """Returns what the store holds now."""
        return self.store.servicer.data.copy()

    async def answer_from(self, past: dict[str, keyvalue.Entry]) -> None:
        """Has the store answer reads from a past, and its watches be silent."""
        await self.store.set_faults(faults.StoreFaults(stale=True))
        self.store.servicer._past = past

    async def restart_daemon(self, index: int) -> Daemon:
        """Replaces a daemon by a new process at its control address."""
        old = self.daemons.pop(index)
        await old.stop()
        port = int(old.control_address.rpartition(":")[2])
        return await self.start_daemon(port)

    async def start_daemon(self, control_port: int = 0) -> Daemon:
        """Starts a daemon; the first one is the seed of the others."""
        settings = settings_pb2.DaemonSettings(
            address="127.0.0.1",
            zone="noord",
            region="local",
            control_port=control_port,
            store=self.store.address,
            spread="fast",
            drain_limit_s=TEST_TIMEOUT_S,
            claims="claims/",
            seeds=[one.control_address for one in self.daemons[:1]],
        )
        daemon = Daemon(settings)
        # The line with the bound ports is for people and measurements.
        with contextlib.redirect_stdout(io.StringIO()):
            await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def start_backend(
        self,
        daemon: Daemon,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Starts a backend server of kassa, which announces itself."""
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
        """Announces to a daemon what a backend server says of itself."""
        async with self.client.post(
            daemon.admin_url + "/announce", json=announcement
        ) as answer:
            return answer.status

    async def close(self) -> None:
        """Ends backend servers, daemons and the store."""
        for daemon in self.daemons:
            if daemon.backend is not None:
                await daemon.backend.close()
            await daemon.stop()
        await self.store.close()


@contextlib.asynccontextmanager
async def run_fleet(count: int) -> AsyncIterator[Fleet]:
    """Runs daemons with short intervals on one accepted version."""
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
                await fleet.accept(build_document())
                for _ in range(count):
                    await fleet.start_daemon()
                for daemon in fleet.daemons:
                    await daemon.wait_until_open()
                yield fleet
            finally:
                await fleet.close()
