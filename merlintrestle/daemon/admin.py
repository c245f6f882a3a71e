"""HTTP server on loopback for announcements, health and metrics."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple, TYPE_CHECKING

from aiohttp import web
import mode
import prometheus_client

from merlintrestle import config
from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import http_ports
from merlintrestle import settings_reader
from merlintrestle.daemon import metrics
from merlintrestle.documents import fields as document_fields
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.ingress import ingress as ingresses
    from merlintrestle.versions import active_version as active_versions

logger = logging.getLogger(__name__)

_LOOPBACK_IP = "127.0.0.1"
_MAX_BODY_BYTES = 4096
_MAX_SLOTS = 100_000
_STATES = {
    "ready": control_pb2.READY,
    "draining": control_pb2.DRAINING,
    "down": control_pb2.DOWN,
}


class Announcement(NamedTuple):
    """State of a backend server, received through `POST /announce`.

    `heartbeats.Heartbeat` contains the state of a backend server that sends
    heartbeats instead.

    Attributes:
        service: Service that it serves.
        address: Its "ip:port".
        slots: Number of calls that it runs at once.
        state: Whether it accepts new calls.
        version: Version of its software; empty, as `POST /announce` does not
            contain it.
    """

    service: str
    address: str
    slots: int
    state: control_pb2.BackendState
    version: str = ""


class AdminServer(mode.Service):
    """HTTP server on a loopback port.

    `POST /announce` receives an `Announcement` as JSON. `GET /health` returns
    whether this daemon serves calls, `GET /versions` the configuration
    versions that it activated, and `GET /metrics` its metrics.

    Attributes:
        port: The bound port, after the start.
    """

    def __init__(
        self,
        port: int,
        active_version: active_versions.ActiveVersion,
        apply_announcement: Callable[[Announcement], None],
        registry: prometheus_client.CollectorRegistry,
        ingress: ingresses.Ingress,
    ):
        """Initializes the server.

        Args:
            port: Loopback port to bind; 0: any free port.
            active_version: The active version of this daemon and its history.
            apply_announcement: Called with each valid announcement.
            registry: Metrics of this daemon, in addition to those of the
                process.
            ingress: The budgets of the process.
        """
        super().__init__()
        self.port = port
        self._active_version = active_version
        self._apply_announcement = apply_announcement
        self._registry = registry
        self._ports = http_ports.HttpPorts(ingress, _MAX_BODY_BYTES)

    async def on_start(self) -> None:
        """Binds the port."""
        address = await self._ports.serve(
            "admin",
            settings_reader.Address(_LOOPBACK_IP, self.port),
            {
                ("POST", "/announce"): self._handle_announce,
                ("GET", "/health"): self._handle_health,
                ("GET", "/versions"): self._handle_versions,
                ("GET", "/metrics"): self._handle_metrics,
            },
        )
        self.port = address.port

    async def on_stop(self) -> None:
        """Closes the port."""
        await self._ports.close()

    async def _handle_announce(self, request: web.BaseRequest) -> web.Response:
        try:
            announcement = read_announcement(await request.read())
        except errors.InvalidInputError as error:
            decoding.count_refused("announcement")
            logger.warning("announcement refused: %s", error)
            findings = [finding._asdict() for finding in error.findings]
            return web.json_response({"findings": findings}, status=400)
        self._apply_announcement(announcement)
        return web.json_response({})

    async def _handle_health(self, request: web.BaseRequest) -> web.Response:
        del request
        reason = self._active_version.closed_reason
        running = self._active_version.active_snapshot
        health = {
            "closed_reason": reason,
            "version": running.version if running else 0,
        }
        return web.json_response(health, status=503 if reason else 200)

    async def _handle_versions(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.json_response(
            [
                {"version": version, "at_ms": at_ms}
                for version, at_ms in self._active_version.history
            ]
        )

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(
            body=metrics.render_metrics(self._registry),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )


def read_announcement(body: bytes) -> Announcement:
    """Decodes and validates an announcement in JSON.

    Raises:
        errors.InvalidInputError: With all findings.
    """
    try:
        fields = decoding.decode_json(body, _MAX_BODY_BYTES)
    except decoding.MalformedValueError as error:
        raise errors.InvalidInputError(
            [errors.Finding("announcement", f"is not JSON: {error}.")]
        ) from error
    if not isinstance(fields, dict):
        raise errors.InvalidInputError(
            [errors.Finding("announcement", "is not a JSON object.")]
        )
    findings = _check_service_and_address(fields)
    slots = fields.get("slots")
    if type(slots) is not int or not 0 < slots <= _MAX_SLOTS:
        text = f"must be a whole number from 1 to {_MAX_SLOTS}."
        findings.append(errors.Finding("slots", text))
    state = fields.get("state")
    if not isinstance(state, str) or state not in _STATES:
        text = f"must be one of {', '.join(_STATES)}."
        findings.append(errors.Finding("state", text))
    if findings:
        raise errors.InvalidInputError(findings)
    return Announcement(
        fields["service"],
        fields["address"],
        int(fields["slots"]),
        _STATES[fields["state"]],
    )


def _check_service_and_address(fields: dict[str, Any]) -> list[errors.Finding]:
    """Returns the findings about the service and the address.

    A task connects to the address every second, and the service is sent to
    other daemons. A malformed value would crash the daemon.
    """
    findings = []
    service = fields.get("service")
    if not isinstance(service, str) or not document_fields.NAME.fullmatch(
        service
    ):
        text = "must be a name (a-z, 0-9 and '-', 63 at most)."
        findings.append(errors.Finding("service", text))
    address = fields.get("address")
    if not isinstance(address, str):
        findings.append(errors.Finding("address", "must be a text."))
    elif problem := config.check_address(address):
        findings.append(errors.Finding("address", problem))
    return findings
