"""Tests of retried recalls to holders that are slow, silent or gone."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from merlintrestle.requests.transport import headers
from merlintrestle.requests.unrepeatable import recall
from merlintrestle.requests.unrepeatable import recall_retries
from tests.requests import builders
from tests.requests import relays
from tests.requests.unrepeatable import holders
from tests.requests.unrepeatable import payouts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from merlintrestle.schema import request_pb2

# Value of `recall._REPLY_MARGIN_S` in the tests: the time within which a reply
# must arrive after the wait that its recall allows.
_REPLY_MARGIN_S = 0.1


class RetryingRecallerTest(unittest.IsolatedAsyncioTestCase):
    """Recalls of a claim whose holder is reached through a relay."""

    def setUp(self) -> None:
        self.client = recall.RecallClient()
        self.recaller = recall_retries.RetryingRecaller(self.client)
        patch = mock.patch.object(recall, "_REPLY_MARGIN_S", _REPLY_MARGIN_S)
        self.enterContext(patch)

    @contextlib.asynccontextmanager
    async def run_holder(
        self,
    ) -> AsyncIterator[tuple[holders.Holder, relays.Relay, request_pb2.Claim]]:
        """Runs a holder behind a relay.

        Yields:
            The holder, the relay and a claim that the holder has.
        """
        async with (
            asyncio.timeout(builders.TEST_TIMEOUT_S),
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

    async def recall(self, claim: request_pb2.Claim) -> bool:
        """Returns whether the holder replied to the recall of a claim."""
        reply = await self.recaller.recall(claim, "claims/a", 0)
        return reply is not None

    async def test_slow_holder_gets_time_to_answer(self) -> None:
        """The reply of a slow holder is used, although recalls are retried."""
        async with self.run_holder() as (holder, _, claim):
            recall_task = asyncio.create_task(self.recall(claim))
            await asyncio.sleep(8 * _REPLY_MARGIN_S)
            self.assertFalse(recall_task.done())
            holder.may_answer.set()
            self.assertTrue(await recall_task)

    async def test_silent_connection_to_a_holder(self) -> None:
        """Payouts do not fail because a pooled connection went silent."""
        async with self.run_holder() as (holder, relay, claim):
            holder.may_answer.set()
            self.assertTrue(await self.recall(claim))
            relay.silence()
            self.assertTrue(await self.recall(claim))

    async def test_connection_that_breaks(self) -> None:
        """Payouts do not fail because a connection is reset."""
        async with self.run_holder() as (holder, relay, claim):
            recall_task = asyncio.create_task(self.recall(claim))
            await holder.received.wait()
            relay.reset_connections()
            holder.may_answer.set()
            self.assertTrue(await recall_task)

    async def test_holder_that_is_gone(self) -> None:
        """A recall ends at once if the process of the holder has ended."""
        async with self.run_holder() as (holder, relay, claim):
            recall_task = asyncio.create_task(self.recall(claim))
            await holder.received.wait()
            await relay.close()
            self.assertFalse(await recall_task)

    async def test_slow_holder_gets_few_recalls(self) -> None:
        """A slow holder is not overloaded: the intervals of recalls grow."""
        async with self.run_holder() as (holder, _, claim):
            with builders.spy_on_method(
                recall.RecallClient, "send_recall"
            ) as mocked_send_recall:
                recall_task = asyncio.create_task(self.recall(claim))
                await asyncio.sleep(16 * _REPLY_MARGIN_S)
                recall_task.cancel()
            self.assertLessEqual(mocked_send_recall.call_count, 5)
            self.assertTrue(holder.received.is_set())


class SilentHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_holder_silent_for_the_time_of_a_call(self) -> None:
        """A payout does not run again because its holder is silent.

        The caller gets "unknown" at its deadline. A later retry gets the
        answer of the first run.
        """
        payout = payouts.SlowPayout()
        async with (
            builders.run_nodes(2, True, handler=payout.run) as (first, second),
            builders.open_client() as client,
        ):
            sent_headers = {headers.IDEMPOTENCY_KEY: "ticket-7"}
            await payout.send_and_leave(client, first, sent_headers)

            async def never_answer(*arguments: object) -> None:
                del arguments
                await asyncio.Event().wait()

            claims = first.proxy.recall_servicer._claims
            with (
                mock.patch.object(recall, "_REPLY_MARGIN_S", _REPLY_MARGIN_S),
                mock.patch.object(claims, "answer_recall", never_answer),
            ):
                sent_headers[headers.DEADLINE] = "900"
                answer = await client.post(
                    second.url + "/payouts", headers=sent_headers
                )
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            del sent_headers[headers.DEADLINE]
            payout.may_answer.set()
            answer = await client.post(
                second.url + "/payouts", headers=sent_headers
            )
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(len(payout.runs), 1)
