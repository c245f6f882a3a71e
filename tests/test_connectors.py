"""Connections whose opening is given up at any moment."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import subprocess
import sys
import unittest

import aiohttp
from aiohttp import web

from merlintrestle import connectors

_ROOT = pathlib.Path(__file__).parents[1]
_GUARD_S = 60
_ROUNDS = 20
_CANCELS = 8


class CancelledConnectTest(unittest.TestCase):
    def test_other_connections_stay_whole(self):
        """A caller never gets another's answer.

        Questions to peers are given up while their connections are being
        opened, at every step of that. With the library's own way of opening
        them, uvloop and the socket object both close the file: the second
        close hits a connection that was opened since, or ends the process.
        The scenario runs in a process of its own, for it ended there.
        """
        done = subprocess.run(
            [sys.executable, "-m", "tests.test_connectors"],
            cwd=_ROOT,
            capture_output=True,
            timeout=_GUARD_S,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stderr[-2000:])


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text="1")


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while line := await reader.readline():
        await asyncio.sleep(0.003)
        writer.write(line)
    writer.close()


async def _talk(port: int, name: str, seen: collections.Counter[str]) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(6):
        line = f"{name}-{number}\n".encode()
        writer.write(line)
        async with asyncio.timeout(3):
            seen["whole" if await reader.readline() == line else "mixed"] += 1
    writer.close()


async def _give_up(
    session: aiohttp.ClientSession, url: str, chance: random.Random
) -> None:
    for _ in range(_CANCELS):
        asking = asyncio.ensure_future(session.get(url))
        for _ in range(chance.randrange(12)):
            await asyncio.sleep(0)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)


async def _run() -> int:
    chance = random.Random(1)
    seen: collections.Counter[str] = collections.Counter()
    echo = await asyncio.start_server(_echo, "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    asked = await loop.create_server(web.Server(_answer), "127.0.0.1", 0)
    url = f"http://127.0.0.1:{asked.sockets[0].getsockname()[1]}/"
    port = echo.sockets[0].getsockname()[1]
    connector = connectors.Connector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        for number in range(_ROUNDS):
            await asyncio.gather(
                *(_give_up(session, url, chance) for _ in range(8)),
                *(_talk(port, f"{number}.{i}", seen) for i in range(20)),
            )
    print(dict(seen))
    return 0 if seen == {"whole": _ROUNDS * 20 * 6} else 1


if __name__ == "__main__":
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(_run()))
