"""The status of the backend server, asked when the daemon starts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from merlintrestle import connectors
from merlintrestle.daemon import heartbeats
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.platform import settings as settings_lib

_PATH = "/health"
# Id of the process that answers.
_INSTANCE = "X-Served-By"
# Calls that run, calls that wait, and slots.
_LOAD = "X-Server-Load"
# A full backend server has the question wait for a slot; its next heartbeat
# comes in a second or two and tells the same.
_TIMEOUT_S = 0.5
_LOAD_FIELDS = 3
_OK = 200


async def ask_backend(
    settings: settings_lib.Settings,
) -> heartbeats.Heartbeat | None:
    """Returns what the backend server's status says; None: it says nothing.

    A daemon that restarts beside a running backend server would otherwise
    refuse its calls until the next heartbeat.
    """
    try:
        async with (
            asyncio.timeout(_TIMEOUT_S),
            aiohttp.ClientSession(
                connector=connectors.Connector(force_close=True)
            ) as session,
            session.get(f"http://{settings.backend}{_PATH}") as answer,
        ):
            return read_status(settings, answer)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None


def read_status(
    settings: settings_lib.Settings, answer: aiohttp.ClientResponse
) -> heartbeats.Heartbeat | None:
    """Returns a status as the first heartbeat of its process."""
    instance_id = answer.headers.get(_INSTANCE, "")
    figures = answer.headers.get(_LOAD, "").split(",")
    if answer.status != _OK or not instance_id or len(figures) != _LOAD_FIELDS:
        return None
    slots = figures[-1].strip()
    if not slots.isdecimal() or not int(slots):
        return None
    return heartbeats.Heartbeat(
        instance_id=instance_id,
        service=settings.service,
        address=str(settings.backend),
        slots=int(slots),
        state=control_pb2.READY,
        remaining_warmup_s=0.0,
        sequence=heartbeats.INITIAL_SEQUENCE,
    )
