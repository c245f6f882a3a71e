"""Access to the configuration in a store and compilation of its versions."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.rollouts import storage
from merlintrestle.schema import document_pb2
from merlintrestle.store import records
from merlintrestle.store import restoration
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import freshness as freshness_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.store import client


class ConfigurationSource(Protocol):
    """Access to the configuration, roll-out orders and seeds in a store.

    Attributes:
        head_proof: What the latest read of the head proves; None before any.
    """

    head_proof: freshness_lib.Proof | None

    async def read_head(self) -> document_pb2.Head:
        """Reads the head; its version is 0 if there is none.

        Sets `head_proof` if the read proves which version is the newest.
        """

    def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the head and each newer one until the store fails."""

    async def compile_head(
        self, head: document_pb2.Head
    ) -> snapshot_lib.Snapshot:
        """Compiles the snapshot of a head."""

    async def read_keys(
        self, head: document_pb2.Head
    ) -> confirmed_keys.KeyList:
        """Returns the API keys of a version that does not compile."""

    async def read_orders(self) -> list[client.Entry]:
        """Returns the roll-out orders.

        An implementation may return those that its last `read_head` read.
        """

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes a zone's seeds; returns the previous seeds of all zones."""


class NativeSource:
    """Source that reads the native store.

    The document under a digest never changes, so each is read only once.

    Attributes:
        head_proof: What the latest read of the head proves; None before any.
    """

    def __init__(
        self,
        store: client.StoreClient,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        self.head_proof: freshness_lib.Proof | None = None
        self._store = store
        self._get_time = get_time
        self._compiled: snapshot_lib.Snapshot | None = None
        # The newest head that was compiled, and the era in which it was read.
        self._known_head = document_pb2.Head()
        self._known_era = 0
        self._documents: dict[bytes, document_pb2.Document] = {}

    async def read_head(self) -> document_pb2.Head:
        """Reads the head; its version is 0 if there is none.

        If the store came back from a copy with an earlier head, the known one
        is written again.

        Raises:
            errors.StoreError: The store did not answer.
        """
        asked_at = self._get_time()
        head, revision = await records.read_head(self._store)
        # An earlier head than the known one is recorded as it is: `Freshness`
        # knows that nothing follows from it.
        self.head_proof = freshness_lib.Proof(head.version, asked_at)
        era = self._store.era.current or 0
        if head.version >= self._known_head.version or era <= self._known_era:
            return head
        restored = await restoration.restore_head(
            self._store, self._known_head, self._documents, head, revision
        )
        self._known_era = era
        return self._known_head if restored else head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the head and each newer one until the store fails.

        Raises:
            errors.StoreUnavailableError: The watch ended.
        """
        async for entry in self._store.watch(records.HEAD_KEY, 0):
            if entry.revision:
                yield records.parse_head(entry)

    async def compile_head(
        self, head: document_pb2.Head
    ) -> snapshot_lib.Snapshot:
        """Compiles the snapshot of a head.

        Raises:
            errors.StoreUnavailableError: A document could not be read.
            errors.SnapshotError: The snapshot differs from the accepted one.
        """
        self._cache_changed_document(head)
        documents = {
            organisation: await self._read_document(digest)
            for organisation, digest in sorted(head.documents.items())
        }
        current_digests = set(head.documents.values())
        self._documents = {
            digest: document
            for digest, document in self._documents.items()
            if digest in current_digests
        }
        snapshot = compiler.compile_snapshot(
            head.version, documents, self._compiled
        )
        if head.snapshot_digest and snapshot.digest != head.snapshot_digest:
            raise errors.SnapshotError(
                f"version {head.version} compiles to another digest"
            )
        self._compiled = snapshot
        if head.version >= self._known_head.version:
            self._known_head = head
            self._known_era = self._store.era.current or 0
        return snapshot

    async def read_keys(
        self, head: document_pb2.Head
    ) -> confirmed_keys.KeyList:
        """Returns the API keys of a version that does not compile.

        Raises:
            errors.StoreUnavailableError: A document could not be read.
        """
        holders: dict[bytes, str] = {}
        shared: set[bytes] = set()
        has_workspaces = False
        for digest in head.documents.values():
            document = await self._read_document(digest)
            for workspace in document.workspaces:
                has_workspaces = True
                for key_digest in workspace.key_digests:
                    if key_digest in holders:
                        shared.add(key_digest)
                    holders[key_digest] = workspace.name
        for key_digest in shared:
            del holders[key_digest]
        return confirmed_keys.KeyList(
            head.version, holders, not shared, has_workspaces
        )

    async def read_orders(self) -> list[client.Entry]:
        """Reads the roll-out orders.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        return await self._store.list(storage.ORDER_PREFIX)

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes a zone's seeds; returns the previous seeds of all zones.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return await seeds_lib.write_seeds(self._store, zone, member_ids)

    def _cache_changed_document(self, head: document_pb2.Head) -> None:
        """Caches the document in a head, so that it need not be read.

        The store may fail right after it accepted a head. The other documents
        are known from earlier versions.
        """
        if head.HasField("changed"):
            digest = compiler.compute_document_digest(head.changed)
            self._documents[digest] = head.changed

    async def _read_document(self, digest: bytes) -> document_pb2.Document:
        document = self._documents.get(digest)
        if document is None:
            document = await records.read_document(self._store, digest)
            self._documents[digest] = document
        return document
