"""Tests of drains of daemons and of backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

import aiohttp
from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import downloads

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_NESTED_CALL_HEADERS = (headers.DEADLINE, headers.DEPTH, headers.ATTEMPT)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Calls in flight continue; new calls are refused as not run."""

    def setUp(self) -> None:
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.urls: list[str] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        self.started.set()
        await self.may_answer.wait()
        return web.Response(body=b"whole")

    async def handle_with_nested_call(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Waits like `handle`, then makes a nested call through its daemon."""
        if request.path == "/check":
            return web.Response(body=b"sealed")
        await self.handle(request)
        nested_headers = {
            name: request.headers[name] for name in _NESTED_CALL_HEADERS
        }
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                self.urls[0] + "/check", headers=nested_headers
            ) as answer,
        ):
            return web.Response(body=await answer.read())

    async def test_drain_waits_for_payouts_of_disconnected_callers(
        self,
    ) -> None:
        """Guards against payouts that are aborted by a drain.

        The caller has disconnected and will retry. If the payout were aborted,
        its outcome would be unknown.
        """
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(
                client.post(
                    node.url + "/payouts",
                    headers={headers.IDEMPOTENCY_KEY: "k"},
                )
            )
            await self.started.wait()
            call.cancel()
            while node.proxy.in_flight:
                await asyncio.sleep(0)
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            self.may_answer.set()
            self.assertTrue(await draining)

    async def test_nested_call_during_a_drain_is_served(self) -> None:
        """Guards against calls that fail as their nested calls are refused.

        The backend server makes a nested call through the draining daemon. If
        that were refused as new work, the call in flight would fail.
        """
        async with (
            builders.run_nodes(
                2, handler=self.handle_with_nested_call
            ) as nodes,
            builders.open_client() as client,
        ):
            self.urls.append(nodes[0].url)
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.wait()
            draining = asyncio.create_task(nodes[0].proxy.drain(60))
            await asyncio.sleep(0)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"sealed")
            self.assertTrue(await draining)
        self.assertEqual(nodes[1].served, [("GET", "/check")])

    async def test_backend_server_that_announces_its_drain(self) -> None:
        """Guards against new calls to a backend server that is stopping."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.started.wait()
            node.proxy.backend.announce(
                "kassa",
                f"127.0.0.1:{node.backend.port}",
                12,
                control_pb2.DRAINING,
            )
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers[headers.OUTCOME], "not-run")
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(node.served), 1)

    async def test_draining_daemon_refuses_new_calls(self) -> None:
        """Guards against drains that never end as new calls arrive."""
        async with (
            builders.run_nodes(2) as nodes,
            builders.open_client() as client,
        ):
            await nodes[0].proxy.drain(1)
            refused = await client.get(nodes[0].url + "/x")
            self.assertEqual(refused.headers[headers.OUTCOME], "not-run")
            self.assertEqual(refused.headers["Retry-After"], "1")
            answer = await client.get(nodes[1].url + "/x")
            self.assertEqual(answer.status, 200)

    async def test_payout_whose_body_arrives_at_the_end_is_refused(
        self,
    ) -> None:
        """Guards against payouts that are sent on just before they are cut."""
        body_sent = asyncio.Event()

        async def send_body() -> AsyncIterator[bytes]:
            yield b"amount"
            await body_sent.wait()
            yield b"=25"

        async with (
            builders.run_nodes(1) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(
                client.post(
                    node.url + "/payouts",
                    data=send_body(),
                    headers={headers.IDEMPOTENCY_KEY: "k"},
                )
            )
            while not node.proxy.in_flight:
                await asyncio.sleep(0)
            # What `drain` does first, with no time left.
            node.proxy._state.begin_drain(asyncio.get_running_loop().time())
            body_sent.set()
            answer = await call
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
        self.assertEqual(node.served, [])

    async def test_announcement_does_not_end_a_drain(self) -> None:
        """Guards against new work after a heartbeat of the backend server."""
        async with builders.run_nodes(1) as (node,):
            backend = node.proxy.backend
            await node.proxy.drain(1)
            backend.announce("kassa", backend.address, 12, control_pb2.READY)
            self.assertEqual(backend.state, control_pb2.DRAINING)

    async def test_drain_timeout(self) -> None:
        """Guards against a drain that never ends as a call is stuck."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.started.wait()
            self.assertFalse(await node.proxy.drain(0.01))
            self.may_answer.set()
            await call

    async def test_drain_flushes_answers_to_slow_callers(self) -> None:
        """Guards against downloads of slow callers that a stop truncates.

        The daemon has received the last bytes from the backend server, but has
        not yet written all of them to the socket, as the connection of the
        caller is slow. Bytes in the buffers of a process that ends are lost.
        """
        async with builders.run_nodes(1) as (node,):
            download = downloads.SlowDownload(node)
            node.use_handler(download.send)
            reader, writer = await download.request()
            await download.wait_until_held_back()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            reading = asyncio.create_task(reader.read())
            self.assertTrue(await draining)
            for transport in node.list_transports():
                # Drops the buffered bytes, as the end of the process would.
                transport.abort()
            received = await reading
            writer.close()
        # The download consists of zero bytes, which occur nowhere else.
        self.assertEqual(received.count(0), download.length)
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))

    async def test_drain_waits_for_nested_calls_of_ended_payouts(self) -> None:
        """Guards against nested calls that are cut off after their payout.

        The caller of the payout has disconnected, and the backend server ends
        the payout before its nested call through the same daemon has ended.
        """

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/check":
                return await self.handle(request)
            nested_headers = {
                name: request.headers[name] for name in _NESTED_CALL_HEADERS
            }
            payout_started.set()
            await payout_may_end.wait()
            get = client.get(self.urls[0] + "/check", headers=nested_headers)
            nested.append(asyncio.ensure_future(get))
            await self.started.wait()
            return web.Response()

        payout_started, payout_may_end = asyncio.Event(), asyncio.Event()
        nested: list[asyncio.Future[aiohttp.ClientResponse]] = []
        async with (
            builders.run_nodes(2, handler=pay) as (node, _),
            builders.open_client() as client,
        ):
            self.urls.append(node.url)
            claimed_calls = node.proxy._local_runner.at_most_once.tasks
            call = asyncio.create_task(
                client.post(
                    node.url + "/payouts",
                    headers={headers.IDEMPOTENCY_KEY: "k"},
                )
            )
            await payout_started.wait()
            call.cancel()
            while node.proxy.in_flight:
                await asyncio.sleep(0)
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            payout_may_end.set()
            await self.started.wait()
            while claimed_calls:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            self.may_answer.set()
            answer = await nested[0]
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)

    async def test_connections_are_closed_after_their_answers(self) -> None:
        """Guards against requests that are sent just before the daemon stops.

        If a connection stayed open after its answer, it would be closed at the
        end of the drain, possibly just after the caller has sent a payout over
        it, the outcome of which would be unknown.
        """
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.started.wait()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers["Connection"], "close")
            self.may_answer.set()
            answer = await call
            self.assertEqual(answer.headers["Connection"], "close")
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)
