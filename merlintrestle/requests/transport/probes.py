"""Probes: whether a call that gives no sign is alive at its peer.

A connection can go silent for good: something between the two ends has lost
track of it and drops what either sends. Neither end gets an error. A call that
merely waits for a slow backend server looks just the same on its connection,
so the daemon asks the peer about the call over a new one.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import hdrs
from aiohttp import http
import multidict

from merlintrestle.requests.transport import bodies

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.requests.transport import pool as pools

PATH = "/-/calls/"
# A daemon that lives answers in milliseconds; a busy one in some tens of them.
_TIMEOUT_S = 0.3
_IN_FLIGHT = 200
_NOT_KNOWN = 404
_ENDED = 410
# Ended calls that are remembered, some 200 KB. At 50 calls a second, the share
# of one of 6,300 daemons in 320,000, these are those of 20 s; a call is asked
# about after a quarter of a second.
_MAX_ENDED = 1024


@dataclasses.dataclass(slots=True)
class AnswerProgress:
    """How far the answer of a call has come at the daemon that sends it.

    Attributes:
        written: Bytes of its body that were handed to the connection.
    """

    written: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """What a peer says about a call.

    Attributes:
        answered: False if the peer did not answer over a new connection.
        in_flight: True if the call is in flight there.
        ended: True if it was in flight there and its answer is sent off.
        written: Bytes of its answer's body that the peer has sent off.
    """

    answered: bool
    in_flight: bool = False
    written: int = 0
    ended: bool = False


class CallRegistry:
    """The calls of peers that are in flight here, or were just now."""

    def __init__(self) -> None:
        self._calls: dict[str, AnswerProgress] = {}
        self._ended: collections.OrderedDict[str, AnswerProgress]
        self._ended = collections.OrderedDict()

    def add(self, call_id: str) -> AnswerProgress:
        """Adds a call."""
        progress = AnswerProgress()
        if call_id:
            self._calls[call_id] = progress
        return progress

    def mark_ended(self, call_id: str) -> None:
        """Takes a call for ended."""
        progress = self._calls.pop(call_id, None)
        if progress is None:
            return
        self._ended[call_id] = progress
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def answer_probe(self, path: str) -> tuple[int, str]:
        """Returns status and text that answer a probe."""
        call_id = path.removeprefix(PATH)
        progress = self._calls.get(call_id)
        if progress is not None:
            return _IN_FLIGHT, str(progress.written)
        progress = self._ended.get(call_id)
        if progress is not None:
            return _ENDED, str(progress.written)
        return _NOT_KNOWN, ""


async def ask(pool: pools.Pool, address: str, call_id: str) -> ProbeResult:
    """Asks a peer about a call over a new connection."""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            status, text = await _fetch(pool, address, f"{PATH}{call_id}")
        if status == _IN_FLIGHT:
            return ProbeResult(True, True, int(text))
        if status == _ENDED:
            return ProbeResult(True, False, int(text), True)
        return ProbeResult(True)
    except (
        aiohttp.ClientError,
        http.HttpProcessingError,
        OSError,
        TimeoutError,
        ValueError,
    ):
        return ProbeResult(False)


async def _fetch(
    pool: pools.Pool, address: str, path: str
) -> tuple[int, bytes]:
    """Returns status and body of an answer.

    Without the library's session, which costs more than a whole call. With
    slow backend servers every call is asked about several times.
    """
    connection = await pool.open(address)
    try:
        sent = multidict.CIMultiDict({hdrs.CONNECTION: "close"})
        nothing = bodies.Body(b"", 0)
        answer = await connection.call("GET", path, sent, nothing)
        return answer.status, await answer.content.read()
    finally:
        connection.close()


def is_probe(request: web.BaseRequest) -> bool:
    """Returns whether a peer asks about a call."""
    return request.raw_path.startswith(PATH)
