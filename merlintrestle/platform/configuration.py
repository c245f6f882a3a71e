"""Compilation of the platform's configuration into versions of the product."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import rows
from merlintrestle.documents import compiler
from merlintrestle.documents import fields
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.documents import weights
from merlintrestle.documents import workspaces
from merlintrestle.platform import rollouts
from merlintrestle.platform import store as stores
from merlintrestle.schema import document_pb2
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import record_source

if TYPE_CHECKING:
    from collections.abc import Mapping

# Whether calls of a route may run more than once, by the kind of the route.
_REPEATABILITY = {"idempotent": True, "download": True, "non_idempotent": False}
# Importance of priority 0; it decreases by 1 with each further priority number.
_MAX_IMPORTANCE = 5
# Priority of a route that states none.
_DEFAULT_PRIORITY = _MAX_IMPORTANCE - fields.DEFAULT_IMPORTANCE
# Prefix of the operators' keys. `read_after` the configuration key returns the
# roll-out keys, which sort after it.
_OPERATOR_PREFIX = "op/"


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
    version = decoding.parse_hexadecimal(text)
    if not version:
        shown = decoding.show_value(text)
        raise errors.SnapshotError(f"configuration: version is {shown}")
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
    tenants = _read_tenants(configuration)
    for tenant in tenants or ():
        _add_workspace(resources, tenant)
    if tenants == []:
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
    return confirmed_keys.collect_keys(
        version,
        lambda: _read_tenants(_parse_configuration(value)),
        lambda tenant: (tenant.get_text("name"), tenant.get_texts("apiKeys")),
    )


def _read_tenants(configuration: Mapping[str, Any]) -> list[rows.Row] | None:
    """Returns the tenants; None if the configuration has no such table."""
    if configuration.get("tenants") is None:
        return None
    tenants = rows.read_table(configuration, "tenants")
    return [
        rows.Row(f"tenants row {number}", row, secret=True)
        for number, row in enumerate(tenants, 1)
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
        raise row.build_error("kind")
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


def _add_workspace(resources: dict[str, bytes], tenant: rows.Row) -> None:
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
        resources, tenant.table, workspace, tenant.get_texts("apiKeys")
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
