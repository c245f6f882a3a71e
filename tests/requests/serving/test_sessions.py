"""Golden files of whole sessions (tests/roots/requests)."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import sessions

_KEY = {headers.KEY: "ticket-7"}
_PIECE = b"x" * 100_000


class SessionsTest(unittest.IsolatedAsyncioTestCase):
    """Each test plays a session and compares it with its file."""

    def setUp(self) -> None:
        self.session = sessions.Session()
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Books a payout and answers when the test lets it."""
        self.session.see(request)
        self.begun.set()
        await self.go_on.wait()
        return web.Response(text="booked, ticket 7")

    async def send_archive(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends half an archive, and the rest when the test lets it."""
        self.session.see(request)
        answer = web.StreamResponse()
        answer.content_length = 2 * len(_PIECE)
        await answer.prepare(request)
        await answer.write(_PIECE)
        self.begun.set()
        await self.go_on.wait()
        await answer.write(_PIECE)
        return answer

    async def die(self, request: web.BaseRequest) -> web.StreamResponse:
        """Dies of "/poison" and answers the rest."""
        self.session.see(request)
        if request.path == "/poison":
            number = self.session.find(request)
            self.session.say(f"backend server {number} crashes")
            self.session.nodes[number - 1].crash()
        return web.Response(text="well")

    async def test_payout_whose_answer_is_lost(self) -> None:
        """The caller gets the answer of the only run when it sends again."""
        session = self.session
        async with (
            builders.run_nodes(2, True, handler=self.pay) as session.nodes,
            builders.open_client() as client,
        ):
            lost = asyncio.create_task(
                session.call(client, 1, "POST", "/payouts", headers=_KEY)
            )
            await self.begun.wait()
            lost.cancel()
            session.say("caller loses its connection")
            again = asyncio.create_task(
                session.call(client, 2, "POST", "/payouts", headers=_KEY)
            )
            await asyncio.sleep(0)
            session.say("backend server 1 answers")
            self.go_on.set()
            await again
            await session.nodes[0].control.stop(0)
            session.say("daemon 1 dies")
            await session.call(client, 2, "POST", "/payouts", headers=_KEY)
        session.compare(self, "payout")

    async def test_drain_during_a_download(self) -> None:
        """The download is whole; new work is refused at once meanwhile."""
        session = self.session
        async with (
            builders.run_nodes(2, handler=self.send_archive) as session.nodes,
            builders.open_client() as client,
        ):
            first, second = session.nodes
            first.proxy.backend.slots = 0
            session.say("daemon 1 sends all work to daemon 2")
            path = "/archive/7"
            async with client.get(first.url + path) as answer:
                await self.begun.wait()
                session.say("caller has the beginning of the archive")
                draining = asyncio.create_task(second.proxy.drain(60))
                await asyncio.sleep(0)
                session.say("daemon 2 drains")
                await session.call(client, 2, "GET", path)
                await session.call(client, 1, "GET", path)
                self.assertFalse(draining.done())
                self.go_on.set()
                body = await answer.read()
            session.say(f"caller has {len(body)} bytes of the archive")
            self.assertTrue(await draining)
            session.say("daemon 2 has nothing in flight")
        session.compare(self, "drain")

    async def test_crash_causing_request(self) -> None:
        """Two of four backend servers die; the other two go on serving."""
        session = self.session
        async with (
            builders.run_nodes(4, handler=self.die) as session.nodes,
            builders.open_client() as client,
        ):
            # Each daemon tries its own backend server and then the next one.
            for place, node in enumerate(session.nodes):
                after = session.nodes[(place + 1) % 4]
                node.table.upstreams["kassa"] = (
                    node.build_upstream(),
                    after.build_upstream(),
                )
            await session.call(client, 1, "GET", "/poison")
            for number in (1, 2, 3, 4):
                await session.call(client, number, "GET", "/poison")
            for number in (3, 4):
                await session.call(client, number, "GET", "/other")
        session.compare(self, "crash")
