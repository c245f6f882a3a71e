"""Health check of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import connectors
from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle.daemon import heartbeats
from merlintrestle.daemon import validation
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    import aiohttp

    from merlintrestle.platform import settings as settings_lib

events = event_logs.EventLog("platform")

_PATH = "/health"
# Id of the backend server process, which the platform calls an instance.
_INSTANCE_HEADER = "X-Served-By"
# Running calls, waiting calls, slots and perhaps more, separated by commas.
_LOAD_HEADER = "X-Server-Load"
_SLOTS_INDEX = 2
# A backend server without a free slot responds later. The daemon then uses the
# next heartbeat, which contains the same status and arrives in 1 to 2 seconds.
_TIMEOUT_S = 0.5
_MAX_RESPONSE_BYTES = 64 * 1024
_STATES = {200: control_pb2.READY, 503: control_pb2.DRAINING}


async def check_backend(
    settings: settings_lib.Settings,
) -> heartbeats.Heartbeat | None:
    """Returns the backend server's status as a heartbeat, if available.

    Without it, a restarted daemon would refuse calls until the next heartbeat.
    """
    response = await connectors.fetch_headers(
        f"http://{settings.backend}{_PATH}", _MAX_RESPONSE_BYTES, _TIMEOUT_S
    )
    return None if response is None else parse_status(settings, response)


def parse_status(
    settings: settings_lib.Settings, response: aiohttp.ClientResponse
) -> heartbeats.Heartbeat | None:
    """Returns a valid status as a heartbeat older than all others, or None."""
    # A full backend server rejects the check like any other request.
    if "X-Not-Executed" in response.headers or response.status not in _STATES:
        return None
    instance_id = response.headers.get(_INSTANCE_HEADER, "")
    load = response.headers.get(_LOAD_HEADER, "")
    slots = validation.parse_slots(load, _SLOTS_INDEX)
    if not slots or not validation.is_instance_id(instance_id):
        decoding.count_refused("status")
        events.warn(
            "status malformed",
            instance=decoding.show_value(instance_id),
            load=decoding.show_value(load),
        )
        return None
    return heartbeats.Heartbeat(
        instance_id=instance_id,
        service=settings.service,
        address=str(settings.backend),
        slots=slots,
        state=_STATES[response.status],
        remaining_warmup_s=0.0,
        sequence=heartbeats.INITIAL_SEQUENCE,
    )
