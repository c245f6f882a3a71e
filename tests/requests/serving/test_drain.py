"""Tests of planned stops of daemons and of backend servers."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from tests.requests import builders

_NESTED_CALL_HEADERS = (headers.DEADLINE, headers.DEPTH, headers.ATTEMPT)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Calls in flight continue; new ones are refused as not run."""

    def setUp(self) -> None:
        self.started = asyncio.Event()
        self.proceed = asyncio.Event()
        self.urls: list[str] = []

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        self.started.set()
        await self.proceed.wait()
        return web.Response(body=b"whole")

    async def nest(self, request: web.BaseRequest) -> web.StreamResponse:
        """Waits, and then makes a nested call through its daemon."""
        if request.path == "/check":
            return web.Response(body=b"sealed")
        await self.wait(request)
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

    async def test_payout_whose_caller_left(self) -> None:
        """The daemon waits for a payout although its caller has disconnected.

        The caller will retry; a payout that is cut short would be "unknown".
        """
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
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
            self.proceed.set()
            self.assertTrue(await draining)

    async def test_call_of_a_request_in_flight(self) -> None:
        """The caller gets its complete answer although the daemon drains.

        The backend server makes a nested call for it through the draining
        daemon. If that were refused as new work, the call in flight would fail.
        """
        async with (
            builders.run_nodes(2, handler=self.nest) as nodes,
            builders.open_client() as client,
        ):
            self.urls.append(nodes[0].url)
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.wait()
            draining = asyncio.create_task(nodes[0].proxy.drain(60))
            await asyncio.sleep(0)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"sealed")
            self.assertTrue(await draining)
        self.assertEqual(nodes[1].served, [("GET", "/check")])

    async def test_backend_server_that_leaves(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
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
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(node.served), 1)

    async def test_draining_daemon_takes_no_work_for_others(self) -> None:
        """Guards against drains that never end while callers keep coming."""
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

    async def test_announcement_does_not_end_the_drain(self) -> None:
        async with builders.run_nodes(1) as (node,):
            backend = node.proxy.backend
            await node.proxy.drain(1)
            backend.announce("kassa", backend.address, 12, control_pb2.READY)
            self.assertEqual(backend.state, control_pb2.DRAINING)

    async def test_timeout_of_the_drain(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.started.wait()
            self.assertFalse(await node.proxy.drain(0.01))
            self.proceed.set()
            await call

    async def test_caller_that_reads_slowly(self) -> None:
        """A slow caller gets its whole bundle although the daemon stops.

        The daemon has received the last bytes from the backend server, but has
        not yet passed all of them to the operating system, as the connection of
        the caller is slow. Bytes that a process still holds when it ends are
        lost, and the bundle would be truncated.
        """
        async with builders.run_nodes(1) as (node,):
            bundle = builders.SlowDownload(node)
            node.use_handler(bundle.send)
            reader, writer = await bundle.request()
            await bundle.wait_until_held_back()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            reading = asyncio.create_task(reader.read())
            self.assertTrue(await draining)
            for transport in node.list_transports():
                # Like the end of the process.
                transport.abort()
            received = await reading
            writer.close()
        # The bundle consists of zero bytes; nothing else that is sent does.
        self.assertEqual(received.count(0), bundle.length)
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))

    async def test_nested_call_of_a_payout_without_caller(self) -> None:
        """A nested call gets its complete answer although its payout has ended.

        The caller of the payout has disconnected, and the backend server ends
        the payout before the nested call, which uses the same daemon.
        """

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/check":
                return await self.wait(request)
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
            claims = node.proxy._local_runner.at_most_once.tasks
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
            while claims:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            self.proceed.set()
            answer = await nested[0]
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)

    async def test_connections_are_closed_after_their_answers(self) -> None:
        """Callers send their next request to a daemon that is not stopping.

        The daemon drains while a caller waits on a kept connection. If the
        connection stayed open after the answer, it would be cut at the end of
        the drain, possibly just after the caller has sent a payout over it,
        whose outcome would be unknown.
        """
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.started.wait()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers["Connection"], "close")
            self.proceed.set()
            answer = await call
            self.assertEqual(answer.headers["Connection"], "close")
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)
