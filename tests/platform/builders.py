"""Builders of test data for the platform adapter."""

from __future__ import annotations

import json
from typing import Any, TYPE_CHECKING

from merlintrestle import settings_reader
from merlintrestle.documents import loader
from merlintrestle.platform import configuration as configuration_lib
from merlintrestle.platform import settings as settings_lib
from merlintrestle.platform import store as stores
from standins import platform_store

if TYPE_CHECKING:
    import unittest

    from merlintrestle.documents import snapshot as snapshots

SETTINGS = {
    "node": "sidecar-noord-1",
    "ip": "127.0.0.1",
    "zone": "noord",
    "region": "zaanstreek",
    "service": "balie",
    "app": "127.0.0.1:8628",
    "listen.inbound": "127.0.0.1:8624",
    "listen.outbound": "127.0.0.1:8629",
    "listen.ready": "127.0.0.1:8625",
    "listen.control": "127.0.0.1:8620",
    "internalPorts": "7600,7615",
    "platform.address": "127.0.0.1:8627",
    "heartbeatMs": "1500",
    "bounds": "drainMs=2000,graceS=6,retryBudgetRatio=0.2,budgetWindowS=10,"
    "retrySlack=62",
    "something.new": "ignored",
}


def build_settings_text(**changes: str | None) -> str:
    """Builds the text of a settings file; a value of None omits the setting."""
    values = {**SETTINGS, **changes}
    return "".join(
        f"{name}={value}\n"
        for name, value in values.items()
        if value is not None
    )


def build_settings(**changes: Any) -> settings_lib.Settings:
    """Builds settings with free ports."""
    settings = settings_lib.parse_settings(build_settings_text())
    free_address = settings_reader.Address("127.0.0.1", 0)
    settings = settings._replace(
        callers=free_address,
        peers=free_address,
        readiness=free_address,
        announcements=free_address,
        first_port=0,
    )
    return settings._replace(**changes)


def build_route(name: str, **changes: Any) -> dict[str, Any]:
    """Builds a route of a configuration, as the operators write it."""
    route = {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "balie",
        "maxAttempts": 2,
    }
    return {**route, **changes}


def build_tenants(*rows: dict[str, Any]) -> dict[str, Any]:
    """Builds the table of workspaces; by default one, "ijssel"."""
    return _build_table(rows or ({"name": "ijssel", "apiKeys": ["k1", "k2"]},))


def build_configuration(
    version: int, *routes: dict[str, Any], **changes: Any
) -> bytes:
    """Builds a configuration with the services balie and kassa.

    Args:
        version: Number of the version.
        *routes: The routes; by default one route to balie.
        **changes: Values that replace or extend those of the configuration.
    """
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": 130}
        for name in ("balie", "kassa")
    ]
    configuration = {
        "version": f"{version:08x}",
        "routes": _build_table(routes or (build_route("tickets"),)),
        "services": _build_table(services),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps({**configuration, **changes}).encode()


def build_large_configuration(version: int) -> bytes:
    """Builds a configuration with a thousand routes."""
    routes = [build_route(f"r{number}") for number in range(1000)]
    return build_configuration(version, *routes)


def load_configuration(
    value: bytes,
    version: int = 1,
    previous: snapshots.Snapshot | None = None,
) -> snapshots.Snapshot:
    """Loads a configuration as a version that follows another.

    Args:
        value: The configuration in the operators' record.
        version: Number of the version; the one within `value` is ignored.
        previous: The previous version, if any.
    """
    resources = configuration_lib.build_resources(json.loads(value))
    return loader.load_snapshot(version, resources, previous)


async def start_store(
    case: unittest.IsolatedAsyncioTestCase,
) -> tuple[platform_store.PlatformStoreStandin, stores.PlatformStore]:
    """Starts a stand-in for the store and a client, closed after the test."""
    standin = platform_store.PlatformStoreStandin()
    await standin.start()
    case.addAsyncCleanup(standin.close)
    store = stores.PlatformStore(standin.address)
    await store.start()
    case.addAsyncCleanup(store.close)
    return standin, store


def _build_table(rows: Any) -> dict[str, Any]:
    """Returns the columns and rows of objects; a missing value is null."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows],
    }
