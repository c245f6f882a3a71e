"""Which upstreams a call asks for a free slot, and where it waits then."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import polls
from tests.requests import builders


class PollsTest(unittest.TestCase):
    """One call and four upstreams."""

    def setUp(self) -> None:
        self.polls = polls.Polls()
        self.upstreams = [builders.build_upstream(n) for n in range(4)]

    def test_call_waits_where_the_load_is_known(self) -> None:
        seen = observations.Observation()
        self.assertFalse(seen.has_recent_load(10.0))
        seen.record_load(10.0, loads.Load(3, 4, 0.1))
        self.assertTrue(seen.has_recent_load(10.5))
        self.assertFalse(seen.has_recent_load(12.0))
        self.assertIs(polls.choose_wait(True, False), calls.Wait.NORMAL)

    def test_call_waits_shortly_in_the_own_zone(self) -> None:
        self.assertIs(polls.choose_wait(False, True), calls.Wait.SHORT)
        self.assertIs(polls.choose_wait(False, False), calls.Wait.NONE)

    def test_call_waits_where_that_takes_the_shortest(self) -> None:
        for upstream, wait_s in zip(
            self.upstreams, (0.3, 0.1, 0.2, 0.4), strict=True
        ):
            self.assertFalse(self.polls.is_complete(4))
            self.polls.add(upstream, wait_s)
        self.assertTrue(self.polls.is_complete(4))
        self.assertIs(self.polls.take_best(), self.upstreams[1])

    def test_no_more_are_asked_than_there_are(self) -> None:
        self.polls.add(self.upstreams[0], 0.1)
        self.polls.add(self.upstreams[1], 0.1)
        self.assertTrue(self.polls.is_complete(2))

    def test_nobody_is_asked_over_a_full_link(self) -> None:
        """Guards against calls that ask until they are late."""
        self.assertTrue(polls.is_worthwhile(0.05, 1.0))
        self.assertFalse(polls.is_worthwhile(0.15, 1.0))


class FreeSlotTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that know nothing yet of the load of their upstreams."""

    async def test_free_upstream_takes_what_a_full_one_refuses(self) -> None:
        """No caller waits at a full backend server beside a free one.

        The daemon has never heard of either. It sends the call to the full
        one, which would have it wait for as long as its one call lasts.
        """
        began = asyncio.Event()
        go_on = asyncio.Event()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.raw_path == "/long":
                began.set()
                await go_on.wait()
            return web.Response(body=b"ok")

        plan = builders.build_plan(latency_s=4.0)
        running = builders.build_snapshot({"/": plan})
        for _ in range(4):
            began.clear()
            go_on.clear()
            async with (
                builders.run_nodes(
                    3, handler=answer, running=running, slots=1
                ) as nodes,
                builders.open_client() as client,
            ):
                near, full, free = nodes
                near.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
                known = near.table.upstreams
                known["kassa"] = known["kassa"][1:]
                full.table.upstreams["kassa"] = (full.build_upstream(),)
                held = asyncio.create_task(client.get(full.url + "/long"))
                await began.wait()
                async with asyncio.timeout(builders.GUARD_S):
                    got = await client.get(near.url + "/x")
                self.assertEqual(got.status, 200)
                self.assertEqual(free.served, [("GET", "/x")])
                go_on.set()
                self.assertEqual((await held).status, 200)

    async def test_all_are_full(self) -> None:
        """The caller's call waits at one of them and is answered there."""
        go_on = asyncio.Event()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.raw_path == "/long":
                await go_on.wait()
            return web.Response(body=b"ok")

        plan = builders.build_plan(latency_s=4.0)
        async with (
            builders.run_nodes(
                3,
                handler=answer,
                running=builders.build_snapshot({"/": plan}),
                slots=1,
            ) as nodes,
            builders.open_client() as client,
        ):
            near = nodes[0]
            near.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            known = near.table.upstreams
            known["kassa"] = known["kassa"][1:]
            held = []
            for node in nodes[1:]:
                node.table.upstreams["kassa"] = (node.build_upstream(),)
                held.append(asyncio.create_task(client.get(node.url + "/long")))
            while not all(node.served for node in nodes[1:]):
                await asyncio.sleep(0.01)
            waiting = asyncio.create_task(client.get(near.url + "/x"))
            while not any(
                node.proxy._admission.get_load().calls > 1 for node in nodes[1:]
            ):
                await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            go_on.set()
            self.assertEqual((await waiting).status, 200)
            await asyncio.gather(*held)
