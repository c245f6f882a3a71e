"""Probes of calls in flight at another daemon.

A connection can go silent permanently, without an error at either end, if a
device between them (e.g. a firewall) has lost its state and drops all packets.
A call that is waiting for a slow backend server looks the same on its
connection. So the daemon asks its peer about the call over another connection.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import http
import multidict

from merlintrestle import decoding
from merlintrestle.requests.transport import bodies

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.requests.transport import connections
    from merlintrestle.requests.transport import pool as pools

PATH = "/-/calls/"
# Timeout of a probe, in seconds. A daemon answers a probe within milliseconds,
# and a busy daemon within tens of milliseconds.
_TIMEOUT_S = 0.3
# Timeout of a probe over an idle connection, in seconds. Such a connection may
# have gone silent as well, so the rest of `_TIMEOUT_S` is left for a new one.
_IDLE_TIMEOUT_S = 0.1
_IN_FLIGHT_STATUS = 200
_UNKNOWN_STATUS = 404
_ENDED_STATUS = 410
# Number of ended calls that a daemon remembers, which takes about 200 KB. It
# covers the last 20 s if a daemon serves 50 calls per second, which is the mean
# if 6,300 daemons serve 320,000 calls per second. The first probe of a call is
# sent much sooner, after 0.25 s.
_MAX_ENDED = 1024
_MAX_ANSWER_BYTES = 1024


@dataclasses.dataclass(slots=True)
class AnswerProgress:
    """Progress of an answer at the daemon that sends it.

    Attributes:
        written: Bytes of the body written to the connection.
    """

    written: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of probing a peer about a call.

    If the peer answered and the call is neither in flight nor ended, the peer
    does not know the call: it hasn't arrived, or it ended long ago.

    Attributes:
        answered: True if the peer answered the probe; False if it did not
            answer in time, over a new connection at last.
        in_flight: True if the call is in flight at the peer.
        written: Bytes of the answer's body that the peer has written.
        ended: True if the call has ended at the peer and its answer is written.
    """

    answered: bool
    in_flight: bool = False
    written: int = 0
    ended: bool = False


class CallRegistry:
    """Calls of peers that are in flight here or have recently ended."""

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
        """Marks a call as ended."""
        progress = self._calls.pop(call_id, None)
        if progress is None:
            return
        self._ended[call_id] = progress
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def answer_probe(self, path: str) -> tuple[int, str]:
        """Returns status and text of the answer to a probe."""
        call_id = path.removeprefix(PATH)
        progress = self._calls.get(call_id)
        if progress is not None:
            return _IN_FLIGHT_STATUS, str(progress.written)
        progress = self._ended.get(call_id)
        if progress is not None:
            return _ENDED_STATUS, str(progress.written)
        return _UNKNOWN_STATUS, ""


async def send_probe(
    pool: pools.Pool, address: str, call_id: str
) -> ProbeResult:
    """Sends a probe about a call to a peer.

    It is sent over an idle connection if there is one, as opening a connection
    takes most of the processor time of a probe: with slow backend servers,
    every call is probed several times. If it is not answered there, it is sent
    over a new connection.

    Args:
        pool: Provides the connections of probes.
        address: Address of the peer, "ip:port".
        call_id: Id of the call.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _TIMEOUT_S
    idle = pool.acquire(address)
    if idle is not None:
        result = await _try_fetch(
            pool, idle, call_id, loop.time() + _IDLE_TIMEOUT_S
        )
        if result.answered:
            return result
    try:
        async with asyncio.timeout_at(deadline):
            connection = await pool.open(address)
    except (OSError, TimeoutError):
        return ProbeResult(False)
    return await _try_fetch(pool, connection, call_id, deadline)


async def _try_fetch(
    pool: pools.Pool,
    connection: connections.Connection,
    call_id: str,
    deadline: float,
) -> ProbeResult:
    """Sends a probe over a connection, which is returned to the pool.

    Doesn't use aiohttp's client session, which costs more than a whole call.

    Args:
        pool: Pool of the connection.
        connection: The connection.
        call_id: Id of the call.
        deadline: Time at which the wait for the answer ends, in seconds of the
            event loop's clock.
    """
    try:
        async with asyncio.timeout_at(deadline):
            answer = await connection.call(
                "GET",
                f"{PATH}{call_id}",
                multidict.CIMultiDict(),
                bodies.Body(b"", 0),
            )
            text = await bodies.read_short(answer.content, _MAX_ANSWER_BYTES)
        result = _read_result(answer.status, text)
    except (
        aiohttp.ClientError,
        http.HttpProcessingError,
        OSError,
        TimeoutError,
        ValueError,
    ):
        connection.abort()
        return ProbeResult(False)
    except BaseException:
        connection.abort()
        raise
    pool.release(connection)
    return result


def _read_result(status: int, text: bytes) -> ProbeResult:
    if status not in (_IN_FLIGHT_STATUS, _ENDED_STATUS):
        return ProbeResult(True)
    written = decoding.parse_whole_number(text.decode("latin-1"))
    if written is None:
        decoding.report_refused("probe", text)
        raise decoding.MalformedValueError("the probe states no progress")
    if status == _IN_FLIGHT_STATUS:
        return ProbeResult(True, True, written)
    return ProbeResult(True, False, written, True)


def is_probe(request: web.BaseRequest) -> bool:
    """Returns whether a request is a probe."""
    return request.raw_path.startswith(PATH)
