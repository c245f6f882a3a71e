"""Test of connection attempts that are cancelled at any point."""

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
_TEST_TIMEOUT_S = 60
_ROUNDS = 20
_MAX_RESPONSE_BYTES = 2**20
# Number of requests that one task of a round cancels.
_CANCELLATIONS = 8


class CancelledConnectTest(unittest.TestCase):
    def test_other_connections_are_not_affected(self):
        """No caller gets the answer to the call of another caller.

        Requests to peers are cancelled at every step of opening a connection.
        If the HTTP library opened the socket itself, uvloop and the socket
        object would both close the file descriptor. The second close would
        affect a connection that was opened in the meantime, or end the process;
        therefore the scenario runs in a subprocess.
        """
        completed = subprocess.run(
            [sys.executable, "-m", "tests.test_connectors"],
            cwd=_ROOT,
            capture_output=True,
            timeout=_TEST_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(completed.returncode, 0, completed.stderr[-2000:])


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text="1")


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while line := await reader.readline():
        await asyncio.sleep(0.003)
        writer.write(line)
    writer.close()


async def _exchange_lines(
    port: int, name: str, counts: collections.Counter[str]
) -> None:
    """Counts echoed lines as whole, or as mixed with those of others."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(6):
        line = f"{name}-{number}\n".encode()
        writer.write(line)
        async with asyncio.timeout(3):
            counts["whole" if await reader.readline() == line else "mixed"] += 1
    writer.close()


async def _cancel_requests(
    session: aiohttp.ClientSession, url: str, rng: random.Random
) -> None:
    for _ in range(_CANCELLATIONS):
        request = asyncio.ensure_future(session.get(url))
        # Cancels the request after 0 to 11 steps of the event loop.
        for _ in range(rng.randrange(12)):
            await asyncio.sleep(0)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)


async def _run_scenario() -> int:
    """Returns the exit status: 0 if every line was echoed correctly."""
    rng = random.Random(1)
    counts: collections.Counter[str] = collections.Counter()
    echo_server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(web.Server(_answer), "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    port = echo_server.sockets[0].getsockname()[1]
    connector = connectors.Connector(_MAX_RESPONSE_BYTES, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        for number in range(_ROUNDS):
            await asyncio.gather(
                *(_cancel_requests(session, url, rng) for _ in range(8)),
                *(
                    _exchange_lines(port, f"{number}.{i}", counts)
                    for i in range(20)
                ),
            )
    print(dict(counts))
    return 0 if counts == {"whole": _ROUNDS * 20 * 6} else 1


if __name__ == "__main__":
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(_run_scenario()))
