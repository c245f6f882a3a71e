"""Tests of calls that need all of the time until their deadline."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import watchdogs
from tests.requests import builders
from tests.requests import relays

# Rounding of deadlines in headers, which state whole milliseconds.
_ROUNDING_S = 0.001
_SHORT_DEADLINES = builders.build_snapshot(builders.build_short_plans())
_ARCHIVE = b"a" * 8_000_000


class RemainingTimeTest(unittest.IsolatedAsyncioTestCase):
    """Calls of classes of work with a short deadline."""

    async def test_backend_server_gets_all_of_the_remaining_time(self) -> None:
        """Guards against a deadline that is too early for the backend server.

        The backend server would end its work early. The time reserved for the
        return trip of a refusal must not be subtracted from the deadline that
        the backend server gets.
        """
        loop = asyncio.get_running_loop()
        deadlines: list[float] = []

        async def record_deadline(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            remaining_s = int(request.headers[headers.DEADLINE]) / 1000
            deadlines.append(loop.time() + remaining_s)
            return web.Response()

        async with relays.run_nodes_after_full_link(
            record_deadline, running=_SHORT_DEADLINES
        ) as (
            nodes,
            client,
        ):
            for method, path in (("GET", "/x"), ("POST", "/payouts/1")):
                with self.subTest(path=path):
                    started_at = loop.time()
                    await client.request(method, nodes[0].url + path)
                    self.assertGreaterEqual(
                        deadlines[-1],
                        started_at + builders.SHORT_DEADLINE_S - _ROUNDING_S,
                    )

    async def test_claimed_payout_may_run_until_the_deadline(
        self,
    ) -> None:
        """Guards against a 504 before the deadline for a running payout.

        A payout that still runs under its claim is reported as "still running"
        at its deadline, and not earlier.
        """
        loop = asyncio.get_running_loop()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.raw_path != "/quick":
                await asyncio.sleep(1.5 * builders.SHORT_DEADLINE_S)
            return web.Response()

        async with relays.run_nodes_after_full_link(
            handle, running=_SHORT_DEADLINES
        ) as (
            nodes,
            client,
        ):
            started_at = loop.time()
            answer = await client.post(
                nodes[0].url + "/payouts/1",
                headers={headers.IDEMPOTENCY_KEY: "k"},
            )
            self.assertGreaterEqual(
                loop.time() - started_at, builders.SHORT_DEADLINE_S
            )
        self.assertEqual(answer.status, 504)

    async def test_answer_received_while_the_event_loop_is_blocked(
        self,
    ) -> None:
        """Guards against complete answers that are discarded as late.

        The answer arrives before the deadline, but the daemon sees it only
        afterwards.
        """

        async def answer_and_block(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            answer = web.StreamResponse()
            answer.content_length = 5
            await answer.prepare(request)
            await answer.write(b"whole")
            await answer.write_eof()
            _block_event_loop()
            return answer

        async with (
            builders.run_nodes(
                1, handler=answer_and_block, running=_SHORT_DEADLINES
            ) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.get(node.url + "/x")
            self.assertEqual(
                (answer.status, await answer.read()), (200, b"whole")
            )


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A caller that pauses while it reads a long answer of another daemon."""

    async def test_slow_reader_is_not_taken_for_a_silent_peer(self) -> None:
        """Guards against truncated answers to callers that read slowly.

        While a caller does not read, its daemon stops reading from the peer.
        It must not take that for a silent connection.
        """
        probed = asyncio.Semaphore(0)
        send_probe = probes.send_probe

        async def count_probe(*arguments: Any) -> probes.ProbeResult:
            result = await send_probe(*arguments)
            probed.release()
            return result

        async def send(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            answer.content_length = len(_ARCHIVE)
            await answer.prepare(request)
            await answer.write(_ARCHIVE)
            return answer

        with (
            mock.patch.object(watchdogs, "PROGRESS_CHECK_INTERVAL_S", 0.1),
            mock.patch.object(probes, "send_probe", count_probe),
        ):
            async with relays.run_relayed_nodes(send) as (nodes, _, _client):
                reader, writer = await _request_archive(nodes[0])
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    for _ in range(2):
                        await probed.acquire()
                    try:
                        head = await reader.readuntil(b"\r\n\r\n")
                        body = await reader.readexactly(len(_ARCHIVE))
                    finally:
                        writer.transport.abort()
        self.assertIn(b" 200 ", head)
        self.assertEqual(len(body), len(_ARCHIVE))


def _block_event_loop() -> None:
    """Blocks the event loop until the deadline of the call has passed."""
    time.sleep(builders.SHORT_DEADLINE_S)


async def _request_archive(
    node: builders.Node,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Requests an archive over a connection with a small receive buffer."""
    receiving_socket = socket.socket()
    receiving_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    receiving_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(
        receiving_socket, ("127.0.0.1", node.proxy.caller_port)
    )
    reader, writer = await asyncio.open_connection(
        sock=receiving_socket, limit=65536
    )
    writer.write(b"GET /kassa/archive HTTP/1.1\r\nHost: a\r\n\r\n")
    return reader, writer
