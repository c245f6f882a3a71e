"""Compilation of the platform's configuration into versions of the product."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import rows
from merlintrestle.documents import compiler
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.platform import rollouts
from merlintrestle.platform import store as stores
from merlintrestle.schema import document_pb2
from merlintrestle.versions import known_revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from merlintrestle.store import client

# Whether calls of a route may run more than once, by the kind of the route.
_REPEATABILITY = {"idempotent": True, "download": True, "non_idempotent": False}
# Importance of priority 0; it decreases by 1 with each further priority number.
_MAX_IMPORTANCE = 5
# Prefix of the operators' keys. `read_after` the configuration key returns the
# roll-out keys, which sort after it.
_OPERATOR_PREFIX = "op/"
_HEXADECIMAL_BASE = 16
# Minimum wait of a watch, for a query of events that have already occurred.
_MIN_WAIT_MS = 1


class PlatformSource:
    """Source of versions that reads the operators' configuration record."""

    def __init__(self, store: stores.PlatformStore):
        """Starts without a known version."""
        self._store = store
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

        Raises:
            errors.StoreError: The store did not answer.
            errors.SnapshotError: The configuration is malformed.
        """
        if self._tracker.revision:
            self._other_entries, revision = await self._store.read_after(
                _OPERATOR_PREFIX, stores.CONFIGURATION_KEY
            )
            if revision <= self._tracker.revision or (
                await self._update_without_read(revision)
            ):
                return self._head
        previous_revision = self._head_revision
        entries, revision = await self._store.read_first_page(_OPERATOR_PREFIX)
        head = self._head
        for entry in entries:
            if entry.key == stores.CONFIGURATION_KEY:
                head = self._apply_entry(entry)
        self._other_entries = [
            entry for entry in entries if entry.key != stores.CONFIGURATION_KEY
        ]
        self._tracker.record_read(self._head_revision != previous_revision)
        self._tracker.advance(revision)
        return head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the heads of the newest version and of each later one.

        Raises:
            errors.StoreUnavailableError: The watch ended.
            errors.SnapshotError: A configuration is malformed.
        """
        self._tracker.open_watches += 1
        try:
            if self._head_revision:
                yield self._head
            async for entry in self._store.watch(
                stores.CONFIGURATION_KEY, self._tracker.revision
            ):
                head = self._apply_entry(entry)
                self._tracker.advance(entry.revision)
                yield head
        finally:
            self._tracker.open_watches -= 1

    async def compile_head(self, head: document_pb2.Head) -> snapshots.Snapshot:
        """Compiles the version of a head.

        Raises:
            errors.SnapshotError: The version is malformed or was replaced.
        """
        entry = self._newest_entry_by_version.get(head.version)
        if entry is None:
            raise errors.SnapshotError(
                f"version {head.version} was replaced by a later one"
            )
        resources = build_resources(
            rows.parse_object(entry.value, "configuration")
        )
        snapshot = loader.load_snapshot(head.version, resources, self._compiled)
        self._compiled = snapshot
        return snapshot

    async def read_orders(self) -> list[client.Entry]:
        """Returns roll-out orders, which `read_head` reads in the same call."""
        return [
            entry
            for entry in self._other_entries
            if entry.key.startswith(rollouts.PLATFORM_FORMAT.order_prefix)
        ]

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Writes the seeds of a zone; returns the addresses of all others.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return await seeds_lib.write_seeds(self._store, zone, member_ids)

    async def _update_without_read(self, revision: int) -> bool:
        """Returns whether a watch or the history brings the head up to date.

        The history is queried from the last known revision, so the query fails,
        and misses no change, if the store has dropped the history since then.
        """
        is_receiving = self._store.is_receiving
        if is_receiving() or not self._tracker.may_query_history():
            return await self._tracker.wait_for_watch(revision, is_receiving)
        try:
            entries, _ = await self._store.read_events(
                stores.CONFIGURATION_KEY, self._tracker.revision, _MIN_WAIT_MS
            )
        except errors.StoreUnavailableError:
            return False
        for entry in entries[-1:]:
            self._apply_entry(entry)
            self._tracker.record_read(head_changed=True)
            self._tracker.advance(entry.revision)
        return True

    def _apply_entry(self, entry: client.Entry) -> document_pb2.Head:
        """Applies an entry unless a newer one is known; returns the head."""
        if entry.revision > self._head_revision:
            version = parse_version(
                rows.parse_object(entry.value, "configuration")
            )
            self._newest_entry_by_version = {version: entry}
            self._head_revision = entry.revision
            self._head = document_pb2.Head(version=version)
        return self._head


