"""The operators' configuration on the platform, as versions of the product."""

from __future__ import annotations

import asyncio
import json
from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.documents import loading
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.platform import store as stores
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from merlintrestle.store import client

# Kinds of a route: which may run more than once. Downloads have latency targets
# like the others, so they are no long transfers that hold a slot for minutes.
_REPEATABLE = {"idempotent": True, "download": True, "non_idempotent": False}
# The product's importance goes up from 1, the platform's rank down from 0.
_MOST_IMPORTANT = 5
_HEXADECIMAL = 16
# A watch hears of a change as early as a read does, and carries it already.
# Read at once, each change would travel twice over the same link. A watch that
# hears nothing is made up for this much later, well within what a change has.
_WATCH_LEAD_S = 0.3


class ConfigurationSource:
    """The record that the operators write, as a `versions.source.Source`."""

    def __init__(self, store: stores.PlatformStore):
        """Starts with no version known."""
        self._store = store
        self._latest: dict[int, client.Entry] = {}
        self._revision = 0
        # The store's revision up to which the head is known.
        self._known_at = 0
        self._watches = 0
        self._moved = asyncio.Event()
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
        if self._known_at:
            at = await self._store.read_revision(stores.CONFIGURATION_KEY)
            if at <= self._known_at or await self._wait_for_watch(at):
                return self._head
        entry, at = await self._store.read_newest(stores.CONFIGURATION_KEY)
        head = self._take(entry) if entry else document_pb2.Head()
        self._note_known(at)
        return head

    async def watch_head(self) -> AsyncIterator[document_pb2.Head]:
        """Yields the newest version and each later one.

        Raises:
            errors.StoreUnavailableError: The watch ended.
            errors.SnapshotError: A record is malformed.
        """
        self._watches += 1
        try:
            if self._revision:
                yield self._head
            async for entry in self._store.watch(
                stores.CONFIGURATION_KEY, self._known_at
            ):
                head = self._take(entry)
                self._note_known(entry.revision)
                yield head
        finally:
            self._watches -= 1

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
        resources = build_resources(_parse(entry.value))
        snapshot = loading.load_snapshot(
            head.version, resources, self._compiled
        )
        self._compiled = snapshot
        return snapshot

    async def write_seeds(self, zone: str, member_ids: list[str]) -> list[str]:
        """Names members of a zone; returns those named before.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return await seeds_lib.write_seeds(self._store, zone, member_ids)

    async def _wait_for_watch(self, at: int) -> bool:
        """Waits a moment for a watch; returns whether the head is known.

        An answer that has begun to arrive is waited for to its end.
        """
        while self._watches and self._known_at < at:
            self._moved.clear()
            try:
                async with asyncio.timeout(_WATCH_LEAD_S):
                    await self._moved.wait()
            except TimeoutError:
                if not self._store.is_delivering():
                    break
        return self._known_at >= at

    def _note_known(self, at: int) -> None:
        self._known_at = max(self._known_at, at)
        self._moved.set()

    def _take(self, entry: client.Entry) -> document_pb2.Head:
        """Returns the head of an entry, unless a newer one was taken."""
        if entry.revision > self._revision:
            version = read_version(_parse(entry.value))
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
    for row in _read_table(configuration, "services"):
        _add_service(resources, _Row("services", row))
    for row in _read_table(configuration, "routes"):
        _add_route(resources, _Row("routes", row))
    limits = configuration.get("limits")
    if limits is not None:
        _add_limits(resources, _Row("limits", limits))
    return resources


class _Row:
    """One row of the configuration; its values are checked as they are read."""

    def __init__(self, table: str, fields: Any):
        if not isinstance(fields, dict):
            raise errors.SnapshotError(f"{table}: {fields!r} is not an object")
        self._table = table
        self._fields = fields

    def get_text(self, name: str) -> str:
        """Returns a text that is not empty."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self._fail(name)
        return value

    def get_number(self, name: str) -> int:
        """Returns a whole number, not negative."""
        value = self._fields.get(name)
        if type(value) is not int or value < 0:
            raise self._fail(name)
        return value

    def get_list(self, name: str) -> list[Any] | None:
        """Returns a list; None: it is left out."""
        value = self._fields.get(name)
        if value is not None and not isinstance(value, list):
            raise self._fail(name)
        return value

    def _fail(self, name: str) -> errors.SnapshotError:
        row = self._fields.get("name", "")
        value = self._fields.get(name)
        return errors.SnapshotError(f"{self._table} {row}: {name} is {value!r}")


def _parse(value: bytes) -> dict[str, Any]:
    try:
        configuration = json.loads(value)
    except ValueError as error:
        raise errors.SnapshotError(f"configuration: {error}") from error
    if not isinstance(configuration, dict):
        raise errors.SnapshotError("configuration: it is not an object")
    return configuration


def _read_table(
    configuration: Mapping[str, Any], name: str
) -> list[dict[str, Any]]:
    """Returns the rows of a table; a value that is null is left out."""
    table = configuration.get(name)
    if not isinstance(table, dict):
        raise errors.SnapshotError(f"configuration: {name} is not an object")
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise errors.SnapshotError(f"{name}: columns and rows are not lists")
    found = []
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise errors.SnapshotError(f"{name}: {row!r} does not fit")
        pairs = zip(columns, row, strict=True)
        found.append({key: value for key, value in pairs if value is not None})
    return found


def _add_service(resources: dict[str, bytes], row: _Row) -> None:
    name = row.get_text("name")
    resources[snapshots.name_service(name)] = compiler.serialize_message(
        document_pb2.ServiceResource(
            name=name, max_connections=row.get_number("maxConnections")
        )
    )


def _add_route(resources: dict[str, bytes], row: _Row) -> None:
    name = row.get_text("name")
    resources[snapshots.name_host_route(name)] = compiler.serialize_message(
        document_pb2.HostRouteResource(
            name=name,
            host=row.get_text("host").lower(),
            prefix=row.get_text("prefix"),
            parts=_read_parts(row),
            target=_read_target(row),
            max_attempts=row.get_number("maxAttempts"),
        )
    )


def _read_parts(row: _Row) -> list[document_pb2.RoutePart]:
    split = row.get_list("split")
    if not split:
        service = row.get_text("service")
        return [document_pb2.RoutePart(service=service, weight=1)]
    parts = [_Row("split", part) for part in split]
    return [
        document_pb2.RoutePart(
            service=part.get_text("service"), weight=part.get_number("weight")
        )
        for part in parts
    ]


def _read_target(row: _Row) -> document_pb2.ClassTarget:
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


def _add_limits(resources: dict[str, bytes], row: _Row) -> None:
    resources[snapshots.LIMITS] = compiler.serialize_message(
        document_pb2.LimitsResource(
            max_header_bytes=row.get_number("maxHeaderBytes"),
            max_body_bytes=row.get_number("maxBodyBytes"),
            header_timeout_ms=row.get_number("headerTimeoutMs"),
            idle_timeout_ms=row.get_number("idleTimeoutMs"),
        )
    )
