"""Pooled connections: what is reused, and what must never be."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import results
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
    """Runs a daemon beside a backend server that writes its own bytes."""
    plan = builders.build_plan(**fields)
    running = builders.build_snapshot({"/": plan})

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The daemon also opens connections to see whether it is alive.
        with contextlib.suppress(asyncio.IncompleteReadError):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server, builders.run_nodes(1, running=running) as (node,):
        port = server.sockets[0].getsockname()[1]
        node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
        yield node


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    """A connection serves one call after another, each with its own answer."""

    async def test_repeatable_calls_share_a_connection(self) -> None:
        seen = []

        async def note(request: web.BaseRequest) -> web.StreamResponse:
            seen.append(request.transport)
            return web.Response(body=b"x")

        async with (
            builders.run_nodes(1, handler=note) as (node,),
            builders.open_client() as client,
        ):
            for _ in range(3):
                await builders.fetch(client, node.url + "/x")
                await builders.fetch(client, node.url + "/x", "POST", data=b"a")
        self.assertEqual(len(set(seen)), 1)

    async def test_work_that_runs_once_gets_its_own(self) -> None:
        seen = []

        async def note(request: web.BaseRequest) -> web.StreamResponse:
            seen.append(request.transport)
            return web.Response(body=b"x")

        async with (
            builders.run_nodes(1, handler=note) as (node,),
            builders.open_client() as client,
        ):
            await builders.fetch(client, node.url + "/x")
            for key in ("1", "2"):
                await client.post(
                    node.url + "/payouts/1",
                    headers={headers.IDEMPOTENCY_KEY: key},
                )
        self.assertEqual(len(set(seen)), 3)

    async def test_bytes_between_calls_are_no_answer(self) -> None:
        """The next caller gets its own answer, not one nobody asked for.

        A server sends the beginning of a second answer while the connection
        is idle. Kept by a parser, or thrown away by it, those bytes would put
        the next call's answer out of step.
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
            pool.give_back(connection)
            connection.data_received(b"HTT")
            self.assertIsNone(pool.take(connection.address))
            stop.set()
            pool.close()

    async def test_idle_for_too_long(self) -> None:
        pool = pools.Pool(asyncio.get_running_loop())
        async with builders.Node() as node:
            await node.start()
            address = f"127.0.0.1:{node.backend.port}"
            connection = await pool.open(address)
            call = builders.build_call(body=b"")
            answer = await connection.call("GET", "/", call.headers, call.body)
            await answer.content.read()
            pool.give_back(connection)
            connection.idle_since -= pools.KEEPALIVE_S + 1
            self.assertIsNone(pool.take(address))
            self.assertFalse(connection.is_connected())

    async def test_what_the_other_side_says_of_idle_connections(self) -> None:
        """A connection is not used when its server is about to close it.

        The server said that it keeps the connection for 5 s, and 4.5 s have
        gone by. A call sent now would cross the close, and nobody could tell
        whether it ran.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(headers={"Keep-Alive": "max=9, timeout=5"})

        pool = pools.Pool(asyncio.get_running_loop())
        async with builders.Node(handler=answer) as node:
            await node.start()
            address = f"127.0.0.1:{node.backend.port}"
            for idle_s, kept in ((3.5, True), (4.5, False)):
                connection = await pool.open(address)
                call = builders.build_call(body=b"")
                await connection.call("GET", "/", call.headers, call.body)
                pool.give_back(connection)
                connection.idle_since -= idle_s
                taken = pool.take(address)
                self.assertEqual(taken is connection, kept)
                if taken is not None:
                    taken.close()

    async def test_connection_that_was_forgotten_while_idle(self) -> None:
        """The caller gets its answer; nothing is held for crashed.

        Something between daemon and backend server has forgotten an idle
        connection without a word. What is sent over it next is answered by a
        reset; the backend server has not seen it and takes it over a new one.
        """
        served = 0

        async def forget(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal served
            await reader.readuntil(b"\r\n\r\n")
            served += 1
            writer.write(_EMPTY)
            await reader.readexactly(1)
            writer.transport.abort()

        async with (
            _run_raw_backend(forget) as node,
            builders.open_client() as client,
        ):
            retry = {headers.ATTEMPT: "1"}
            with mock.patch.object(results, "_IDLE_S", 0.0):
                for _ in range(2):
                    answer = await client.get(node.url + "/x", headers=retry)
                    self.assertEqual(answer.status, 200)
            self.assertFalse(node.proxy.crashes.strikes)
        self.assertEqual(served, 2)


class BreakTest(unittest.IsolatedAsyncioTestCase):
    """Connections that break or wait in the midst of a call."""

    async def test_deadline_closes_the_connection(self) -> None:
        """The caller has its answer at the deadline, and the work is cancelled.

        The backend server does not answer. Without the close it would go on
        working for nobody, and its late answer would wait in the pool.
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

    async def test_deadline_on_a_connection_in_use_again(self) -> None:
        """The second call on a connection has its answer at its own deadline.

        The timer of the first call is not cancelled when that is answered. It
        rings too early for the second one and has to be set again.
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

    async def test_caller_that_leaves_cancels_the_call(self) -> None:
        begun = asyncio.Event()
        cancelled = asyncio.Event()

        async def hang(request: web.BaseRequest) -> web.StreamResponse:
            begun.set()
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
            await begun.wait()
            call.cancel()
            await cancelled.wait()


class AlarmTest(unittest.IsolatedAsyncioTestCase):
    """The one timer of a connection, which outlives its calls."""

    def setUp(self) -> None:
        builders.hasten_doubt(self, wait_s=0.01)

    async def test_cleared_alarm_stays_silent(self) -> None:
        """A download is not cut at the deadline that its headers have kept."""
        loop = asyncio.get_running_loop()
        connection = connections.Connection(loop, "127.0.0.1:1")
        rung = asyncio.Event()
        later = asyncio.Event()
        connection.set_alarm(loop.time() + 0.01, rung.set)
        connection.clear_alarm()
        loop.call_later(0.05, later.set)
        await later.wait()
        self.assertFalse(rung.is_set())

    async def test_deadline_while_a_peer_is_asked(self) -> None:
        """The caller has its answer at the deadline, also if nobody knows."""
        loop = asyncio.get_running_loop()
        connection = connections.Connection(loop, "127.0.0.1:1")

        async def look() -> None:
            await asyncio.Event().wait()

        watch = watchdogs.Watchdog(connection, 0.0, loop.time() + 0.05, look)
        async with asyncio.timeout(builders.GUARD_S):
            with self.assertRaisesRegex(TimeoutError, "before the deadline"):
                await connection.read()
        watch.close()


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """Long bodies are sent while the answer is awaited."""

    async def test_answer_before_the_end_of_the_body(self) -> None:
        """The caller gets the refusal of a backend server that reads no body.

        Were the body sent before the answer is awaited, both sides would wait
        for each other until the deadline.
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

    async def test_length_named_as_a_header_of_the_connection(self) -> None:
        """The backend server sees one request with its whole body.

        The caller names Content-Length in "Connection", so that it is removed
        on the way. Sent on without a length, the body would pass for the next
        request on a connection that other callers use.
        """
        bodies = []

        async def note(request: web.BaseRequest) -> web.StreamResponse:
            bodies.append(await request.read())
            return web.Response()

        hidden = b"GET /kassa/y HTTP/1.1\r\nHost: x\r\n\r\n"
        for body in (hidden, hidden + bytes(100_000)):
            async with (
                asyncio.timeout(builders.GUARD_S),
                builders.run_nodes(1, handler=note) as (node,),
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
                self.assertEqual(bodies.pop(), body)

    @mock.patch.object(bodies, "STALL_TIMEOUT_S", 0.05)
    async def test_body_that_stops_is_cut_off(self) -> None:
        """The caller is told so, and no server takes the half for whole.

        A caller sends a part of a chunked body and nothing more. The backend
        server, which has that part, must see its connection broken.
        """
        cut = asyncio.Event()

        async def take(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"half\r\n")
            self.assertEqual(await reader.read(), b"")
            cut.set()

        async with (
            asyncio.timeout(builders.GUARD_S),
            _run_raw_backend(take, deadline_s=60.0) as node,
        ):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(
                b"POST /kassa/x HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
            )
            line = await reader.readline()
            self.assertIn(b" 400 ", line)
            await cut.wait()
            writer.close()
