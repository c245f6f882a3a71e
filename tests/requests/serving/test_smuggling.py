"""Requests that pass for something else on their way."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.transport import bodies
from tests.requests import builders


class SmugglingTest(unittest.IsolatedAsyncioTestCase):
    """Raw requests, as no well-behaved client sends them."""

    async def exchange(
        self, node: builders.Node, target: str, *lines: bytes
    ) -> bytes:
        """Sends a POST without a body; returns the whole answer."""
        head = f"POST {target} HTTP/1.1\r\nHost: a\r\n".encode()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.proxy.caller_port
        )
        closing = (b"Content-Length: 0", b"Connection: close")
        for line in (*lines, *closing):
            head += line + b"\r\n"
        writer.write(head + b"\r\n")
        async with asyncio.timeout(builders.GUARD_S):
            answer = await reader.read()
        writer.close()
        return answer

    def assert_refused(self, answer: bytes, status: int) -> None:
        self.assertRegex(answer, rb"^HTTP/1\.[01] %d " % status)
        self.assertIn(b"Merlintrestle-Outcome: not-run", answer)

    async def test_escaped_slash_after_the_service(self) -> None:
        """The caller is refused; nothing reaches the backend server.

        "/kassa%2Flookup/payouts" decodes to the class of lookups, which may
        be repeated, while what follows the first plain slash is the payout
        that the backend server would run, without a claim.
        """
        async with builders.run_nodes(1) as (node,):
            for target in ("/kassa%2Flookup/payouts/1", "/kassa%2Fx"):
                answer = await self.exchange(node, target)
                self.assert_refused(answer, 404)
            self.assertEqual(node.served, [])

    async def test_empty_segments(self) -> None:
        """The caller is told that its payout lacks a key.

        Many servers take "//payouts" for "/payouts"; matched as it stands it
        would pass for a class that may be repeated.
        """
        async with builders.run_nodes(1) as (node,):
            for target in ("/kassa//payouts/1", "/kassa/%2Fpayouts/1"):
                answer = await self.exchange(node, target)
                self.assert_refused(answer, 400)
            self.assertEqual(node.served, [])

    async def test_key_named_as_a_header_of_the_connection(self) -> None:
        """The payout runs once.

        Its caller names the key in "Connection", so that it would be removed
        on the way. The first daemon breaks off after its backend server ran
        the payout; the caller's daemon, which knows the key, tries the next
        one, which would run it without a claim.
        """
        runs = 0

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal runs
            runs += 1
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        plans = builders.build_plans()
        plans["/payouts"] = plans["/payouts"]._replace(key_required=False)
        running = builders.build_snapshot(plans)
        async with builders.run_nodes(3, handler=pay, running=running) as nodes:
            first = nodes[0]
            first.table.upstreams["kassa"] = tuple(
                node.build_upstream() for node in nodes[1:]
            )
            await self.exchange(
                first,
                "/kassa/payouts/1",
                b"Idempotency-Key: k",
                b"Connection: idempotency-key",
            )
        self.assertEqual(runs, 1)

    async def test_key_of_odd_bytes(self) -> None:
        """The caller is refused instead of hearing "unknown".

        A byte that is not ASCII is lost between daemons: two payouts whose
        keys differ in it alone would pass for one, and the second seller
        would get the first one's answer.
        """
        async with builders.run_nodes(1) as (node,):
            for key in (b"k\xe9", b"k\xc3\xa9"):
                answer = await self.exchange(
                    node, "/kassa/payouts/1", b"Idempotency-Key: " + key
                )
                self.assert_refused(answer, 400)
            self.assertEqual(node.served, [])

    async def test_body_whose_length_is_not_passed_on(self) -> None:
        """The backend server gets one request, with its whole body.

        The caller's length is a header of the connection where it says so,
        and a body in chunks has none. Sent on without either, the body would
        be taken for the next request on the connection.
        """
        smuggled = b"GET /payouts HTTP/1.1\r\nHost: a\r\n\r\n"
        long = smuggled + bytes(bodies.MAX_HELD_BYTES)
        for target in ("/kassa/x", "/kassa/payouts/1"):
            for body in (smuggled, long):
                with self.subTest(target, length=len(body)):
                    await self.send_unusual(target, body)

    async def send_unusual(self, target: str, body: bytes) -> None:
        """Sends a body with its length hidden, and in one chunk."""
        got: list[bytes] = []

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            got.append(await request.read())
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
                async with asyncio.timeout(builders.GUARD_S):
                    answer = await reader.readuntil(b"\r\n")
                writer.close()
                self.assertEqual(answer, b"HTTP/1.1 200 OK\r\n")
        self.assertEqual([len(one) for one in got], [len(body)] * 2)
