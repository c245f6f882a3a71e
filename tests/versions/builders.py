"""Builders for snapshots, a fake source and daemons in one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.members import membership as membership_lib
from merlintrestle.members import service as service_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.store import client
from merlintrestle.store import records
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import distribution as distribution_lib
from merlintrestle.versions import freshness as freshness_lib
from tests.members import builders as member_builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import timing as timing_lib
    from tests.store import fakes

TEST_TIMEOUT_S = 20.0


def build_document(
    services: Sequence[str] = ("balie",), latency_ms: int = 100
) -> document_pb2.Document:
    """Builds the document of one organisation."""
    document = document_pb2.Document(organisation="zaanoever")
    for name in services:
        service = document.services.add(name=name)
        service.classes.add(
            name="lookup",
            latency_ms=latency_ms,
            share=0.99,
            availability=0.99,
            repeatable=True,
            importance=3,
            rate=10.0,
            work_ms=5.0,
            size=document_pb2.SMALL,
            deadline_ms=1000,
            match=["GET /"],
        )
    return document


def build_snapshot(
    version: int,
    services: Sequence[str] = ("balie",),
    latency_ms: int | None = None,
) -> snapshot_lib.Snapshot:
    """Builds a snapshot that differs from those of other versions."""
    document = build_document(services, latency_ms or 100 + version)
    return compiler.compile_snapshot(version, {"zaanoever": document})


async def put_document(
    store: fakes.FakeStore, document: document_pb2.Document
) -> bytes:
    """Writes a document into a fake store and returns its digest."""
    return await records.write_document(store, document)


async def put_head(store: fakes.FakeStore, head: document_pb2.Head) -> None:
    """Writes the head into a fake store."""
    entry = await store.get(records.HEAD_KEY)
    value = head.SerializeToString()
    await store.put(records.HEAD_KEY, value, entry.revision if entry else 0)


class FakeConfiguration:
    """Fake `source.ConfigurationSource` for any number of daemons.

    Attributes:
        head_proof: What the last read proves.
        get_time: Returns the time of proofs.
        down: Whether every call fails.
        stale_version: If set, reads return this version, not the newest one.
        reads_hang: Whether reads get no answer.
        watches_silent: Whether watches deliver nothing.
        broken_versions: Versions that do not compile.
        keys: Keys of broken versions, by version; by default none is required.
        compiled_versions: Versions that were compiled, with success or not.
        reads: Number of reads of the head.
        seed_writes: Number of writes of seeds.
        open_watches: Number of open watches.
        seeds: Seeds by zone.
    """

    def __init__(self) -> None:
        self.head_proof: freshness_lib.Proof | None = None
        self.get_time = clocks.get_boot_time
        self.down = False
        self.stale_version: int | None = None
        self.reads_hang = False
        self.watches_silent = False
        self.broken_versions: set[int] = set()
        self.keys: dict[int, confirmed_keys.KeyList] = {}
        self.compiled_versions: list[int] = []
        self.reads = 0
        self.seed_writes = 0
        self.open_watches = 0
        self.seeds: dict[str, list[str]] = {}
        self._version = 0
        self._documents: dict[int, document_pb2.Document] = {}
        self._changed = asyncio.Condition()

    async def accept(self, version: int, services: Sequence[str]) -> None:
        """Accepts a version."""
        self._documents[version] = build_document(services, 100 + version)
        self._version = version
        await self._notify()

    async def fail(self) -> None:
        """Starts an outage: reads fail and watches break."""
        self.down = True
        await self._notify()

    async def read_orders(self) -> list[client.Entry]:
        """Returns no roll-out orders."""
        return []

    async def read_head(self) -> document_pb2.Head:
        """Reads the head."""
        # A real store never answers before other tasks have run.
        await asyncio.sleep(0)
        self.reads += 1
        if self.reads_hang:
            await asyncio.Event().wait()
        asked_at = self.get_time()
        self._check_up()
        version = (
            self._version if self.stale_version is None else self.stale_version
        )
        self.head_proof = freshness_lib.Proof(version, asked_at)
        return document_pb2.Head(version=version)

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the head and each newer one."""
        self._check_up()
        self.open_watches += 1
        sent_version = 0
        try:
            while True:
                async with self._changed:
                    while self.watches_silent or (
                        not self.down and self._version <= sent_version
                    ):
                        await self._changed.wait()
                    self._check_up()
                    sent_version = self._version
                yield document_pb2.Head(version=sent_version)
        finally:
            self.open_watches -= 1

    async def compile_head(
        self, head: document_pb2.Head
    ) -> snapshot_lib.Snapshot:
        """Compiles the version of a head."""
        self._check_up()
        self.compiled_versions.append(head.version)
        if head.version in self.broken_versions:
            raise errors.SnapshotError("it does not compile")
        documents = {}
        if head.version:
            documents["zaanoever"] = self._documents[head.version]
        return compiler.compile_snapshot(head.version, documents)

    async def read_keys(
        self, head: document_pb2.Head
    ) -> confirmed_keys.KeyList:
        """Returns the keys of a broken version."""
        no_keys = confirmed_keys.KeyList(head.version, {}, required=False)
        return self.keys.get(head.version, no_keys)

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes a zone's seeds; returns the previous seeds of all zones."""
        self._check_up()
        self.seed_writes += 1
        previous_seeds = [
            member_id
            for zone_seeds in self.seeds.values()
            for member_id in zone_seeds
        ]
        self.seeds[zone] = member_ids
        return previous_seeds

    def _check_up(self) -> None:
        if self.down:
            raise errors.StoreUnavailableError("the fake store is down")

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()


