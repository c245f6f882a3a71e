"""Backend servers of whole processes that answer with bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp
from aiohttp import web

from tests.clients import memory
from tests.clients import stage as stages
from tests.platform import processes
from tests.requests import broken_servers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Stands for the id of the request in what is sent.
_ID = b"{id}"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_OWN_HEAD = _HEAD + (b"X-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n")
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK_BYTES = 256 * 1024
_DAEMONS = 3
_TIMEOUT_S = 30.0

FLOODS = {
    "informational": broken_servers.Flood(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n"
    ),
    "header lines": broken_servers.Flood(_HEAD, b"X-A: b\r\n"),
    "header line": broken_servers.Flood(_HEAD + b"X-A: ", b"b"),
    "chunk extension": broken_servers.Flood(_CHUNKED + b"2;", b"a"),
    "chunks": broken_servers.Flood(_CHUNKED, b"1\r\nx\r\n"),
    "own body": broken_servers.Flood(_OWN_HEAD + b"\r\n", b"x" * 1024),
    "own chunks": broken_servers.Flood(
        _OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"x" * 1024 + b"\r\n",
    ),
    "large chunks": broken_servers.Flood(
        _CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"
    ),
    "stated body": broken_servers.Flood(
        _HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 1024
    ),
    "body": broken_servers.Flood(_HEAD + b"\r\n", b"x" * 1024),
    "trailer": broken_servers.Flood(
        _CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"
    ),
}


class Result(NamedTuple):
    """What was seen while all backend servers sent a flood.

    Attributes:
        usages: Largest memory of each daemon.
        ended: Daemons that ended or exceeded the memory of their machine.
        calls: Number of calls that ended.
    """

    usages: list[memory.Usage]
    ended: list[int]
    calls: int


async def play(
    flood: broken_servers.Flood, callers: int, seconds: float
) -> Result:
    """Lets callers at all daemons call backend servers that send a flood.

    Args:
        flood: What they answer.
        callers: Callers at each daemon, each with one call at a time.
        seconds: How long they call.
    """
    async with processes.ProcessFleet() as fleet:
        await fleet.start(
            *["balie"] * _DAEMONS,
            configuration=stages.build_configuration(),
            settings={
                "limits.memoryMb": str(stages.MEMORY_MB),
                "limits.maxFds": str(stages.DESCRIPTORS),
            },
        )
        for index in range(_DAEMONS):
            await fleet.wait_until_served(index)
        watches = [
            memory.MemoryWatch(daemon.pid, daemon.address, stages.MEMORY_MB)
            for daemon in fleet.daemons
        ]
        tasks = [asyncio.create_task(watch.run()) for watch in watches]
        for daemon in fleet.daemons:
            daemon.backend.handler = _build_handler(flood)
        counts = await asyncio.gather(
            *(
                _call(daemon.url, seconds)
                for daemon in fleet.daemons
                for _ in range(callers)
            )
        )
        for task in tasks:
            task.cancel()
        ended = [
            index
            for index, daemon in enumerate(fleet.daemons)
            if not daemon.is_running or watches[index].exceeded
        ]
        return Result([watch.largest for watch in watches], ended, sum(counts))


async def _call(url: str, seconds: float) -> int:
    """Sends one call after the other, reads slowly, and counts them."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    count = 0
    async with aiohttp.ClientSession() as session:
        while loop.time() < ends_at:
            headers = {
                "Host": "desk.example",
                "X-Attempt-Id": f"f{id(session)}-{count}",
                "X-Deadline-Ms": "3000",
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with (
                    asyncio.timeout_at(ends_at),
                    session.get(f"{url}/tickets/1", headers=headers) as answer,
                ):
                    while await answer.content.readany():
                        await asyncio.sleep(0.05)
            count += 1
    return count


def _build_handler(
    flood: broken_servers.Flood,
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    block = flood.repeated * (_BLOCK_BYTES // len(flood.repeated))

    async def handle(request: web.Request) -> web.StreamResponse:
        transport: Any = request.transport
        attempt_id = request.headers["X-Attempt-Id"].encode()
        transport.write(flood.start.replace(_ID, attempt_id))
        async with asyncio.timeout(_TIMEOUT_S):
            while not transport.is_closing():
                if transport.get_write_buffer_size() < _BLOCK_BYTES:
                    transport.write(block)
                await asyncio.sleep(0)
        raise asyncio.CancelledError

    return handle


async def _main() -> None:
    for name, flood in FLOODS.items():
        result = await play(flood, 20, 8.0)
        sizes = [round(usage.total_mb) for usage in result.usages]
        print(f"{name}: {sizes} MB, {result.calls} calls, ended {result.ended}")


if __name__ == "__main__":
    asyncio.run(_main())
