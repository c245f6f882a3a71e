"""Planned stops of daemons and of backend servers."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from tests.requests import builders

_CARRIED = (headers.DEADLINE, headers.DEPTH, headers.ATTEMPT)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """What is in flight goes on; what is new is refused as not run."""

    def setUp(self) -> None:
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()
        self.urls: list[str] = []

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers when the test lets it."""
        self.begun.set()
        await self.go_on.wait()
        return web.Response(body=b"whole")

    async def nest(self, request: web.BaseRequest) -> web.StreamResponse:
        """Waits, and then makes a call of its own through its daemon."""
        if request.path == "/check":
            return web.Response(body=b"sealed")
        await self.wait(request)
        carried = {name: request.headers[name] for name in _CARRIED}
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.urls[0] + "/check", headers=carried) as answer,
        ):
            return web.Response(body=await answer.read())

    async def test_payout_whose_caller_left(self) -> None:
        """The daemon waits for a payout though nobody waits for its answer.

        Its caller will come again; ended now, the payout would be "unknown".
        """
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(
                client.post(node.url + "/payouts", headers={headers.KEY: "k"})
            )
            await self.begun.wait()
            call.cancel()
            while node.proxy.in_flight:
                await asyncio.sleep(0)
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            self.go_on.set()
            self.assertTrue(await draining)

    async def test_call_of_a_request_in_flight(self) -> None:
        """The caller gets its whole answer although the daemon drains.

        Its backend server makes a call of its own for it, through the daemon
        that drains. Refused as new work, it would fail what is in flight.
        """
        async with (
            builders.run_nodes(2, handler=self.nest) as nodes,
            builders.open_client() as client,
        ):
            self.urls.append(nodes[0].url)
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.begun.wait()
            draining = asyncio.create_task(nodes[0].proxy.drain(60))
            await asyncio.sleep(0)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"sealed")
            self.assertTrue(await draining)
        self.assertEqual(nodes[1].served, [("GET", "/check")])

    async def test_backend_server_that_leaves(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.begun.wait()
            node.proxy.backend.announce(
                "kassa",
                f"127.0.0.1:{node.backend.port}",
                12,
                control_pb2.DRAINING,
            )
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers[headers.OUTCOME], "not-run")
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(node.served), 1)

    async def test_draining_daemon_takes_no_work_for_others(self) -> None:
        """Its callers would keep it from ever coming to an end."""
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
            own = node.proxy.backend
            await node.proxy.drain(1)
            own.announce("kassa", own.address, 12, control_pb2.READY)
            self.assertEqual(own.state, control_pb2.DRAINING)

    async def test_limit_of_the_drain(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.begun.wait()
            self.assertFalse(await node.proxy.drain(0.01))
            self.go_on.set()
            await call

    async def test_caller_that_reads_slowly(self) -> None:
        """The clerk gets the whole bundle though the daemon ends meanwhile.

        The daemon has the last bytes from the backend server, but not all of
        them have gone to the operating system as the clerk's line is slow.
        What a process still holds when it ends is lost, and the bundle cut.
        """
        async with builders.run_nodes(1) as (node,):
            bundle = builders.Bundle(node)
            node.use_handler(bundle.send)
            reader, writer = await bundle.ask()
            await bundle.wait_until_held_back()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            reading = asyncio.create_task(reader.read())
            self.assertTrue(await draining)
            for transport in node.list_transports():
                # As the end of the process does.
                transport.abort()
            got = await reading
            writer.close()
        # Its pieces are zeros, and nothing else that is sent is.
        self.assertEqual(got.count(0), bundle.length)
        self.assertTrue(got.endswith(b"\r\n0\r\n\r\n"))

    async def test_call_that_a_payout_without_caller_makes(self) -> None:
        """A nested call gets its whole answer though its payout has ended.

        The caller of the payout has left, and the backend server ends it
        before a call of its own that runs through the same daemon.
        """

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/check":
                return await self.wait(request)
            carried = {name: request.headers[name] for name in _CARRIED}
            paying.set()
            await go_on_paying.wait()
            get = client.get(self.urls[0] + "/check", headers=carried)
            nested.append(asyncio.ensure_future(get))
            await self.begun.wait()
            return web.Response()

        paying, go_on_paying = asyncio.Event(), asyncio.Event()
        nested: list[asyncio.Future[aiohttp.ClientResponse]] = []
        async with (
            builders.run_nodes(2, handler=pay) as (node, _),
            builders.open_client() as client,
        ):
            self.urls.append(node.url)
            claims = node.proxy._local_runner.at_most_once.tasks
            call = asyncio.create_task(
                client.post(node.url + "/payouts", headers={headers.KEY: "k"})
            )
            await paying.wait()
            call.cancel()
            while node.proxy.in_flight:
                await asyncio.sleep(0)
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            go_on_paying.set()
            await self.begun.wait()
            while claims:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            self.go_on.set()
            answer = await nested[0]
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)

    async def test_connections_are_not_used_on(self) -> None:
        """Callers send their next request to a daemon that does not stop.

        The daemon drains while a caller waits on a kept connection. Left open
        after the answer, it would be cut at the end of the drain, maybe just
        as the caller has sent a payout over it; its fate would be unknown.
        """
        async with (
            builders.run_nodes(1, handler=self.wait) as (node,),
            builders.open_client() as client,
        ):
            call = asyncio.create_task(client.get(node.url + "/x"))
            await self.begun.wait()
            draining = asyncio.create_task(node.proxy.drain(60))
            await asyncio.sleep(0)
            refused = await client.get(node.url + "/x")
            self.assertEqual(refused.headers["Connection"], "close")
            self.go_on.set()
            answer = await call
            self.assertEqual(answer.headers["Connection"], "close")
            self.assertEqual(await answer.read(), b"whole")
            self.assertTrue(await draining)
