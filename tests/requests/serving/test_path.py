"""Tests of ordinary requests through one and through two daemons."""

from __future__ import annotations

import asyncio
import io
import os
import unittest

from aiohttp import web
import yarl

from merlintrestle.requests.transport import headers
from tests.requests import builders


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Requests reach a backend server and their answers come back."""

    async def test_local_backend(self) -> None:
        async with builders.run_nodes(1) as (node,):
            async with builders.open_client() as client:
                answer = await client.post(node.url + "/x?y=1", data=b"in")
                self.assertEqual(await answer.read(), b"ok:in")
            self.assertEqual(answer.headers["X-Backend"], "yes")
            self.assertEqual(node.served, [("POST", "/x?y=1")])

    async def test_remote_backend(self) -> None:
        async with builders.run_nodes(2) as (near, far):
            near.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            upstreams = near.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                answer = await client.post(near.url + "/x", data=b"in")
                self.assertEqual(await answer.read(), b"ok:in")
            self.assertEqual(far.served, [("POST", "/x")])

    async def test_large_bodies_in_both_directions(self) -> None:
        content = os.urandom(3_000_000)

        async def echo(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            async for chunk in request.content.iter_any():
                await answer.write(chunk)
            await answer.write_eof()
            return answer

        async with (
            builders.run_nodes(1, handler=echo) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.post(
                node.url + "/x", data=io.BytesIO(content)
            )
            self.assertEqual(await answer.read(), content)

    async def test_caller_that_waits_before_it_sends_its_body(self) -> None:
        """The caller gets "100 Continue", and then its answer.

        It sends its headers with "Expect: 100-continue" and waits. Without that
        response it would wait until the daemon refuses its body as incomplete.
        """
        async with builders.run_nodes(1) as (node,):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(
                b"POST /kassa/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
            )
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                interim = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"in")
                answer = await reader.read()
            writer.close()
        self.assertEqual(interim, b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertIn(b"HTTP/1.1 200 OK", answer)
        self.assertTrue(answer.endswith(b"ok:in"))

    async def test_truncated_answer_does_not_look_complete(self) -> None:
        """The caller gets an error, never half an answer that looks complete.

        The backend server sends a part of a chunked body and is then killed.
        If the daemon ended the chunked body cleanly, half of it would look
        complete.
        """

        async def cut(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            await answer.write(b"half")
            assert request.transport is not None
            request.transport.abort()
            return answer

        async with (
            builders.run_nodes(1, handler=cut) as (node,),
            builders.open_client() as client,
        ):
            answer = await builders.fetch(client, node.url + "/x")
            self.assertIsNone(answer)

    async def test_caller_that_leaves_ends_the_work(self) -> None:
        """A disconnect reaches the backend server through two daemons.

        If the call went on without its caller, it would hold a slot in vain.
        """
        started = asyncio.Event()
        ended = asyncio.Event()

        async def wait(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()
            return web.Response()

        async with builders.run_nodes(2, handler=wait) as (near, far):
            upstreams = near.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                call = asyncio.create_task(client.get(near.url + "/x"))
                await started.wait()
                call.cancel()
                await ended.wait()
            while near.proxy.in_flight or far.proxy.in_flight:
                await asyncio.sleep(0)

    async def test_deadline_is_propagated(self) -> None:
        """Backend servers get the remaining time of the first caller."""
        remaining_ms: list[int] = []

        async def record_deadline(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            remaining_ms.append(int(request.headers[headers.DEADLINE]))
            return web.Response()

        async with builders.run_nodes(2, handler=record_deadline) as (near, _):
            upstreams = near.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                for sent_headers in ({}, {headers.DEADLINE: "700"}):
                    await client.get(near.url + "/x", headers=sent_headers)
        # The class allows 5 s.
        self.assertLessEqual(remaining_ms[0], 5000)
        self.assertGreater(remaining_ms[0], 700)
        self.assertLessEqual(remaining_ms[1], 700)

    async def test_killed_daemon_shows_no_half_answer(self) -> None:
        """An HTTP/1.0 caller gets a reset, not an answer that looks complete.

        For such a caller only the close of the connection marks the end of an
        answer without a length. The daemon is killed during the answer, and the
        operating system closes its connections.
        """
        started = asyncio.Event()

        async def send(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            await answer.write(b"half")
            started.set()
            await asyncio.Event().wait()
            return answer

        async with builders.run_nodes(1, handler=send) as (node,):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(b"GET /kassa/x HTTP/1.0\r\nHost: a\r\n\r\n")
            await started.wait()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                await reader.readuntil(b"half")
                for transport in node.list_transports():
                    # Closes without action of the daemon, like a kill.
                    transport.abort()
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
            writer.close()

    async def test_complete_answer_to_an_http_1_0_caller(self) -> None:
        """Guards against connections that are reset after a complete answer.

        The reset is only meant to mark the answer of a killed daemon.
        """
        content = os.urandom(3_000_000)

        async def send(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            await answer.write(content)
            await answer.write_eof()
            return answer

        async with builders.run_nodes(1, handler=send) as (node,):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.proxy.caller_port
            )
            writer.write(b"GET /kassa/x HTTP/1.0\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                answer = await reader.read()
            writer.close()
        self.assertTrue(answer.endswith(b"\r\n\r\n" + content))

    async def test_closed_daemon_refuses_as_not_run(self) -> None:
        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            node.holder.running = None
            answer = await client.get(node.url + "/x")
            fields = await answer.json()
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertEqual(answer.headers["Retry-After"], "1")
            self.assertIn("no floor is known", fields["reason"])
            self.assertEqual(node.served, [])

    async def test_unknown_service_and_class(self) -> None:
        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            root = node.url.removesuffix("/kassa")
            for path in ("/", "/kassa", "/none/x", "/kassa/%2e%2e/payouts"):
                answer = await client.get(yarl.URL(root + path, encoded=True))
                self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
                self.assertIn(answer.status, (400, 404))
            self.assertEqual(node.served, [])

    async def test_no_backend_server_announced(self) -> None:
        node = builders.Node()
        async with node, builders.open_client() as client:
            await node.start()
            node.table.upstreams.clear()
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")

    async def test_drain_waits_for_the_answer_in_flight(self) -> None:
        started = asyncio.Event()
        proceed = asyncio.Event()

        async def wait(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            await proceed.wait()
            return web.Response(body=b"whole")

        async with (
            builders.run_nodes(1, handler=wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.ensure_future(client.get(node.url + "/x"))
            await started.wait()
            drain = asyncio.ensure_future(node.proxy.drain(60))
            await asyncio.sleep(0)
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers[headers.OUTCOME], "not-run")
            self.assertFalse(drain.done())
            proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
            self.assertTrue(await drain)

    async def test_stop_cuts_calls_still_in_flight(self) -> None:
        """A daemon stops although a call is still in flight after the drain.

        Otherwise the platform would kill it in the end, and its leases and
        member records would be left behind.
        """
        started = asyncio.Event()

        async def hang(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            await asyncio.Event().wait()
            return web.Response()

        async with (
            builders.run_nodes(1, handler=hang) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.ensure_future(
                builders.fetch(client, node.url + "/x")
            )
            await started.wait()
            self.assertFalse(await node.proxy.drain(0))
            await node.proxy.stop()
            self.assertIsNone(await call)
