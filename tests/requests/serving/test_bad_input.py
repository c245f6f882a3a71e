"""Tests of malformed, incomplete and stalled HTTP exchanges."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.serving import proxy
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import sender_limits
from tests.requests import builders

_MALFORMED = {
    "length and chunks": (
        b"POST /kassa/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "two lengths": (
        b"POST /kassa/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        b"Content-Length: 5\r\n\r\n12345"
    ),
    "negative length": (
        b"POST /kassa/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"
    ),
    "unknown transfer encoding": (
        b"POST /kassa/x HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: xchunked\r\n\r\n"
    ),
    "space before the colon": (b"GET /kassa/x HTTP/1.1\r\nHost : a\r\n\r\n"),
    "folded header": (
        b"GET /kassa/x HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n"
    ),
    "control character in a header": (
        b"GET /kassa/x HTTP/1.1\r\nHost: a\r\nX-A: b\0c\r\n\r\n"
    ),
    "line too long": (
        b"GET /kassa/" + b"x" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "header too long": (
        b"GET /kassa/x HTTP/1.1\r\nHost: a\r\nX-A: " + b"x" * 9000 + b"\r\n\r\n"
    ),
    "too many headers": (
        b"GET /kassa/x HTTP/1.1\r\nHost: a\r\n"
        + b"".join(b"%x:\r\n" % number for number in range(2048))
        + b"\r\n"
    ),
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "whole address as target": (
        b"GET http://10.0.0.1/kassa/x HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "tunnel": b"CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: a\r\n\r\n",
    "dot segments": b"GET /kassa/a/../payouts HTTP/1.1\r\nHost: a\r\n\r\n",
    "unknown service": b"GET /nobody/x HTTP/1.1\r\nHost: a\r\n\r\n",
}


# Larger than what is read before a call is sent.
_LARGE_CHUNK = b"%x\r\n%s\r\n" % (100_000, b"x" * 100_000)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Raw bytes that are sent to the caller port or by a backend server."""

    async def send_and_receive(self, port: int, sent: bytes) -> bytes:
        """Sends bytes, and returns all received bytes.

        The sending side is closed after the JSON body of an error.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        try:
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                answer = await reader.readuntil(b"}")
                writer.write_eof()
                return answer + await reader.read()
        finally:
            writer.transport.abort()

    async def test_malformed_requests(self) -> None:
        """Guards against malformed requests that are forwarded.

        Backend servers may parse them differently from the daemon, for example
        as two requests. Each must get exactly one answer.
        """
        async with builders.run_nodes(1) as (node,):
            for name, sent in _MALFORMED.items():
                with self.subTest(name):
                    answer = await self.send_and_receive(
                        node.proxy.caller_port, sent
                    )
                    self.assertRegex(answer, rb"^HTTP/1.[01] (400|404) ")
                    self.assertIn(b"Merlintrestle-Outcome: not-run", answer)
                    self.assertEqual(answer.count(b"HTTP/1."), 1)
            self.assertEqual(node.served, [])

    async def test_incomplete_small_body(self) -> None:
        """Guards against forwarding of a payout whose body is incomplete."""
        async with builders.run_nodes(1) as (node,):
            for head in (b"Content-Length: 10", b"Transfer-Encoding: chunked"):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(
                    b"POST /kassa/payouts HTTP/1.1\r\nHost: a\r\n"
                    b"Idempotency-Key: k\r\n" + head + b"\r\n\r\n5\r\nhalf"
                )
                while not node.proxy.in_flight:
                    await asyncio.sleep(0)
                writer.close()
                while node.proxy.in_flight or node.proxy.has_claimed_calls:
                    await asyncio.sleep(0)
            self.assertEqual(node.served, [])

    async def test_malformed_chunks(self) -> None:
        """Guards against callers that get an error only near their deadline.

        The headers are valid, so the call is in flight when its body turns out
        to be malformed. The HTTP library reports that only after the call, and
        the call would wait for the remaining body until its deadline.
        """
        plans = {"/": builders.build_plan(deadline_s=600.0)}
        active_snapshot = builders.build_snapshot(plans)
        async with builders.run_nodes(1, running=active_snapshot) as (node,):
            for first_bytes in (b"", b"2\r\nab\r\n"):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(
                    b"POST /kassa/x HTTP/1.1\r\nHost: a\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n" + first_bytes
                )
                while not node.proxy.in_flight:
                    await asyncio.sleep(0)
                writer.write(b"no size\r\n")
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    answer = await reader.readuntil(b"}")
                self.assertRegex(answer, b"^HTTP/1.1 400 ")
                writer.close()

    async def test_incomplete_large_body(self) -> None:
        """Guards against half an upload that is stored as a complete one.

        The beginning of the body was forwarded before the caller disconnects or
        sends a malformed chunk. The request to the backend server must be
        aborted then, and not ended normally.
        """
        seen: asyncio.Queue[str] = asyncio.Queue()

        async def read(request: web.BaseRequest) -> web.StreamResponse:
            await request.content.readany()
            seen.put_nowait("begun")
            try:
                while not request.content.at_eof():
                    await request.content.readany()
            except (Exception, asyncio.CancelledError):
                seen.put_nowait("broken")
                raise
            seen.put_nowait("whole")
            return web.Response()

        async with (
            asyncio.timeout(builders.TEST_TIMEOUT_S),
            builders.run_nodes(1, handler=read) as (node,),
        ):
            for head, sent, malformed_bytes in (
                (b"Content-Length: 200000", b"x" * 100_000, b""),
                (b"Transfer-Encoding: chunked", _LARGE_CHUNK, b""),
                (
                    b"Merlintrestle-Deadline-Ms: 300\r\n"
                    b"Transfer-Encoding: chunked",
                    _LARGE_CHUNK,
                    b"ZZ\r\n",
                ),
            ):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(
                    b"POST /kassa/x HTTP/1.1\r\nHost: a\r\n"
                    + head
                    + b"\r\n\r\n"
                    + sent
                )
                self.assertEqual(await seen.get(), "begun")
                if malformed_bytes:
                    writer.write(malformed_bytes)
                else:
                    writer.close()
                self.assertEqual(await seen.get(), "broken")
                writer.close()

    async def test_expect_100_continue(self) -> None:
        """Guards against callers that wait for "100 Continue" in vain."""
        async with builders.run_nodes(1) as (node,):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(
                b"POST /kassa/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                interim = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"in")
                answer = await reader.readuntil(b"ok:in")
            writer.close()
        self.assertTrue(interim.startswith(b"HTTP/1.1 100 "))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "))

    async def test_stalled_request_body(self) -> None:
        """Guards against slots occupied by callers that stop sending.

        The caller is refused before its call gets a slot.
        """
        plans = {"/": builders.build_plan(deadline_s=60.0)}
        with mock.patch.object(bodies, "STALL_TIMEOUT_S", 0.02):
            async with (
                builders.run_nodes(
                    1, running=builders.build_snapshot(plans)
                ) as (node,),
                asyncio.timeout(builders.TEST_TIMEOUT_S),
            ):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(
                    b"POST /kassa/x HTTP/1.1\r\nHost: a\r\n"
                    b"Content-Length: 10\r\n\r\nhalf"
                )
                answer = await reader.readuntil(b"\r\n\r\n")
                writer.close()
            self.assertIn(b"HTTP/1.1 408", answer)
            self.assertIn(b"Merlintrestle-Outcome: not-run", answer)
            self.assertEqual(node.served, [])

    async def test_caller_that_stops_reading(self) -> None:
        """Guards against slots that are occupied by callers that stop reading.

        The caller requests a download and then reads nothing, for example as
        its host has failed. If the daemon waited for it without a limit, the
        slot would be occupied forever, and as many such callers as there are
        slots would block the backend server. It closes the connection instead.
        """

        async def send(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            while True:
                await answer.write(bytes(64 * 1024))

        with mock.patch.object(bodies, "STALL_TIMEOUT_S", 0.1):
            async with (
                builders.run_nodes(1, handler=send) as (node,),
                asyncio.timeout(builders.TEST_TIMEOUT_S),
            ):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port, limit=1024
                )
                writer.write(b"GET /kassa/archive HTTP/1.1\r\nHost: a\r\n\r\n")
                while not node.served:
                    await asyncio.sleep(0.01)
                while node.proxy.in_flight:
                    await asyncio.sleep(0.01)
                writer.close()

    async def test_headers_that_never_end(self) -> None:
        """Guards against connections whose buffers are never freed."""
        with mock.patch.object(
            proxy,
            "_DEFAULT_LIMITS",
            sender_limits.SenderLimits(header_timeout_s=0.02),
        ):
            async with builders.run_nodes(1) as (node,):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", node.proxy.caller_port
                )
                writer.write(b"GET /kassa/x HTTP/1.1\r\nHost: a\r\n")
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    # The connection is reset if the daemon has not read all of
                    # the headers.
                    with contextlib.suppress(ConnectionResetError):
                        self.assertRegex(
                            await reader.read(), b"^HTTP/1.1 408 |^$"
                        )
                writer.close()

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against pipelined requests whose answers are mixed up."""

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text=f"<{request.path}>")

        async with builders.run_nodes(1, handler=answer) as (node,):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(
                b"GET /kassa/1 HTTP/1.1\r\nHost: a\r\n\r\n"
                b"GET /kassa/2 HTTP/1.1\r\nHost: a\r\n\r\n"
                b"GET /kassa/3 HTTP/1.1\r\nHost: a\r\n"
                b"Connection: close\r\n\r\n"
            )
            received = await reader.read()
            writer.close()
        positions = [received.find(b"</%d>" % number) for number in (1, 2, 3)]
        self.assertNotIn(-1, positions)
        self.assertEqual(positions, sorted(positions))

    async def test_answers_whose_end_is_not_marked(self) -> None:
        """Guards against half an answer that looks complete.

        The backend server marks the end of its answer only by closing the
        connection, so that a truncated answer would look complete. A transfer
        encoding whose last coding is not chunked does not mark the end either.
        The caller gets the outcome "ran" instead of such an answer.
        """
        sent = b""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n" + sent + b"\r\nhalf")
            writer.close()

        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            raw_server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = raw_server.sockets[0].getsockname()[1]
            node.proxy.backend.announce("kassa", f"127.0.0.1:{port}", 12)
            for coding in (b"", b"identity", b"gzip", b"chunked, gzip"):
                if coding:
                    sent = b"Transfer-Encoding: " + coding + b"\r\n"
                with self.subTest(coding):
                    answer = await client.get(node.url + "/x")
                    self.assertEqual(answer.status, 502)
                    outcome = answer.headers["Merlintrestle-Outcome"]
                    self.assertEqual(outcome, "ran")
            raw_server.close()

    async def test_internal_headers_from_outside_are_ignored(self) -> None:
        """Guards against internal headers that are set from outside.

        A caller could choose its class of work, and a backend server could
        choose the outcome.
        """
        seen: dict[str, str] = {}

        async def record_headers(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            seen.update(request.headers)
            return web.Response(headers={"Merlintrestle-Outcome": "not-run"})

        async with (
            builders.run_nodes(1, handler=record_headers) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.get(
                node.url + "/x",
                headers={
                    "Merlintrestle-Class": "payout",
                    "Merlintrestle-Suspect": "1",
                    "Connection": "X-Gone",
                    "X-Gone": "1",
                    "X-Kept": "1",
                },
            )
        self.assertNotIn("Merlintrestle-Outcome", answer.headers)
        self.assertNotIn("Merlintrestle-Class", seen)
        self.assertNotIn("Merlintrestle-Suspect", seen)
        self.assertNotIn("X-Gone", seen)
        self.assertEqual(seen["X-Kept"], "1")
