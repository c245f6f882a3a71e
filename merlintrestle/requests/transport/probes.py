"""Probes: whether a call that gives no sign is alive at its peer.

A connection can go silent for good: something between the two ends has lost
track of it and drops what either sends. Neither end gets an error. A call that
merely waits for a slow backend server looks just the same on its connection,
so the daemon asks the peer about the call over a new one.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import web

PATH = "/-/calls/"
# A daemon that lives answers in milliseconds; a busy one in some tens of them.
_TIMEOUT_S = 0.3
_IN_FLIGHT = 200
_NOT_IN_FLIGHT = 404


@dataclasses.dataclass(slots=True)
class Progress:
    """How far the answer of a call has come at the daemon that sends it.

    Attributes:
        written: Bytes of its body that were handed to the connection.
    """

    written: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a peer says about a call.

    Attributes:
        answers: False if the peer did not answer over a new connection.
        in_flight: True if the call is in flight there.
        written: Bytes of its answer's body that the peer has sent off.
    """

    answers: bool
    in_flight: bool = False
    written: int = 0


class Registry:
    """The calls of peers that are in flight here."""

    def __init__(self) -> None:
        self._calls: dict[str, Progress] = {}

    def enter(self, call_id: str) -> Progress:
        """Adds a call."""
        progress = Progress()
        if call_id:
            self._calls[call_id] = progress
        return progress

    def leave(self, call_id: str) -> None:
        """Removes a call."""
        self._calls.pop(call_id, None)

    def answer(self, path: str) -> tuple[int, str]:
        """Returns status and text that answer a probe."""
        progress = self._calls.get(path.removeprefix(PATH))
        if progress is None:
            return _NOT_IN_FLIGHT, ""
        return _IN_FLIGHT, str(progress.written)


async def ask(
    session: aiohttp.ClientSession, address: str, call_id: str
) -> View:
    """Asks a peer about a call; the session makes a new connection."""
    try:
        async with (
            asyncio.timeout(_TIMEOUT_S),
            session.get(f"http://{address}{PATH}{call_id}") as answer,
        ):
            text = await answer.text()
            if answer.status != _IN_FLIGHT:
                return View(True)
            return View(True, True, int(text))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return View(False)


def is_probe(request: web.BaseRequest) -> bool:
    """Returns whether a peer asks about a call."""
    return request.raw_path.startswith(PATH)
