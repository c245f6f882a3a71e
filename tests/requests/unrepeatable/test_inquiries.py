"""Holders of claims that are slow, silent or gone."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.requests.unrepeatable import inquiries
from merlintrestle.requests.unrepeatable import recall
from tests.requests import builders
from tests.requests import relays
from tests.requests.unrepeatable import holders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from merlintrestle.schema import request_pb2

_SILENT_S = 0.1


class InquirerTest(unittest.IsolatedAsyncioTestCase):
    """A daemon asks another one through a relay."""

    def setUp(self) -> None:
        self.client = recall.RecallClient()
        self.inquirer = inquiries.RetryingRecaller(self.client)
        patch = mock.patch.object(recall, "_SILENT_S", _SILENT_S)
        self.enterContext(patch)

    @contextlib.asynccontextmanager
    async def run_holder(
        self,
    ) -> AsyncIterator[tuple[holders.Holder, relays.Relay, request_pb2.Claim]]:
        """Runs a holder behind a relay; gives both, and a claim of it."""
        async with (
            asyncio.timeout(builders.GUARD_S),
            holders.run_holder() as (holder, claim),
        ):
            relay = relays.Relay(claim.control_port)
            await relay.start()
            claim.control_port = relay.port
            try:
                yield holder, relay, claim
            finally:
                await self.client.close()
                await relay.close()

    async def ask(self, claim: request_pb2.Claim) -> bool:
        """Returns whether the holder was heard."""
        reply = await self.inquirer.recall(claim, "claims/a", 0)
        return reply is not None

    async def test_slow_holder_is_heard(self) -> None:
        """Guards against holders never heard as each question is cut short."""
        async with self.run_holder() as (holder, _, claim):
            asking = asyncio.create_task(self.ask(claim))
            await asyncio.sleep(8 * _SILENT_S)
            self.assertFalse(asking.done())
            holder.go_on.set()
            self.assertTrue(await asking)

    async def test_silent_connection_to_a_holder(self) -> None:
        """Guards against payouts given up as a kept connection went silent."""
        async with self.run_holder() as (holder, relay, claim):
            holder.go_on.set()
            self.assertTrue(await self.ask(claim))
            relay.silence()
            self.assertTrue(await self.ask(claim))

    async def test_connection_that_breaks(self) -> None:
        """Guards against payouts given up as a connection was reset."""
        async with self.run_holder() as (holder, relay, claim):
            asking = asyncio.create_task(self.ask(claim))
            await holder.asked.wait()
            relay.cut()
            holder.go_on.set()
            self.assertTrue(await asking)

    async def test_holder_that_is_gone(self) -> None:
        """Guards against waits for an answer that can never come."""
        async with self.run_holder() as (holder, relay, claim):
            asking = asyncio.create_task(self.ask(claim))
            await holder.asked.wait()
            await relay.close()
            self.assertFalse(await asking)

    async def test_questions_stay_few(self) -> None:
        """Guards against floods of questions to a holder that is slow."""
        async with self.run_holder() as (holder, _, claim):
            with builders.watch_method(recall.RecallClient, "ask") as ask:
                asking = asyncio.create_task(self.ask(claim))
                await asyncio.sleep(16 * _SILENT_S)
                asking.cancel()
            self.assertLessEqual(ask.call_count, 5)
            self.assertTrue(holder.asked.is_set())


class SilentHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_holder_silent_for_the_time_of_a_call(self) -> None:
        """Guards against payouts run again as their holder is not heard."""
        go_on = asyncio.Event()
        begun = asyncio.Event()
        runs: list[str] = []

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            runs.append(request.raw_path)
            begun.set()
            await go_on.wait()
            return web.Response(body=b"paid")

        async with (
            builders.run_nodes(2, True, handler=pay) as (first, second),
            builders.open_client() as client,
        ):
            sent = {headers.KEY: "ticket-7"}
            lost = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=sent)
            )
            await begun.wait()
            lost.cancel()

            async def answer_never(*arguments: object) -> None:
                del arguments
                await asyncio.Event().wait()

            claims = first.proxy.recalls._claims
            with (
                mock.patch.object(recall, "_SILENT_S", _SILENT_S),
                mock.patch.object(claims, "answer_recall", answer_never),
            ):
                sent[headers.DEADLINE] = "900"
                answer = await client.post(
                    second.url + "/payouts", headers=sent
                )
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            del sent[headers.DEADLINE]
            go_on.set()
            answer = await client.post(second.url + "/payouts", headers=sent)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(len(runs), 1)
