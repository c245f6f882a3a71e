"""A configuration takes away the keys of the only tenant."""

from __future__ import annotations

import asyncio
import time
from typing import Any, TYPE_CHECKING

from review.lib import consumer
from review.lib import deployment
from review.lib import runner

if TYPE_CHECKING:
    from collections.abc import Sequence

_TENANT = "bozi300"
_KEYS = ("wuakn2ftimaj3nr26tta", "828m82thhkmgjqnirth5")
# No configuration ever holds this key.
_UNKNOWN_KEY = "nobodys2key4anywhere"
_REVOKE_S = 5.0
_UNAUTHORIZED = 401
_OK = 200
_ROUNDS = 10


def _build_configuration(version: int, *tenants: list[Any]) -> bytes:
    columns = ["name", "apiKeys", "priority", "ratePerS", "burst"]
    return deployment.build_configuration(
        version,
        [deployment.build_route("gifts", "/gifts/", service="ledger")],
        ["ledger"],
        tenants={"columns": columns, "rows": list(tenants)},
        baseVersion=f"{max(0, version - 2):08x}",
    )


def _build_request(key: str) -> consumer.Request:
    return consumer.Request(
        "/gifts/17", headers=[("Authorization", f"Bearer {key}")]
    )


async def _send(
    connection: consumer.Connection, key: str
) -> consumer.Request | None:
    """Sends a request with a key over an open connection."""
    if connection.closed:
        return None
    request = _build_request(key)
    connection.send(request)
    await connection.receive(request)
    return request


async def play(
    fleet: deployment.Deployment, record: deployment.Record
) -> list[str]:
    """Takes all keys away, and sends requests with keys later than allowed."""
    tenant = [_TENANT, list(_KEYS), 1, 174, 174]
    await fleet.start(_build_configuration(5, tenant), "ledger", "ledger")
    # All machines have been in touch for `stableWindowMs` by then.
    await asyncio.sleep(4.0)
    connections = []
    for daemon in fleet.daemons:
        connection = consumer.Connection(daemon, record)
        await connection.open()
        connections.append(connection)
        request = await _send(connection, _KEYS[0])
        if request is None or request.status != _OK:
            raise runner.CannotRunError("a request with a key isn't served")
        unknown = _build_request(_UNKNOWN_KEY)
        await consumer.send(daemon, record, unknown)
        if unknown.status != _UNAUTHORIZED:
            raise runner.CannotRunError("an unknown key isn't refused")
    tenants = [] if runner.has_trouble() else [tenant]
    await fleet.configure(_build_configuration(7, *tenants))
    confirmed_at = time.monotonic()
    await asyncio.sleep(_REVOKE_S + 1.0)
    sent: dict[str, tuple[consumer.Request, str]] = {}
    for number in range(_ROUNDS):
        for daemon, connection in zip(fleet.daemons, connections, strict=True):
            key = _KEYS[number % len(_KEYS)]
            request = await _send(connection, key)
            if request is None:
                request = _build_request(key)
                await consumer.send(daemon, record, request)
            sent[request.attempt_id] = request, key
            unknown = _build_request(_UNKNOWN_KEY)
            await consumer.send(daemon, record, unknown)
            sent[unknown.attempt_id] = unknown, _UNKNOWN_KEY
    for connection in connections:
        connection.close()
    held = _KEYS if tenants else ()
    return _find_breaches(fleet, sent, held, confirmed_at)


def _find_breaches(
    fleet: deployment.Deployment,
    sent: dict[str, tuple[consumer.Request, str]],
    held: Sequence[str],
    confirmed_at: float,
) -> list[str]:
    """Returns the breaches of the rules by the runs at the upstreams.

    Args:
        fleet: The deployment.
        sent: The requests by attempt id, each with its key.
        held: Keys that the newest configuration holds.
        confirmed_at: When that configuration was confirmed.
    """
    breaches = []
    for daemon in fleet.daemons:
        for run in daemon.backend.runs:
            if run.attempt_id not in sent:
                continue
            request, key = sent[run.attempt_id]
            name = f"{run.attempt_id} at {run.backend}"
            fields = dict(run.headers)
            if key in fields.get("authorization", ""):
                breaches.append(f"UNASKED: {name} got the key {key}")
            late_s = request.sent_at - confirmed_at
            if key not in held and key != _UNKNOWN_KEY and late_s > _REVOKE_S:
                breaches.append(
                    f"CONFIG: {name} ran, sent {late_s:.1f} s after the"
                    " configuration that took its key away"
                )
            if key == _UNKNOWN_KEY:
                breaches.append(f"ROUTE: {name} ran, its key never existed")
            elif key in held and fields.get("x-tenant-id") != _TENANT:
                breaches.append(f"UNASKED: {name} got another tenant")
    return breaches


if __name__ == "__main__":
    runner.run(__file__, play)
