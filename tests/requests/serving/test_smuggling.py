"""Tests of request smuggling, by which requests evade the rules of a daemon."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.transport import bodies
from tests.requests import builders


class SmugglingTest(unittest.IsolatedAsyncioTestCase):
    """Raw requests that only faulty or malicious clients send."""

    async def exchange(
        self, node: builders.Node, target: str, *lines: bytes
    ) -> bytes:
        """Sends a POST request without a body; returns the complete answer."""
        head = f"POST {target} HTTP/1.1\r\nHost: a\r\n".encode()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.proxy.caller_port
        )
        last_lines = (b"Content-Length: 0", b"Connection: close")
        for line in (*lines, *last_lines):
            head += line + b"\r\n"
        writer.write(head + b"\r\n")
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            answer = await reader.read()
        writer.close()
        return answer

    def assert_refused(self, answer: bytes, status: int) -> None:
        self.assertRegex(answer, rb"^HTTP/1\.[01] %d " % status)
        self.assertIn(b"Merlintrestle-Outcome: not-run", answer)

    async def test_escaped_slash_after_the_service(self) -> None:
        """The caller is refused; nothing reaches the backend server.

        "/kassa%2Flookup/payouts" decodes to a path of the class of lookups,
        which may be repeated. But the path after the first unescaped slash is
        that of a payout, which the backend server would run without a claim.
        """
        async with builders.run_nodes(1) as (node,):
            for target in ("/kassa%2Flookup/payouts/1", "/kassa%2Fx"):
                answer = await self.exchange(node, target)
                self.assert_refused(answer, 404)
            self.assertEqual(node.served, [])

    async def test_empty_segments(self) -> None:
        """The caller is refused, as its payout lacks an idempotency key.

        Many servers treat "//payouts" as "/payouts". If it were matched
        literally, it would get a class that may be repeated.
        """
        async with builders.run_nodes(1) as (node,):
            for target in ("/kassa//payouts/1", "/kassa/%2Fpayouts/1"):
                answer = await self.exchange(node, target)
                self.assert_refused(answer, 400)
            self.assertEqual(node.served, [])

    async def test_idempotency_key_named_in_the_connection_header(self) -> None:
        """Guards against a payout that runs twice.

        Its caller names the idempotency key in "Connection", so that the header
        could be removed between daemons. The first upstream breaks the
        connection after its backend server has run the payout. The caller's
        daemon, which knows the key, retries at the next upstream, which would
        run the payout without a claim.
        """
        run_count = 0

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal run_count
            run_count += 1
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        plans = builders.build_plans()
        plans["/payouts"] = plans["/payouts"]._replace(key_required=False)
        running = builders.build_snapshot(plans)
        async with builders.run_nodes(3, handler=pay, running=running) as nodes:
            caller_node = nodes[0]
            caller_node.table.upstreams["kassa"] = tuple(
                node.build_upstream() for node in nodes[1:]
            )
            await self.exchange(
                caller_node,
                "/kassa/payouts/1",
                b"Idempotency-Key: k",
                b"Connection: idempotency-key",
            )
        self.assertEqual(run_count, 1)

    async def test_idempotency_key_that_is_not_ascii(self) -> None:
        """Guards against two payouts that are treated as the same payout.

        Bytes that are not ASCII are lost between daemons. If keys with such
        bytes were accepted, two payouts whose keys differ only in them would be
        treated as the same, and the caller of the second would get the answer
        to the first. The caller is refused as not run instead of as unknown.
        """
        async with builders.run_nodes(1) as (node,):
            for key in (b"k\xe9", b"k\xc3\xa9"):
                answer = await self.exchange(
                    node, "/kassa/payouts/1", b"Idempotency-Key: " + key
                )
                self.assert_refused(answer, 400)
            self.assertEqual(node.served, [])

    async def test_body_whose_length_is_not_forwarded(self) -> None:
        """Guards against a body that is parsed as another request.

        A caller can name Content-Length in "Connection", so that it is not
        forwarded, and a chunked request has no such header. If the request were
        forwarded with neither header, the backend server would parse its body
        as the next request on the connection.
        """
        smuggled = b"GET /payouts HTTP/1.1\r\nHost: a\r\n\r\n"
        streamed_body = smuggled + bytes(bodies.MAX_BUFFERED_BYTES)
        for target in ("/kassa/x", "/kassa/payouts/1"):
            for body in (smuggled, streamed_body):
                with self.subTest(target, length=len(body)):
                    await self.check_body_framing(target, body)

    async def check_body_framing(self, target: str, body: bytes) -> None:
        """Checks that the backend server gets a body of a request completely.

        The body is sent with Content-Length named in "Connection", and then as
        one chunk.
        """
        bodies_received: list[bytes] = []

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            bodies_received.append(await request.read())
            return web.Response()

        length = b"%d" % len(body)
        hidden = (b"Content-Length: " + length, b"Connection: content-length")
        chunked = (b"Transfer-Encoding: chunked",)
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        async with builders.run_nodes(2, handler=serve) as nodes:
            nodes[0].proxy.backend.slots = 0
            for key, lines, sent in (
                (b"1", hidden, body),
                (b"2", chunked, chunk),
            ):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", nodes[0].proxy.caller_port
                )
                head = f"POST {target} HTTP/1.1\r\nHost: a\r\n".encode()
                for line in (*lines, b"Idempotency-Key: " + key):
                    head += line + b"\r\n"
                writer.write(head + b"\r\n" + sent)
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    answer = await reader.readuntil(b"\r\n")
                writer.close()
                self.assertEqual(answer, b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(
            [len(received) for received in bodies_received], [len(body)] * 2
        )
