"""Tests of payouts whose claims the store lost when it came back older."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import fakes
from tests.standins import builders as standin_builders

_KEY: dict[str, str] = {headers.IDEMPOTENCY_KEY: "ticket-7"}
_OTHER_KEY: dict[str, str] = {headers.IDEMPOTENCY_KEY: "ticket-8"}
_EARLIER_KEY: dict[str, str] = {headers.IDEMPOTENCY_KEY: "ticket-6"}
_SETTLING_S = 0.4


class ClaimEraTest(unittest.IsolatedAsyncioTestCase):
    """Payouts through three daemons; each has a backend server."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.store.era.read("0")
        self.runs: list[str] = []
        self.breaks_connection = False
        self.nodes = []
        for _ in range(3):
            node = builders.Node(handler=self.pay, store=self.store)
            self.nodes.append(await self.enterAsyncContext(node))
            await node.start(settling_s=_SETTLING_S)
        self.client = await self.enterAsyncContext(builders.open_client())

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Runs a payout; its answer may be lost."""
        await request.read()
        self.runs.append(request.headers[headers.IDEMPOTENCY_KEY])
        if self.breaks_connection:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(body=b"paid")

    def use_upstreams(self, index: int, *upstreams: int) -> None:
        """Sets the upstreams that a daemon knows."""
        self.nodes[index].table.upstreams["kassa"] = tuple(
            self.nodes[upstream].build_upstream() for upstream in upstreams
        )

    async def send(self, index: int, key: dict[str, str]) -> int:
        """Sends a payout to a daemon; returns the status."""
        answer = await builders.fetch(
            self.client,
            f"{self.nodes[index].url}/payouts/1",
            "POST",
            data=b"x",
            headers=key,
        )
        assert answer is not None
        return answer[0]

    async def test_payout_is_not_run_again_by_another_daemon(self) -> None:
        """Guards against a second run after the claim of the first is gone."""
        self.use_upstreams(0, 0)
        self.use_upstreams(1, 1)
        self.assertEqual(await self.send(0, _KEY), 200)
        self.store.come_back()
        self.assertEqual(await self.send(1, _KEY), 503)
        await asyncio.sleep(_SETTLING_S)
        self.assertEqual(await self.send(1, _KEY), 200)
        self.assertEqual(self.runs, ["ticket-7"])

    async def test_payout_with_a_lost_answer_is_not_run_again(self) -> None:
        """Guards against a second run at the daemon that made the claim."""
        self.use_upstreams(0, 0)
        self.breaks_connection = True
        self.assertEqual(await self.send(0, _KEY), 502)
        self.breaks_connection = False
        self.store.come_back()
        await asyncio.sleep(_SETTLING_S)
        self.assertEqual(await self.send(0, _KEY), 502)
        self.assertEqual(self.runs, ["ticket-7"])

    async def test_payout_of_a_killed_holder_is_not_run_again(self) -> None:
        """Guards against a second run when the holder is gone as well."""
        self.use_upstreams(0, 1)
        self.use_upstreams(2, 2)
        self.assertEqual(await self.send(0, _KEY), 200)
        await self.nodes[1].aclose()
        self.store.come_back()
        await asyncio.sleep(_SETTLING_S)
        self.assertEqual(await self.send(2, _KEY), 502)
        self.assertEqual(self.runs, ["ticket-7"])

    async def test_new_payouts_run_after_the_settling_time(self) -> None:
        """Guards against payouts that are refused for ever, or untruly."""
        self.use_upstreams(0, 0)
        self.store.come_back()
        self.assertEqual(await self.send(0, _OTHER_KEY), 503)
        self.assertEqual(self.runs, [])
        await asyncio.sleep(_SETTLING_S)
        self.assertEqual(await self.send(0, _OTHER_KEY), 200)
        self.assertEqual(self.runs, ["ticket-8"])


class UnnoticedEraTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that learns of a new era only with its next claim."""

    async def test_claim_that_meets_a_new_era_is_not_used(self) -> None:
        """Guards against a claim before others could write theirs again."""
        standin = await standin_builders.start_store(self)
        contents = standin.servicer.key_value_store
        store = await standin_builders.start_client(self, standin)
        runs: list[str] = []

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            runs.append(request.path)
            return web.Response(body=b"paid")

        node = builders.Node(handler=pay, store=store)
        await self.enterAsyncContext(node)
        await node.start(settling_s=_SETTLING_S)
        node.add_upstream(node)
        client = await self.enterAsyncContext(builders.open_client())

        async def send(key: dict[str, str]) -> int:
            answer = await builders.fetch(
                client, node.url + "/payouts/1", "POST", data=b"x", headers=key
            )
            assert answer is not None
            return answer[0]

        # The copy has the lease of the claims, so writes under it succeed.
        self.assertEqual(await send(_EARLIER_KEY), 200)
        copy = contents.take_copy()
        self.assertEqual(await send(_KEY), 200)
        contents.come_back(copy)
        self.assertEqual(await send(_OTHER_KEY), 503)
        self.assertEqual(len(runs), 2)
        await asyncio.sleep(_SETTLING_S)
        self.assertEqual(await send(_OTHER_KEY), 200)
        self.assertEqual(await send(_KEY), 200)
        self.assertEqual(len(runs), 3)
