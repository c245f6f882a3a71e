"""Tests of polling for a free slot, and of the choice where a call waits."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import polls
from tests.requests import builders


class PolledUpstreamsTest(unittest.TestCase):
    """One call and four upstreams."""

    def setUp(self) -> None:
        self.polled_upstreams = polls.PolledUpstreams()
        self.upstreams = [builders.build_upstream(n) for n in range(4)]

    def test_call_waits_where_the_load_is_known(self) -> None:
        observation = observations.Observation()
        self.assertFalse(observation.has_recent_load(10.0))
        observation.record_load(10.0, loads.Load(3, 4, 0.1))
        self.assertTrue(observation.has_recent_load(10.5))
        self.assertFalse(observation.has_recent_load(12.0))
        self.assertIs(polls.choose_wait(True, False), calls.Wait.NORMAL)

    def test_call_waits_briefly_in_the_local_zone(self) -> None:
        self.assertIs(polls.choose_wait(False, True), calls.Wait.SHORT)
        self.assertIs(polls.choose_wait(False, False), calls.Wait.NONE)

    def test_call_waits_at_the_upstream_with_the_shortest_wait(self) -> None:
        for upstream, wait_s in zip(
            self.upstreams, (0.3, 0.1, 0.2, 0.4), strict=True
        ):
            self.assertFalse(self.polled_upstreams.is_complete(4))
            self.polled_upstreams.add(upstream, wait_s)
        self.assertTrue(self.polled_upstreams.is_complete(4))
        self.assertIs(self.polled_upstreams.take_best(), self.upstreams[1])

    def test_polling_ends_when_all_upstreams_were_polled(self) -> None:
        self.polled_upstreams.add(self.upstreams[0], 0.1)
        self.polled_upstreams.add(self.upstreams[1], 0.1)
        self.assertTrue(self.polled_upstreams.is_complete(2))

    def test_upstreams_are_not_polled_over_a_saturated_link(self) -> None:
        """Guards against calls that are late because of the polling."""
        self.assertTrue(polls.is_worthwhile(0.05, 1.0))
        self.assertFalse(polls.is_worthwhile(0.15, 1.0))


class FreeSlotTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that have no load reports of their upstreams."""

    async def test_call_that_a_full_upstream_refuses_runs_elsewhere(
        self,
    ) -> None:
        """A call does not wait at a full upstream while another has capacity.

        The daemon has no load report of either. Without polling, a call that is
        sent to the full upstream would wait there until the running call ends.
        """
        long_call_began = asyncio.Event()
        resume = asyncio.Event()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.raw_path == "/long":
                long_call_began.set()
                await resume.wait()
            return web.Response(body=b"ok")

        plan = builders.build_plan(latency_s=4.0)
        running = builders.build_snapshot({"/": plan})
        for _ in range(4):
            long_call_began.clear()
            resume.clear()
            async with (
                builders.run_nodes(
                    3, handler=answer, running=running, slots=1
                ) as nodes,
                builders.open_client() as client,
            ):
                local, full, free = nodes
                local.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
                upstreams = local.table.upstreams
                upstreams["kassa"] = upstreams["kassa"][1:]
                full.table.upstreams["kassa"] = (full.build_upstream(),)
                long_call = asyncio.create_task(client.get(full.url + "/long"))
                await long_call_began.wait()
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    response = await client.get(local.url + "/x")
                self.assertEqual(response.status, 200)
                self.assertEqual(free.served, [("GET", "/x")])
                resume.set()
                self.assertEqual((await long_call).status, 200)

    async def test_all_upstreams_are_full(self) -> None:
        """The call waits at one of the upstreams and is answered there."""
        resume = asyncio.Event()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.raw_path == "/long":
                await resume.wait()
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
            local = nodes[0]
            local.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            upstreams = local.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            long_calls = []
            for node in nodes[1:]:
                node.table.upstreams["kassa"] = (node.build_upstream(),)
                long_calls.append(
                    asyncio.create_task(client.get(node.url + "/long"))
                )
            while not all(node.served for node in nodes[1:]):
                await asyncio.sleep(0.01)
            waiting = asyncio.create_task(client.get(local.url + "/x"))
            while not any(
                node.proxy._admission.get_load().calls > 1 for node in nodes[1:]
            ):
                await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            resume.set()
            self.assertEqual((await waiting).status, 200)
            await asyncio.gather(*long_calls)
