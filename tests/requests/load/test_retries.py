"""Tests of the rules for retries and hedges, and of the retry budget."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import retries
from merlintrestle.requests.transport import headers
from tests.requests import builders

_FORWARDED_HEADERS = (headers.DEADLINE, headers.DEPTH, headers.ATTEMPT)


async def break_connection(request: web.BaseRequest) -> web.StreamResponse:
    """Receives a request and closes its connection without an answer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class RetriesTest(unittest.IsolatedAsyncioTestCase):
    """Retries over real connections, counted by the backend servers."""

    async def test_call_that_is_not_repeatable_is_not_retried(self) -> None:
        """The outcome is "unknown", and one backend server received the call.

        The backend server receives a payout without an idempotency key and
        breaks the connection. The payout may have run, so it must not be
        retried.
        """
        plan = builders.build_plan(repeatable=False)
        async with (
            builders.run_nodes(
                3,
                handler=break_connection,
                running=builders.build_snapshot({"/": plan}),
            ) as nodes,
            builders.open_client() as client,
        ):
            answer = await client.post(nodes[0].url + "/x", data=b"pay")
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_refused_call_is_retried_elsewhere(self) -> None:
        """Guards against refusals while another backend server is ready."""
        async with (
            builders.run_nodes(3) as nodes,
            builders.open_client() as client,
        ):
            for node in nodes[:2]:
                node.active_version.active_snapshot = None
            nodes[0].active_version.active_snapshot = builders.build_snapshot()
            nodes[0].proxy.backend.slots = 0
            for _ in range(8):
                answer = await client.get(nodes[0].url + "/x")
                self.assertEqual(answer.status, 200)
        self.assertEqual(len(nodes[2].served), 8)

    async def test_unresponsive_backend_server_does_not_use_up_the_deadline(
        self,
    ) -> None:
        """The caller gets its answer from another upstream.

        A backend server accepts calls and answers none. Its daemon is healthy,
        so no failure is detected, and without a hedge the call would wait until
        its deadline.
        """
        unresponsive: list[builders.Node] = []

        async def answer_if_responsive(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            if request.protocol in unresponsive[0].backend.connections:
                await asyncio.Event().wait()
            return web.Response()

        plan = builders.build_plan(latency_s=0.01)
        async with (
            builders.run_nodes(
                2,
                handler=answer_if_responsive,
                running=builders.build_snapshot({"/": plan}),
            ) as nodes,
            builders.open_client() as client,
        ):
            unresponsive.append(nodes[0])
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(answer.status, 200)
        self.assertEqual([len(node.served) for node in nodes], [1, 1])

    async def test_budget_bounds_retries(self) -> None:
        """The service receives only few calls more than its callers make.

        Every backend server breaks every connection, so all calls fail. Without
        a budget each call would be run three times, although the service fails
        anyway.
        """
        async with (
            builders.run_nodes(3, handler=break_connection) as nodes,
            builders.open_client() as client,
        ):
            for _ in range(100):
                await builders.fetch(client, nodes[0].url + "/x")
        served = sum(len(node.served) for node in nodes)
        # The calls, 0.1 retries for each, and 10 additional retries.
        self.assertLessEqual(served, 100 + 10 + 10)
        self.assertGreater(served, 100)

    async def test_nested_calls_do_not_multiply(self) -> None:
        """A call reaches the lowest of four nested services at most twice.

        The lowest backend server breaks the connection. If every level retried,
        it would receive at least 2**4 calls.
        """
        urls: list[str] = []
        lowest: list[str] = []

        async def nest(request: web.BaseRequest) -> web.StreamResponse:
            level = int(request.path[1:])
            if level == 0:
                lowest.append(request.path)
                return await break_connection(request)
            forwarded = {
                name: request.headers[name] for name in _FORWARDED_HEADERS
            }
            async with aiohttp.ClientSession() as session:
                answer = await session.get(
                    f"{urls[0]}/{level - 1}", headers=forwarded
                )
                if answer.status != 200:
                    return await break_connection(request)
            return web.Response()

        async with (
            builders.run_nodes(3, handler=nest) as nodes,
            builders.open_client() as client,
        ):
            urls.append(nodes[0].url)
            answer = await client.get(nodes[0].url + "/3")
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
        self.assertLessEqual(len(lowest), 2)

    async def test_loop_between_services_ends(self) -> None:
        """Guards against a call that is nested without limit.

        The backend server calls its own service. `parsing.MAX_DEPTH` allows 7
        nested calls below the first call, 8 calls in total.
        """

        async def loop(request: web.BaseRequest) -> web.StreamResponse:
            forwarded = {
                name: request.headers[name] for name in _FORWARDED_HEADERS
            }
            async with (
                aiohttp.ClientSession() as session,
                session.get(urls[0] + "/x", headers=forwarded) as answer,
            ):
                return web.Response(status=answer.status)

        urls: list[str] = []
        async with (
            builders.run_nodes(1, handler=loop) as nodes,
            builders.open_client() as client,
        ):
            urls.append(nodes[0].url)
            answer = await client.get(nodes[0].url + "/x")
        self.assertEqual(answer.status, 508)
        self.assertEqual(len(nodes[0].served), 8)

    def test_last_refusal_does_not_hide_an_earlier_run(self) -> None:
        """The outcome is "unknown" and not that of the last attempt, "not run".

        The connection of the first attempt broke after the call was sent, and
        the second attempt was refused. With the outcome "not run" the caller
        would make the payout a second time.
        """
        refused = outcomes.NotRun("leaving")
        for earlier in (outcomes.Unknown("broke"), outcomes.Ran("cut")):
            self.assertIs(retries.combine(earlier, refused), earlier)
        self.assertIs(retries.combine(refused, refused), refused)

    def test_rate_limit_does_not_hide_an_upstream_that_is_free_sooner(
        self,
    ) -> None:
        """Guards against callers who come back long after there is room."""
        full = outcomes.NotRun("full", retry_after_s=0.1)
        limited = outcomes.NotRun(
            "limited", retry_after_s=4.0, rate_limited=True
        )
        for earlier, latest in ((full, limited), (limited, full)):
            combined = retries.combine(earlier, latest)
            assert isinstance(combined, outcomes.NotRun)
            self.assertEqual(combined.retry_after_s, 0.1)
