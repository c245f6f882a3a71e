"""Tests that compare session logs with golden files in tests/roots/requests."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import sessions

_KEY_HEADERS = {headers.IDEMPOTENCY_KEY: "ticket-7"}
_HALF_ARCHIVE = b"x" * 100_000


class SessionsTest(unittest.IsolatedAsyncioTestCase):
    """Each test logs what callers and backend servers see in a session."""

    def setUp(self) -> None:
        self.session = sessions.Session()
        self.started = asyncio.Event()
        self.proceed = asyncio.Event()

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Receives a payout, and answers once the test allows it."""
        self.session.record_request(request)
        self.started.set()
        await self.proceed.wait()
        return web.Response(text="booked, ticket 7")

    async def send_archive(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends half an archive, and the rest once the test allows it."""
        self.session.record_request(request)
        answer = web.StreamResponse()
        answer.content_length = 2 * len(_HALF_ARCHIVE)
        await answer.prepare(request)
        await answer.write(_HALF_ARCHIVE)
        self.started.set()
        await self.proceed.wait()
        await answer.write(_HALF_ARCHIVE)
        return answer

    async def crash_on_poison(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Crashes on "/poison" and answers all other requests."""
        self.session.record_request(request)
        if request.path == "/poison":
            number = self.session.find_backend(request)
            self.session.add_line(f"backend server {number} crashes")
            self.session.nodes[number - 1].crash()
        return web.Response(text="well")

    async def test_payout_whose_answer_is_lost(self) -> None:
        """Guards against a payout that runs again as its answer was lost.

        The caller gets the answer of the only run when it retries, at first
        during the run. At the last retry the daemon that ran it is stopped.
        """
        session = self.session
        async with (
            builders.run_nodes(2, True, handler=self.pay) as session.nodes,
            builders.open_client() as client,
        ):
            first_call = asyncio.create_task(
                session.call(
                    client, 1, "POST", "/payouts", headers=_KEY_HEADERS
                )
            )
            await self.started.wait()
            first_call.cancel()
            session.add_line("caller loses its connection")
            retry = asyncio.create_task(
                session.call(
                    client, 2, "POST", "/payouts", headers=_KEY_HEADERS
                )
            )
            await asyncio.sleep(0)
            session.add_line("backend server 1 answers")
            self.proceed.set()
            await retry
            await session.nodes[0].control.stop(0)
            session.add_line("daemon 1 dies")
            await session.call(
                client, 2, "POST", "/payouts", headers=_KEY_HEADERS
            )
        session.compare(self, "payout")

    async def test_drain_during_a_download(self) -> None:
        """Guards against downloads that are truncated by a drain.

        New work is refused during the drain without delay.
        """
        session = self.session
        async with (
            builders.run_nodes(2, handler=self.send_archive) as session.nodes,
            builders.open_client() as client,
        ):
            first_node, second_node = session.nodes
            first_node.proxy.backend.slots = 0
            session.add_line("daemon 1 sends all work to daemon 2")
            path = "/archive/7"
            async with client.get(first_node.url + path) as answer:
                await self.started.wait()
                session.add_line("caller has the beginning of the archive")
                draining = asyncio.create_task(second_node.proxy.drain(60))
                await asyncio.sleep(0)
                session.add_line("daemon 2 drains")
                await session.call(client, 2, "GET", path)
                await session.call(client, 1, "GET", path)
                self.assertFalse(draining.done())
                self.proceed.set()
                body = await answer.read()
            session.add_line(f"caller has {len(body)} bytes of the archive")
            self.assertTrue(await draining)
            session.add_line("daemon 2 has nothing in flight")
        session.compare(self, "drain")

    async def test_crash_causing_request(self) -> None:
        """Guards against a request that crashes all backend servers.

        It crashes two of four; the other two continue to serve requests.
        """
        session = self.session
        async with (
            builders.run_nodes(
                4, handler=self.crash_on_poison
            ) as session.nodes,
            builders.open_client() as client,
        ):
            # Each daemon calls its local backend server, then the next one.
            for index, node in enumerate(session.nodes):
                next_node = session.nodes[(index + 1) % 4]
                node.table.upstreams["kassa"] = (
                    node.build_upstream(),
                    next_node.build_upstream(),
                )
            await session.call(client, 1, "GET", "/poison")
            for number in (1, 2, 3, 4):
                await session.call(client, number, "GET", "/poison")
            for number in (3, 4):
                await session.call(client, number, "GET", "/other")
        session.compare(self, "crash")
