"""Tests of the forwarding of requests through one daemon and through two."""

from __future__ import annotations

import asyncio
import io
import os
import unittest

from aiohttp import web
import yarl

from merlintrestle.requests.transport import headers
from tests.requests import builders


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Requests to kassa, the service of the backend servers in these tests.

    A call to a remote backend server is tested by removing the backend server
    of the local node, the first of the upstreams, from the table.
    """

    async def test_call_to_the_local_backend_server(self) -> None:
        """Guards against requests or answers that are changed on the way."""
        async with builders.run_nodes(1) as (node,):
            async with builders.open_client() as client:
                answer = await client.post(node.url + "/x?y=1", data=b"in")
                self.assertEqual(await answer.read(), b"ok:in")
            self.assertEqual(answer.headers["X-Backend"], "yes")
            self.assertEqual(node.served, [("POST", "/x?y=1")])

    async def test_call_to_a_remote_backend_server(self) -> None:
        """Guards against requests or answers changed between two daemons."""
        async with builders.run_nodes(2) as (local_node, remote_node):
            # No slot, and a port on which nothing listens.
            local_node.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            upstreams = local_node.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                answer = await client.post(local_node.url + "/x", data=b"in")
                self.assertEqual(await answer.read(), b"ok:in")
            self.assertEqual(remote_node.served, [("POST", "/x")])

    async def test_large_bodies_in_both_directions(self) -> None:
        """Guards against bodies that are corrupted as they are streamed."""
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

    async def test_caller_that_waits_for_100_continue(self) -> None:
        """Guards against callers that wait for "100 Continue" in vain.

        Without that response a caller that sends "Expect: 100-continue" would
        wait until the daemon refuses its body as incomplete.
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
        """Guards against half an answer that looks complete.

        The backend server sends a part of a chunked body and is then killed.
        The daemon must not send the final chunk to the caller.
        """

        async def send_half(request: web.BaseRequest) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            await answer.write(b"half")
            assert request.transport is not None
            request.transport.abort()
            return answer

        async with (
            builders.run_nodes(1, handler=send_half) as (node,),
            builders.open_client() as client,
        ):
            answer = await builders.fetch(client, node.url + "/x")
            self.assertIsNone(answer)

    async def test_disconnect_cancels_the_call_at_the_backend_server(
        self,
    ) -> None:
        """Guards against slots that are occupied by calls without a caller.

        The disconnect has to reach the backend server through two daemons.
        """
        started = asyncio.Event()
        ended = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()
            return web.Response()

        async with builders.run_nodes(2, handler=handle) as (
            local_node,
            remote_node,
        ):
            upstreams = local_node.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                call = asyncio.create_task(client.get(local_node.url + "/x"))
                await started.wait()
                call.cancel()
                await ended.wait()
            while local_node.proxy.in_flight or remote_node.proxy.in_flight:
                await asyncio.sleep(0)

    async def test_deadline_is_propagated(self) -> None:
        """Guards against work that continues after the caller's deadline.

        Backend servers get the remaining time of the call as a header.
        """
        remaining_ms: list[int] = []

        async def record_deadline(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            remaining_ms.append(int(request.headers[headers.DEADLINE]))
            return web.Response()

        async with builders.run_nodes(2, handler=record_deadline) as (
            local_node,
            _,
        ):
            upstreams = local_node.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                for sent_headers in ({}, {headers.DEADLINE: "700"}):
                    await client.get(
                        local_node.url + "/x", headers=sent_headers
                    )
        # The class of work has a deadline of 5 s.
        self.assertLessEqual(remaining_ms[0], 5000)
        self.assertGreater(remaining_ms[0], 700)
        self.assertLessEqual(remaining_ms[1], 700)

    async def test_answer_of_a_killed_daemon_does_not_look_complete(
        self,
    ) -> None:
        """Guards against half an answer that looks complete over HTTP/1.0.

        There only the close of the connection marks the end of an answer
        without a length. The daemon is killed during the answer, and the
        operating system closes its connections. They must be reset instead.
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
                    # Closes the socket without any action of the daemon, as
                    # a kill would.
                    transport.abort()
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
            writer.close()

    async def test_complete_answer_to_an_http_1_0_caller(self) -> None:
        """Guards against connections that are reset after a complete answer.

        A reset must only mark a truncated answer of a killed daemon.
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

    async def test_daemon_without_configuration_refuses_as_not_run(
        self,
    ) -> None:
        """Guards against calls served by rules that may be out of date.

        The daemon has no active configuration, as it knows no floor: the lowest
        version that it may run.
        """
        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            node.active_version.active_snapshot = None
            answer = await client.get(node.url + "/x")
            fields = await answer.json()
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertEqual(answer.headers["Retry-After"], "1")
            self.assertIn("no floor is known", fields["reason"])
            self.assertEqual(node.served, [])

    async def test_unknown_service_and_class(self) -> None:
        """Guards against forwarding of requests that match no class of work."""
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

    async def test_service_without_upstreams(self) -> None:
        """Guards against an error that does not state that nothing ran."""
        node = builders.Node()
        async with node, builders.open_client() as client:
            await node.start()
            node.table.upstreams.clear()
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")

    async def test_drain_waits_for_the_answer_in_flight(self) -> None:
        """Guards against answers that are cut off by a drain."""
        started = asyncio.Event()
        may_answer = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            started.set()
            await may_answer.wait()
            return web.Response(body=b"whole")

        async with (
            builders.run_nodes(1, handler=handle) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.ensure_future(client.get(node.url + "/x"))
            await started.wait()
            drain = asyncio.ensure_future(node.proxy.drain(60))
            await asyncio.sleep(0)
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers[headers.OUTCOME], "not-run")
            self.assertFalse(drain.done())
            may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
            self.assertTrue(await drain)

    async def test_stop_aborts_calls_still_in_flight(self) -> None:
        """Guards against a stop that waits for a call after the drain.

        The platform would kill the daemon in the end, and its leases and member
        records would not be removed.
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