class ConfigurationView(FakeConfiguration):
    """The fake source as one daemon reaches it.

    Attributes:
        cut: Whether calls get no answer and watches deliver nothing.
    """

    # Time after which a call without an answer fails, in seconds.
    _TIMEOUT_S = 0.1

    def __init__(self, source: FakeConfiguration):
        super().__init__()
        self.cut = False
        self._source = source

    async def read_head(self) -> document_pb2.Head:
        """Reads the head."""
        if self.cut:
            self._source.reads += 1
            await asyncio.sleep(self._TIMEOUT_S)
            raise errors.StoreUnavailableError("the view is cut")
        head = await self._source.read_head()
        self.head_proof = self._source.head_proof
        return head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the head and each newer one."""
        async for head in self._source.watch_head():
            if self.cut:
                await asyncio.Event().wait()
            yield head

    async def compile_head(
        self, head: document_pb2.Head
    ) -> snapshot_lib.Snapshot:
        """Compiles the version of a head."""
        return await self._source.compile_head(head)

    async def read_keys(
        self, head: document_pb2.Head
    ) -> confirmed_keys.KeyList:
        """Returns the keys of a broken version."""
        return await self._source.read_keys(head)

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes a zone's seeds."""
        if self.cut:
            raise errors.StoreUnavailableError("the view is cut")
        return await self._source.write_seeds(zone, member_ids)


class Daemon:
    """Control server, membership and distribution of a daemon on loopback."""

    def __init__(
        self,
        configuration: FakeConfiguration,
        seeds: Sequence[str] = (),
        zone: str = "zone-a",
        port: int = 0,
        spread: str = distribution_lib.PUSH_DELTAS,
        timing: timing_lib.Timing = member_builders.FAST_TIMING,
        incarnation: int = 0,
    ):
        self.server = service_lib.ControlServer("127.0.0.1", port)
        self.id = f"127.0.0.1:{self.server.port}"
        self.table = table_lib.MemberTable(
            control_pb2.Member(
                id=self.id,
                address="127.0.0.1",
                control_port=self.server.port,
                peer_port=1,
                zone=zone,
                region="region",
                incarnation=incarnation,
            )
        )
        self.membership = membership_lib.Membership(
            self.table, None, seeds, timing
        )
        self.active_version = active_version_lib.ActiveVersion()
        self.distribution = distribution_lib.Distribution(
            self.active_version, self.membership, configuration, spread
        )
        self.servicer = service_lib.ControlServicer(
            self.membership, self.distribution
        )

    async def start(self) -> None:
        """Starts server, membership and distribution."""
        await self.server.start(self.servicer)
        await self.membership.start()
        await self.distribution.start()

    async def close(self) -> None:
        """Stops everything, as when the process dies."""
        await self.distribution.stop()
        await self.membership.stop()
        await self.server.close(0)


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = TEST_TIMEOUT_S
) -> None:
    """Waits until other tasks make a condition true."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
