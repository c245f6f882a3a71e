"""Compilation of the platform's configuration into versions of the product."""

from __future__ import annotations

import re
from typing import Any, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import rows
from merlintrestle.documents import compiler
from merlintrestle.documents import fields
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.documents import workspaces
from merlintrestle.platform import rollouts
from merlintrestle.platform import store as stores
from merlintrestle.platform import weights
from merlintrestle.schema import document_pb2
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import record_source

if TYPE_CHECKING:
    from collections.abc import Mapping

events = event_logs.EventLog("platform")

# Whether calls of a route may run more than once, by the kind of the route.
_REPEATABILITY = {"idempotent": True, "download": True, "non_idempotent": False}
# Importance of priority 0; it decreases by 1 with each further priority number.
_MAX_IMPORTANCE = 5
# Priority of a route that states none.
_DEFAULT_PRIORITY = _MAX_IMPORTANCE - fields.DEFAULT_IMPORTANCE
# Prefix of the operators' keys. `read_after` the configuration key returns the
# roll-out keys, which sort after it.
_OPERATOR_PREFIX = "op/"
_HEXADECIMAL_BASE = 16
# A version has eight digits; twice as many fit into 64 bits.
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")


class PlatformSource(record_source.RecordSource):
    """Source of versions that reads the operators' configuration record."""

    def __init__(self, store: stores.PlatformStore):
        """Starts without a known version."""
        super().__init__(
            store,
            record_source.RecordFormat(
                _OPERATOR_PREFIX,
                stores.CONFIGURATION_KEY,
                rollouts.PLATFORM_FORMAT.order_prefix,
                lambda value: parse_version(_parse_configuration(value)),
                lambda value: build_resources(_parse_configuration(value)),
                read_keys,
            ),
        )


def _parse_configuration(value: bytes) -> Mapping[str, Any]:
    return rows.parse_object(value, "configuration")


def parse_version(configuration: Mapping[str, Any]) -> int:
    """Returns the number of a version, which is a hexadecimal string.

    Raises:
        errors.SnapshotError: The version is not a number above 0.
    """
    text = configuration.get("version")
    if isinstance(text, str) and _VERSION.fullmatch(text):
        version = int(text, _HEXADECIMAL_BASE)
        if version:
            return version
    raise errors.SnapshotError(
        f"configuration: version is {decoding.show_value(text)}"
    )


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
    if configuration.get("tenants") is not None:
        tenants = rows.read_table(configuration, "tenants")
        for number, row in enumerate(tenants, 1):
            _add_workspace(resources, f"tenants row {number}", row)
        if not tenants:
            # Otherwise requests with any key would be served.
            resources[snapshots.API_KEYS_RESOURCE] = b""
    limits = configuration.get("limits")
    if limits is not None:
        _add_limits(resources, rows.Row("limits", limits))
    return resources


def read_keys(version: int, value: bytes) -> confirmed_keys.KeyList:
    """Returns the keys of a configuration that may be malformed elsewhere.

    Args:
        version: Number of the version.
        value: The encoded configuration.
    """
    try:
        configuration = _parse_configuration(value)
        if configuration.get("tenants") is None:
            return confirmed_keys.KeyList(version, {}, required=False)
        tenants = rows.read_table(configuration, "tenants")
    except errors.SnapshotError as error:
        events.warn("keys unreadable", version=version, error=str(error))
        return confirmed_keys.KeyList(version, {}, complete=False)
    holders: dict[bytes, str] = {}
    complete = True
    for number, row in enumerate(tenants, 1):
        try:
            name, keys = _read_holder(f"tenants row {number}", row)
        except errors.SnapshotError as error:
            events.warn("keys unreadable", version=version, error=str(error))
            complete = False
            continue
        for key in keys:
            if holders.setdefault(key, name) != name:
                # Which of the two workspaces has it is not known.
                holders[key] = ""
                complete = False
    return confirmed_keys.KeyList(
        version, {key: name for key, name in holders.items() if name}, complete
    )


def _read_holder(place: str, row: Any) -> tuple[str, list[bytes]]:
    """Returns the name of a workspace and the digests of its keys."""
    tenant = rows.Row(place, row, secret=True)
    return tenant.get_text("name"), [
        snapshots.hash_key(key) for key in tenant.get_texts("apiKeys")
    ]


def _add_service(resources: dict[str, bytes], row: rows.Row) -> None:
    name = row.get_text("name")
    resources[snapshots.build_service_name(name)] = compiler.serialize_message(
        document_pb2.ServiceResource(
            name=name,
            max_connections=row.get_optional_integer("maxConnections"),
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
                max_attempts=row.get_optional_integer("maxAttempts"),
                anonymous=row.get_flag("allowAnonymous"),
            )
        )
    )


def _build_parts(row: rows.Row) -> list[document_pb2.RoutePart]:
    split = row.get_list("split")
    if not split:
        service = row.get_text("service")
        return [document_pb2.RoutePart(service=service, weight=1)]
    parts = [rows.Row("split", part) for part in split]
    scaled = weights.scale_weights(
        [part.get_number("weight", required=True) for part in parts]
    )
    return [
        document_pb2.RoutePart(service=part.get_text("service"), weight=weight)
        for part, weight in zip(parts, scaled, strict=True)
    ]


def _build_target(row: rows.Row) -> document_pb2.ClassTarget:
    kind = row.get_text("kind")
    if kind not in _REPEATABILITY:
        raise errors.SnapshotError(
            f"routes: kind is {decoding.show_value(kind)}"
        )
    priority = row.get_optional_integer("priority", _DEFAULT_PRIORITY)
    latency_ms = row.get_integer("targetLatencyMs")
    deadline_ms = row.get_integer("timeoutMs")
    return document_pb2.ClassTarget(
        # Routes of equal kind, priority and latency share one class.
        name=f"{kind}-{priority}-{latency_ms}",
        latency_ms=latency_ms,
        deadline_ms=deadline_ms,
        repeatable=_REPEATABILITY[kind],
        importance=_compute_importance(priority),
        # Downloads have latency targets too, so none holds a slot for minutes.
        size=document_pb2.SMALL,
    )


def _add_workspace(resources: dict[str, bytes], place: str, row: Any) -> None:
    tenant = rows.Row(place, row, secret=True)
    importance = 0
    if tenant.has("priority"):
        importance = _compute_importance(tenant.get_integer("priority"))
    rate = tenant.get_number("ratePerS")
    burst = tenant.get_number("burst")
    workspace = snapshots.Workspace(
        tenant.get_text("name"),
        (),
        importance,
        rate,
        # Earlier releases refuse a version with a burst without a rate.
        burst if rate else 0.0,
    )
    workspaces.add_workspace(
        resources, place, workspace, tenant.get_texts("apiKeys")
    )


def _compute_importance(priority: int) -> int:
    return max(1, _MAX_IMPORTANCE - priority)


def _add_limits(resources: dict[str, bytes], row: rows.Row) -> None:
    resources[snapshots.LIMITS_RESOURCE] = compiler.serialize_message(
        document_pb2.LimitsResource(
            max_header_bytes=row.get_optional_integer("maxHeaderBytes"),
            max_body_bytes=row.get_optional_integer(
                "maxBodyBytes", maximum=decoding.MAX_LONG
            ),
            header_timeout_ms=row.get_optional_integer("headerTimeoutMs"),
            idle_timeout_ms=row.get_optional_integer("idleTimeoutMs"),
        )
    )