def parse_version(configuration: Mapping[str, Any]) -> int:
    """Returns the number of a version, which is a hexadecimal string.

    Raises:
        errors.SnapshotError: The version is not a number above 0.
    """
    text = configuration.get("version")
    try:
        version = int(text, _HEXADECIMAL_BASE) if isinstance(text, str) else 0
    except ValueError:
        version = 0
    if version <= 0:
        raise errors.SnapshotError(f"configuration: version is {text!r}")
    return version


def build_resources(configuration: Mapping[str, Any]) -> dict[str, bytes]:
    """Builds the resources of a configuration's snapshot.

    Raises:
        errors.SnapshotError: The configuration is malformed.
    """
    resources: dict[str, bytes] = {}
    for row in rows.read_table(configuration, "services"):
        _add_service(resources, rows.Row("services", row))
    for row in rows.read_table(configuration, "routes"):
        _add_route(resources, rows.Row("routes", row))
    limits = configuration.get("limits")
    if limits is not None:
        _add_limits(resources, rows.Row("limits", limits))
    return resources


def _add_service(resources: dict[str, bytes], row: rows.Row) -> None:
    name = row.get_text("name")
    resources[snapshots.build_service_name(name)] = compiler.serialize_message(
        document_pb2.ServiceResource(
            name=name, max_connections=row.get_integer("maxConnections")
        )
    )


def _add_route(resources: dict[str, bytes], row: rows.Row) -> None:
    name = row.get_text("name")
    resources[snapshots.build_host_route_name(name)] = (
        compiler.serialize_message(
            document_pb2.HostRouteResource(
                name=name,
                host=row.get_text("host").lower(),
                prefix=row.get_text("prefix"),
                parts=_build_parts(row),
                target=_build_target(row),
                max_attempts=row.get_integer("maxAttempts"),
            )
        )
    )


def _build_parts(row: rows.Row) -> list[document_pb2.RoutePart]:
    split = row.get_list("split")
    if not split:
        service = row.get_text("service")
        return [document_pb2.RoutePart(service=service, weight=1)]
    parts = [rows.Row("split", part) for part in split]
    return [
        document_pb2.RoutePart(
            service=part.get_text("service"), weight=part.get_integer("weight")
        )
        for part in parts
    ]


def _build_target(row: rows.Row) -> document_pb2.ClassTarget:
    kind = row.get_text("kind")
    if kind not in _REPEATABILITY:
        raise errors.SnapshotError(f"routes: kind is {kind!r}")
    priority = row.get_integer("priority")
    latency_ms = row.get_integer("targetLatencyMs")
    deadline_ms = row.get_integer("timeoutMs")
    return document_pb2.ClassTarget(
        # Routes of equal kind, priority and latency share one class.
        name=f"{kind}-{priority}-{latency_ms}",
        latency_ms=latency_ms,
        deadline_ms=deadline_ms,
        repeatable=_REPEATABILITY[kind],
        importance=max(1, _MAX_IMPORTANCE - priority),
        # Downloads have latency targets too, so none holds a slot for minutes.
        size=document_pb2.SMALL,
    )


def _add_limits(resources: dict[str, bytes], row: rows.Row) -> None:
    resources[snapshots.LIMITS_RESOURCE] = compiler.serialize_message(
        document_pb2.LimitsResource(
            max_header_bytes=row.get_integer("maxHeaderBytes"),
            max_body_bytes=row.get_integer("maxBodyBytes"),
            header_timeout_ms=row.get_integer("headerTimeoutMs"),
            idle_timeout_ms=row.get_integer("idleTimeoutMs"),
        )
    )
