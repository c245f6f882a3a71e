"""The operators' configuration on the platform, as versions of the product."""

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

# Kinds of a route: which may run more than once. Downloads have latency targets
# like the others, so they are no long transfers that hold a slot for minutes.
_REPEATABLE = {"idempotent": True, "download": True, "non_idempotent": False}
# The product's importance goes up from 1, the platform's rank down from 0.
_MOST_IMPORTANT = 5
# All that operators write; roll-outs stand behind the configuration.
_OPERATORS_PREFIX = "op/"
_HEXADECIMAL = 16
# Shortest wait of a watch that asks what is in the history already.
_ASK_MS = 1


class ConfigurationSource:
    """The record that the operators write, as a `versions.source.Source`."""

    def __init__(self, store: stores.PlatformStore):
        """Starts with no version known."""
        self._store = store
        self._latest: dict[int, client.Entry] = {}
        self._revision = 0
        self._orders: Sequence[client.Entry] = ()
        self._known = known_revision.KnownRevision()
        self._head = document_pb2.Head()
        self._compiled: snapshots.Snapshot | None = None

    async def read_head(self) -> document_pb2.Head:
        """Reads the newest version; 0 where there is none.

        The value is some hundred KB, which fills a thin link for half a
        second. It is read only where the store's revision has moved and no
        watch brings what moved it.

        Raises:
            errors.StoreError: The store did not answer.
            errors.SnapshotError: The record is malformed.
        """
        if self._known.revision:
            self._orders, at = await self._store.read_after(
                _OPERATORS_PREFIX, stores.CONFIGURATION_KEY
            )
            if at <= self._known.revision or await self._learn_without_value(
                at
            ):
                return self._head
        revision = self._revision
        entries, at = await self._store.read_all(_OPERATORS_PREFIX)
        head = self._head
        for entry in entries:
            if entry.key == stores.CONFIGURATION_KEY:
                head = self._take(entry)
        self._orders = [
            entry for entry in entries if entry.key != stores.CONFIGURATION_KEY
        ]
        self._known.record_read(self._revision != revision)
        self._known.advance(at)
        return head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the newest version and each later one.

        Raises:
            errors.StoreUnavailableError: The watch ended.
            errors.SnapshotError: A record is malformed.
        """
        self._known.open_watches += 1
        try:
            if self._revision:
                yield self._head
            async for entry in self._store.watch(
                stores.CONFIGURATION_KEY, self._known.revision
            ):
                head = self._take(entry)
                self._known.advance(entry.revision)
                yield head
        finally:
            self._known.open_watches -= 1

    async def compile_head(self, head: document_pb2.Head) -> snapshots.Snapshot:
        """Compiles the version that a head names.

        Raises:
            errors.SnapshotError: It is malformed.
        """
        entry = self._latest.get(head.version)
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
        """Returns the orders of roll-outs, as the last read of the head saw.

        They lie behind the configuration, so that no call of its own is made
        for them.
        """
        return [
            entry
            for entry in self._orders
            if entry.key.startswith(rollouts.OPERATORS_FORMAT.order_prefix)
        ]

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Names members of a zone; returns those named before.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return await seeds_lib.write_seeds(self._store, zone, member_ids)

    async def _learn_without_value(self, at: int) -> bool:
        """Returns whether the head is known without a read of its value.

        The history is always asked from the last value on, so that one that
        was dropped since then refuses and hides no change.
        """
        delivering = self._store.is_delivering
        if delivering() or not self._known.may_query_history():
            return await self._known.wait_for_watch(at, delivering)
        try:
            found, _ = await self._store.read_events(
                stores.CONFIGURATION_KEY, self._known.revision, _ASK_MS
            )
        except errors.StoreUnavailableError:
            return False
        for entry in found[-1:]:
            self._take(entry)
            self._known.record_read(news=True)
            self._known.advance(entry.revision)
        return True

    def _take(self, entry: client.Entry) -> document_pb2.Head:
        """Returns the head of an entry, unless a newer one was taken."""
        if entry.revision > self._revision:
            version = read_version(
                rows.parse_object(entry.value, "configuration")
            )
            self._latest = {version: entry}
            self._revision = entry.revision
            self._head = document_pb2.Head(version=version)
        return self._head


def read_version(configuration: Mapping[str, Any]) -> int:
    """Returns the number of a version, written as hexadecimal digits.

    Raises:
        errors.SnapshotError: It is not a number above 0.
    """
    text = configuration.get("version")
    try:
        version = int(text, _HEXADECIMAL) if isinstance(text, str) else 0
    except ValueError:
        version = 0
    if version <= 0:
        raise errors.SnapshotError(f"configuration: version is {text!r}")
    return version


def build_resources(configuration: Mapping[str, Any]) -> dict[str, bytes]:
    """Returns the resources of the snapshot that a configuration makes.

    Raises:
        errors.SnapshotError: Something in it is malformed.
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
            name=name, max_connections=row.get_number("maxConnections")
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
                parts=_read_parts(row),
                target=_read_target(row),
                max_attempts=row.get_number("maxAttempts"),
            )
        )
    )


def _read_parts(row: rows.Row) -> list[document_pb2.RoutePart]:
    split = row.get_list("split")
    if not split:
        service = row.get_text("service")
        return [document_pb2.RoutePart(service=service, weight=1)]
    parts = [rows.Row("split", part) for part in split]
    return [
        document_pb2.RoutePart(
            service=part.get_text("service"), weight=part.get_number("weight")
        )
        for part in parts
    ]


def _read_target(row: rows.Row) -> document_pb2.ClassTarget:
    kind = row.get_text("kind")
    if kind not in _REPEATABLE:
        raise errors.SnapshotError(f"routes: kind is {kind!r}")
    rank = row.get_number("priority")
    latency_ms = row.get_number("targetLatencyMs")
    deadline_ms = row.get_number("timeoutMs")
    return document_pb2.ClassTarget(
        # Routes of one kind, rank and latency are one class of work.
        name=f"{kind}-{rank}-{latency_ms}",
        latency_ms=latency_ms,
        deadline_ms=deadline_ms,
        repeatable=_REPEATABLE[kind],
        importance=max(1, _MOST_IMPORTANT - rank),
        size=document_pb2.SMALL,
    )


def _add_limits(resources: dict[str, bytes], row: rows.Row) -> None:
    resources[snapshots.LIMITS_RESOURCE] = compiler.serialize_message(
        document_pb2.LimitsResource(
            max_header_bytes=row.get_number("maxHeaderBytes"),
            max_body_bytes=row.get_number("maxBodyBytes"),
            header_timeout_ms=row.get_number("headerTimeoutMs"),
            idle_timeout_ms=row.get_number("idleTimeoutMs"),
        )
    )
