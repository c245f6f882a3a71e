"""HTTP endpoints for the platform and the local backend server."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from aiohttp import web
import mode
import prometheus_client

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import http_ports
from merlintrestle import settings_reader
from merlintrestle.daemon import heartbeats
from merlintrestle.daemon import validation
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.ingress import ingress as ingresses
    from merlintrestle.platform import settings as settings_lib

events = event_logs.EventLog("platform")

_READY_PATH = "/merlintrestle/ready"
# The id of the instance follows.
_HEARTBEAT_PATH = "/merlintrestle/Instances.Heartbeat/"
_LEAVE_PATH = "/merlintrestle/Instances.Leave/"
METRICS_PORT = 9464  # Prometheus endpoint; deploy/system.toml states it too.
_MAX_BODY_BYTES = 16 * 1024
_STATES = {"ready": control_pb2.READY, "draining": control_pb2.DRAINING}


class Endpoints(mode.Service):
    """Serves readiness, metrics and the heartbeats of the backend server.

    Attributes:
        readiness: Address of the readiness endpoint; bound by `start`.
        announcements: Address that receives heartbeats; bound by `start`.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        is_ready: Callable[[], bool],
        on_heartbeat: Callable[[heartbeats.Heartbeat], Awaitable[bool]],
        on_leave: Callable[[str, int], Awaitable[bool]],
        knows_service: Callable[[str], bool],
        render_metrics: Callable[[], bytes],
        ingress: ingresses.Ingress,
    ):
        """Keeps the settings and callbacks; `start` binds the ports.

        Args:
            settings: Settings with the addresses to listen on.
            is_ready: Returns whether callers may use this daemon.
            on_heartbeat: Called with each heartbeat; tells if it is confirmed.
            on_leave: Called with the id of a process that leaves and its start,
                in ms since 1970 (0 if not stated); tells if it is confirmed.
            knows_service: Returns whether a service is known.
            render_metrics: Returns the metrics in Prometheus text format.
            ingress: The budgets of the process.
        """
        super().__init__()
        self.readiness = settings.readiness
        self.announcements = settings.announcements
        self._is_ready = is_ready
        self._on_heartbeat = on_heartbeat
        self._on_leave = on_leave
        self._knows_service = knows_service
        self._render_metrics = render_metrics
        self._metrics_address = settings_reader.Address(
            settings.address, METRICS_PORT if settings.first_port else 0
        )
        self._ports = http_ports.HttpPorts(ingress, _MAX_BODY_BYTES)

    async def on_start(self) -> None:
        """Binds the ports."""
        serve = self._ports.serve
        self.readiness = await serve(
            "ready", self.readiness, {("GET", _READY_PATH): self._handle_ready}
        )
        self._metrics_address = await serve(
            "metrics",
            self._metrics_address,
            {("GET", "/metrics"): self._handle_metrics},
        )
        self.announcements = await serve(
            "announcements",
            self.announcements,
            {
                ("POST", _HEARTBEAT_PATH): self._handle_heartbeat,
                ("POST", _LEAVE_PATH): self._handle_leave,
            },
        )

    async def on_stop(self) -> None:
        """Closes the ports."""
        await self._ports.close()

    async def _handle_ready(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _handle_metrics(self, _: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._render_metrics(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )

    async def _handle_heartbeat(self, request: web.BaseRequest) -> web.Response:
        instance_id = http_ports.get_last_segment(request)
        try:
            fields = decoding.decode_json(await request.read(), _MAX_BODY_BYTES)
            heartbeat = parse_heartbeat(instance_id, fields)
            self._check_service(heartbeat.service)
        except (errors.InvalidInputError, ValueError) as error:
            decoding.count_refused("heartbeat")
            events.warn(
                "heartbeat refused", instance=instance_id, error=str(error)
            )
            return web.json_response({}, status=400)
        confirmed = await self._on_heartbeat(heartbeat)
        return web.json_response({}, status=200 if confirmed else 503)

    async def _handle_leave(self, request: web.BaseRequest) -> web.Response:
        instance_id = http_ports.get_last_segment(request)
        try:
            validation.check_instance_id(instance_id)
            started_ms = parse_leave(await request.read())
        except (errors.InvalidInputError, ValueError) as error:
            decoding.count_refused("leave")
            events.warn("leave refused", instance=instance_id, error=str(error))
            return web.json_response({}, status=400)
        confirmed = await self._on_leave(instance_id, started_ms)
        return web.json_response({}, status=200 if confirmed else 503)

    def _check_service(self, name: str) -> None:
        """Refuses a heartbeat for an unknown service, sent by another writer.

        If applied, the local backend server would vanish from its service.
        """
        if not self._knows_service(name):
            raise errors.InvalidInputError(
                [errors.Finding("service", f"{name!r} is not known.")]
            )


def parse_heartbeat(instance_id: str, fields: Any) -> heartbeats.Heartbeat:
    """Parses the body of a heartbeat.

    Raises:
        errors.InvalidInputError: With all findings.
    """
    if not isinstance(fields, dict):
        raise errors.InvalidInputError(
            [errors.Finding("heartbeat", "is not an object.")]
        )
    stated = {**fields, "id": instance_id}
    findings = [
        validation.build_finding(name, stated.get(name))
        for name, is_valid in (
            ("id", validation.is_instance_id),
            ("service", validation.is_service_name),
            ("address", validation.is_address),
            ("zone", validation.is_zone),
            ("slots", validation.is_slot_count),
            ("state", _is_state),
            ("coldRemainingMs", validation.is_duration),
            ("seq", validation.is_sequence),
            ("born", validation.is_start_time),
            ("version", validation.is_version),
        )
        if not is_valid(stated.get(name))
    ]
    if findings:
        raise errors.InvalidInputError(findings)
    return heartbeats.Heartbeat(
        instance_id,
        fields["service"],
        fields["address"],
        fields["slots"],
        _STATES[fields["state"]],
        fields["coldRemainingMs"] / 1000,
        fields["seq"],
        fields.get("born") or 0,
        fields.get("version") or "",
    )


def parse_leave(body: bytes) -> int:
    """Returns the process start in a leave request, in ms since 1970, or 0.

    Raises:
        errors.InvalidInputError: The start is not a positive integer.
        ValueError: The body is neither empty nor JSON.
    """
    fields = decoding.decode_json(body, _MAX_BODY_BYTES) if body else {}
    started_ms = fields.get("born") if isinstance(fields, dict) else fields
    if not validation.is_start_time(started_ms):
        raise errors.InvalidInputError(
            [validation.build_finding("born", started_ms)]
        )
    return started_ms or 0


def _is_state(value: Any) -> bool:
    return isinstance(value, str) and value in _STATES
