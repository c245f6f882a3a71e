"""Tests of pooled connections: reuse, failures, timers and uploads."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import exchange_outcomes
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import receive_buffers
from merlintrestle.requests.transport import watchdogs
from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_EMPTY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@contextlib.asynccontextmanager
async def _run_raw_backend(
    handler: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
    **fields: Any,
) -> AsyncIterator[builders.Node]:
    """Runs a daemon whose local backend server writes raw bytes."""
    plan = builders.build_plan(**fields)
    running = builders.build_snapshot({"/": plan})

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The daemon also opens connections for health checks.
        with contextlib.suppress(asyncio.IncompleteReadError):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server, builders.run_nodes(1, running=running) as (node,):
        port = server.sockets[0].getsockname()[1]
        node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
        yield node


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    """Each call on a reused connection gets its own answer."""

    async def test_repeatable_calls_share_a_connection(self) -> None:
        """Otherwise each call would wait for a new connection."""
        transports = []

        async def record(request: web.BaseRequest) -> web.StreamResponse:
            transports.append(request.transport)
            return web.Response(body=b"x")

        async with (
            builders.run_nodes(1, handler=record) as (node,),
            builders.open_client() as client,
        ):
            for _ in range(3):
                await builders.fetch(client, node.url + "/x")
                await builders.fetch(client, node.url + "/x", "POST", data=b"a")
        self.assertEqual(len(set(transports)), 1)

    async def test_unrepeatable_calls_get_new_connections(self) -> None:
        """An unrepeatable call is not sent over a pooled connection.

        The server may be closing a pooled connection, and then it would be
        unknown whether the call ran.
        """
        transports = []

        async def record(request: web.BaseRequest) -> web.StreamResponse:
            transports.append(request.transport)
            return web.Response(body=b"x")

        async with (
            builders.run_nodes(1, handler=record) as (node,),
            builders.open_client() as client,
        ):
            await builders.fetch(client, node.url + "/x")
            for key in ("1", "2"):
                await client.post(
                    node.url + "/payouts/1",
                    headers={headers.IDEMPOTENCY_KEY: key},
                )
        self.assertEqual(len(set(transports)), 3)

    async def test_connection_with_unsolicited_bytes_is_not_reused(
        self,
    ) -> None:
        """The next caller gets its own answer, not an unsolicited one.

        A server sends the start of a second answer while the connection is
        idle. If a parser kept or discarded those bytes, the next call would get
        a wrong answer.
        """
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_EMPTY)
            await stop.wait()
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            pool = pools.Pool(loop)
            connection = await pool.open(f"127.0.0.1:{port}")
            call = builders.build_call(body=b"")
            await connection.call("GET", "/", call.headers, call.body)
            pool.release(connection)
            connection.data_received(b"HTT")
            self.assertIsNone(pool.acquire(connection.address))
            stop.set()
            pool.close()

    async def test_outbound_connections_have_a_bounded_receive_buffer(
        self,
    ) -> None:
        """Guards against answers that wait in the operating system's memory."""
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        async with server:
            port = server.sockets[0].getsockname()[1]
            pool = pools.Pool(asyncio.get_running_loop())
            connection = await pool.open(f"127.0.0.1:{port}")
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            # A size that is set no longer grows. Linux doubles it, for its own
            # structures.
            self.assertEqual(
                sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF),
                2 * receive_buffers.LARGE_BYTES,
            )
            connection.abort()
            pool.close()

    async def test_idle_for_too_long(self) -> None:
        """A connection is closed before its server closes it.

        A call sent while the server closes the connection would have an unknown
        outcome.
        """
        pool = pools.Pool(asyncio.get_running_loop())
        async with builders.Node() as node:
            await node.start()
            address = f"127.0.0.1:{node.backend.port}"
            connection = await pool.open(address)
            call = builders.build_call(body=b"")
            answer = await connection.call("GET", "/", call.headers, call.body)
            await answer.content.read()
            pool.release(connection)
            connection.idle_since -= pools.MAX_IDLE_S + 1
            self.assertIsNone(pool.acquire(address))
            self.assertFalse(connection.is_connected())

    async def test_announced_keep_alive_timeout(self) -> None:
        """A connection is not used when its server is about to close it.

        The server has announced an idle timeout of 5 s, and 4.5 s have passed.
        A call sent now could cross the close, and it would be unknown whether
        it ran.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(headers={"Keep-Alive": "max=9, timeout=5"})

        pool = pools.Pool(asyncio.get_running_loop())
        async with builders.Node(handler=answer) as node:
            await node.start()
            address = f"127.0.0.1:{node.backend.port}"
            for idle_s, reused in ((3.5, True), (4.5, False)):
                connection = await pool.open(address)
                call = builders.build_call(body=b"")
                await connection.call("GET", "/", call.headers, call.body)
                pool.release(connection)
                connection.idle_since -= idle_s
                acquired = pool.acquire(address)
                self.assertEqual(acquired is connection, reused)
                if acquired is not None:
                    acquired.close()

    async def test_connection_lost_while_idle(self) -> None:
        """The caller gets its answer; the call does not count as a crash.

        An idle connection to the backend server was lost without an error at
        the daemon. The next call over it is answered by a reset. The backend
        server has not received the call and accepts it over a new connection.
        """
        served = 0

        async def reset(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal served
            await reader.readuntil(b"\r\n\r\n")
            served += 1
            writer.write(_EMPTY)
            await reader.readexactly(1)
            writer.transport.abort()

        async with (
            _run_raw_backend(reset) as node,
            builders.open_client() as client,
        ):
            retry_headers = {headers.ATTEMPT: "1"}
            with mock.patch.object(exchange_outcomes, "_MIN_IDLE_S", 0.0):
                for _ in range(2):
                    answer = await client.get(
                        node.url + "/x", headers=retry_headers
                    )
                    self.assertEqual(answer.status, 200)
            self.assertFalse(node.proxy.crashes.strikes)
        self.assertEqual(served, 2)


class BreakTest(unittest.IsolatedAsyncioTestCase):
    """Calls that end at their deadline or with their caller."""

    async def test_deadline_closes_the_connection(self) -> None:
        """The caller is answered at the deadline, and the work is cancelled.

        The backend server does not answer. If the connection stayed open, the
        backend server would continue useless work, and its late answer would
        arrive on a pooled connection.
        """
        cancelled = asyncio.Event()

        async def hang(request: web.BaseRequest) -> web.StreamResponse:
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
            return web.Response()

        plans = {"/": builders.build_plan(deadline_s=0.1)}
        running = builders.build_snapshot(plans)
        async with (
            builders.run_nodes(1, handler=hang, running=running) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            await cancelled.wait()

    async def test_deadline_on_a_reused_connection(self) -> None:
        """The second call on a connection is answered at its own deadline.

        The timer of the first call is not cancelled when that call is answered.
        It expires too early for the second call and has to be restarted.
        """

        async def answer_first(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            if request.raw_path == "/second":
                await asyncio.Event().wait()
            return web.Response()

        plans = {"/": builders.build_plan(deadline_s=0.2)}
        running = builders.build_snapshot(plans)
        async with (
            builders.run_nodes(1, handler=answer_first, running=running) as (
                node,
            ),
            builders.open_client() as client,
        ):
            first = await client.get(node.url + "/first")
            second = await client.get(node.url + "/second")
            self.assertEqual((first.status, second.status), (200, 504))

    async def test_disconnecting_caller_cancels_the_call(self) -> None:
        """The backend server does not continue work that nobody waits for."""
        started = asyncio.Event()
        cancelled = asyncio.Event()

        async def hang(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
            return web.Response()

        async with (
            builders.run_nodes(1, handler=hang) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.ensure_future(client.get(node.url + "/x"))
            await started.wait()
            call.cancel()
            await cancelled.wait()


class TimerTest(unittest.IsolatedAsyncioTestCase):
    """A connection has one timer of the event loop for all its calls."""

    def setUp(self) -> None:
        builders.shorten_probe_delays(self, wait_s=0.01)

    async def test_cleared_timer_is_not_triggered(self) -> None:
        """The deadline of a call applies until its headers arrive.

        The body of a download may take longer; it must not be aborted then.
        """
        loop = asyncio.get_running_loop()
        connection = connections.Connection(loop, "127.0.0.1:1")
        triggered = asyncio.Event()
        later = asyncio.Event()
        connection.set_timer(loop.time() + 0.01, triggered.set)
        connection.clear_timer()
        loop.call_later(0.05, later.set)
        await later.wait()
        self.assertFalse(triggered.is_set())

    async def test_deadline_while_a_slow_call_is_handled(self) -> None:
        """The caller is answered at the deadline even if a probe never ends."""
        loop = asyncio.get_running_loop()
        connection = connections.Connection(loop, "127.0.0.1:1")

        async def handle_slow_call() -> None:
            await asyncio.Event().wait()

        watchdog = watchdogs.Watchdog(
            connection, 0.0, loop.time() + 0.05, handle_slow_call
        )
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            with self.assertRaisesRegex(TimeoutError, "before the deadline"):
                await connection.read()
        watchdog.close()


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """Streamed bodies are sent while the answer is awaited."""

    async def test_answer_before_the_end_of_the_body(self) -> None:
        """The caller gets the refusal of a backend server that reads no body.

        If the whole body had to be sent before the answer is awaited, both
        sides would wait for each other until the deadline.
        """
        stop = asyncio.Event()

        async def refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
            )
            await stop.wait()

        async with (
            _run_raw_backend(refuse, deadline_s=60.0) as node,
            builders.open_client() as client,
        ):
            body = bytes(16 * 1024 * 1024)
            call = client.post(node.url + "/x", data=body)
            async with call as answer:
                self.assertEqual(answer.status, 413)
                self.assertEqual(await answer.read(), b"big")
            stop.set()

    async def test_content_length_named_in_connection(self) -> None:
        """The backend server receives one request with its whole body.

        The caller names Content-Length in "Connection", so the daemon removes
        it. Forwarded without a length, the body would be read as the next
        request on a connection shared with other callers.
        """
        received = []

        async def record(request: web.BaseRequest) -> web.StreamResponse:
            received.append(await request.read())
            return web.Response()

        hidden = b"GET /kassa/y HTTP/1.1\r\nHost: x\r\n\r\n"
        for body in (hidden, hidden + bytes(100_000)):
            async with (
                asyncio.timeout(builders.TEST_TIMEOUT_S),
                builders.run_nodes(1, handler=record) as (node,),
            ):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(
                    b"POST /kassa/x HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: content-length\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body)
                )
                writer.write(body)
                self.assertIn(b" 200 ", await reader.readline())
                writer.close()
                self.assertEqual(node.served, [("POST", "/x")])
                self.assertEqual(received.pop(), body)

    @mock.patch.object(bodies, "STALL_TIMEOUT_S", 1.0)
    async def test_incomplete_body_is_aborted(self) -> None:
        """The caller gets an error, and the server sees an incomplete body.

        A caller sends a part of a chunked body and nothing more. The connection
        to the backend server, which has received that part, must be closed.
        """
        closed = asyncio.Event()

        async def receive(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received = b""
            while b"half\r\n" not in received:
                chunk = await reader.read(65_536)
                if not chunk:
                    # A health check of the daemon.
                    raise asyncio.IncompleteReadError(received, None)
                received += chunk
            self.assertEqual(await reader.read(), b"")
            closed.set()

        async with (
            asyncio.timeout(builders.TEST_TIMEOUT_S),
            _run_raw_backend(receive, deadline_s=60.0) as node,
        ):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(
                b"POST /kassa/x HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                # More than what is read before a call is sent.
                b"186a0\r\n" + b"x" * 100_000 + b"\r\n4\r\nhalf\r\n"
            )
            line = await reader.readline()
            self.assertIn(b" 400 ", line)
            await closed.wait()
            writer.close()
