"""Source of versions whose newest version is a single record in the store."""

from __future__ import annotations

from typing import NamedTuple, Protocol, TYPE_CHECKING

import prometheus_client

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.schema import document_pb2
from merlintrestle.store import eras
from merlintrestle.store import records
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import freshness as freshness_lib
from merlintrestle.versions import known_revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from merlintrestle.store import client

events = event_logs.EventLog("versions")

_unreadable_counter = prometheus_client.Counter(
    "merlintrestle_records_unreadable",
    "Records of the newest version that state no version.",
)

# Minimum wait of a watch, for a query of events that have already occurred.
_MIN_WAIT_MS = 1
# The store's history may omit the changes of about a second before the store
# drops it. A query of the history proves only what was the newest version
# before that time, in seconds.
_HISTORY_BLIND_S = 1.2


class RecordFormat(NamedTuple):
    """Keys and parsers of the record with the newest version.

    Attributes:
        prefix: Prefix of the keys that operators write.
        head_key: Key of the record. The keys of the orders sort after it.
        order_prefix: Prefix of the keys of roll-out orders.
        parse_version: Returns the number of the version in a value of the
            record. It raises `errors.SnapshotError` if there is none.
        build_resources: Returns the resources of the version in a value of the
            record. It raises `errors.SnapshotError` if the value is malformed.
        read_keys: Returns the API keys of the version in a value of the record,
            which may be malformed elsewhere.
    """

    prefix: str
    head_key: str
    order_prefix: str
    parse_version: Callable[[bytes], int]
    build_resources: Callable[[bytes], dict[str, bytes]]
    read_keys: Callable[[int, bytes], confirmed_keys.KeyList]


class RecordStore(records.Store, Protocol):
    """Methods of a store that the source uses."""

    async def read_after(
        self, prefix: str, key: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads keys with a prefix after a key, and the store's revision."""

    async def read_first_page(
        self, prefix: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads keys with a prefix, and the store's revision."""

    async def read_events(
        self, key: str, after: int, wait_ms: int
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads the key's entries after a revision, and the store's one."""

    def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[client.Entry]:
        """Yields the key's entries newer than a revision."""

    def is_receiving(self) -> bool:
        """Returns whether the response of a watch has begun to arrive."""


class RecordSource:
    """Source of versions that reads the newest one from a single record.

    Attributes:
        head_proof: What the latest read of the head proves; None before any.
    """

    def __init__(
        self,
        store: RecordStore,
        record_format: RecordFormat,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Starts without a known version.

        Args:
            store: The store.
            record_format: Keys and parsers of the record.
            get_time: Returns the time of proofs of freshness, in seconds.
        """
        self.head_proof: freshness_lib.Proof | None = None
        self._get_time = get_time
        # The version in the store at the known revision. It is lower than that
        # of the head if the store came back from a copy, and None if the record
        # states none.
        self._stored_version: int | None = 0
        self._store = store
        self._format = record_format
        self._newest_entry_by_version: dict[int, client.Entry] = {}
        self._head_revision = 0
        self._other_entries: Sequence[client.Entry] = ()
        self._tracker = known_revision.KnownRevision()
        self._head = document_pb2.Head()
        self._compiled: snapshots.Snapshot | None = None

    async def read_head(self) -> document_pb2.Head:
        """Reads the head of the newest version; version 0 if there is none.

        The record of some hundred KB takes half a second over a slow link. It
        is read only if neither a watch nor the history explains a new revision.

        A record without a version proves nothing: `head_proof` is None then.

        Raises:
            errors.StoreError: The store did not answer.
        """
        if self._tracker.revision:
            asked_at = self._get_time()
            self._other_entries, revision = await self._store.read_after(
                self._format.prefix, self._format.head_key
            )
            if revision <= self._tracker.revision:
                # Whatever raised the known revision, the version is the newest
                # one at this revision, so at the time of this request or later.
                self._record_proof(asked_at)
                return self._head
            if await self._update_without_read(revision, asked_at):
                return self._head
        asked_at = self._get_time()
        previous_revision = self._head_revision
        entries, revision = await self._store.read_first_page(
            self._format.prefix
        )
        head = self._head
        found = [
            entry for entry in entries if entry.key == self._format.head_key
        ]
        for entry in found:
            head = self._apply_entry(entry)
        if not found and revision > self._tracker.revision:
            self._stored_version = 0
        self._other_entries = [
            entry for entry in entries if entry.key != self._format.head_key
        ]
        self._tracker.record_read(self._head_revision != previous_revision)
        self._tracker.advance(revision)
        self._record_proof(asked_at)
        return head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the heads of the newest version and of each later one.

        Raises:
            errors.StoreUnavailableError: The watch ended.
        """
        self._tracker.open_watches += 1
        try:
            if self._head_revision:
                yield self._head
            async for entry in self._store.watch(
                self._format.head_key, self._tracker.revision
            ):
                head = self._apply_entry(entry)
                self._tracker.advance(entry.revision)
                yield head
        finally:
            self._tracker.open_watches -= 1

    async def compile_head(self, head: document_pb2.Head) -> snapshots.Snapshot:
        """Compiles the version of a head.

        Raises:
            errors.ReplacedVersionError: The version was replaced.
            errors.SnapshotError: The version is malformed.
        """
        entry = self._get_entry(head)
        snapshot = loader.load_snapshot(
            head.version,
            self._format.build_resources(entry.value),
            self._compiled,
        )
        self._compiled = snapshot
        return snapshot

    async def read_keys(
        self, head: document_pb2.Head
    ) -> confirmed_keys.KeyList:
        """Returns the API keys of a version that does not compile.

        Raises:
            errors.ReplacedVersionError: The version was replaced.
        """
        entry = self._get_entry(head)
        return self._format.read_keys(head.version, entry.value)

    def _get_entry(self, head: document_pb2.Head) -> client.Entry:
        entry = self._newest_entry_by_version.get(head.version)
        if entry is None:
            raise errors.ReplacedVersionError(
                f"version {head.version} was replaced by a later one"
            )
        return entry

    async def read_orders(self) -> list[client.Entry]:
        """Returns roll-out orders, which `read_head` reads in the same call."""
        return [
            entry
            for entry in self._other_entries
            if entry.key.startswith(self._format.order_prefix)
        ]

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes the seeds of a zone; returns the addresses of all others.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return await seeds_lib.write_seeds(self._store, zone, member_ids)

    def _record_proof(self, asked_at: float) -> None:
        """Records that the version in the store was the newest at a time."""
        version = self._stored_version
        self.head_proof = (
            None if version is None else freshness_lib.Proof(version, asked_at)
        )

    async def _update_without_read(
        self, revision: int, asked_at: float
    ) -> bool:
        """Returns whether a watch or the history brings the head up to date.

        Records what this proves. An entry of the watch with the revision of the
        store or a later one was the newest after the store was asked for it.

        The history is queried from the last known revision, so the query fails,
        and misses no change, if the store has dropped the history since then.
        Nothing that was known before a new era tells of what changed in it.

        Args:
            revision: Revision of the store.
            asked_at: Time before the store was asked for it.
        """
        if eras.get_era(revision) != eras.get_era(self._tracker.revision):
            return False
        is_receiving = self._store.is_receiving
        if is_receiving() or not self._tracker.may_query_history():
            if not await self._tracker.wait_for_watch(revision, is_receiving):
                return False
            self._record_proof(asked_at)
            return True
        try:
            entries, _ = await self._store.read_events(
                self._format.head_key, self._tracker.revision, _MIN_WAIT_MS
            )
        except errors.StoreUnavailableError:
            return False
        for entry in entries[-1:]:
            self._apply_entry(entry)
            self._tracker.record_read(head_changed=True)
            self._tracker.advance(entry.revision)
        self._record_proof(asked_at - _HISTORY_BLIND_S)
        return True

    def _apply_entry(self, entry: client.Entry) -> document_pb2.Head:
        """Applies an entry unless a newer one is known; returns the head.

        A store that came back from a copy may have an older version, under a
        newer revision, until the operators write theirs again.
        """
        if entry.revision <= self._head_revision:
            return self._head
        self._head_revision = entry.revision
        self._stored_version = None
        try:
            version = self._format.parse_version(entry.value)
        except errors.SnapshotError as error:
            _unreadable_counter.inc()
            events.fail("record without a version", error=str(error))
            return self._head
        self._stored_version = version
        if version >= self._head.version:
            self._newest_entry_by_version = {version: entry}
            self._head = document_pb2.Head(version=version)
        return self._head
