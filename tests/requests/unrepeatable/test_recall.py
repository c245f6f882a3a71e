"""Tests of recalls to several holders and over silent connections."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle.requests.unrepeatable import recall
from merlintrestle.schema import request_pb2
from tests.requests import builders
from tests.requests import relays
from tests.requests.unrepeatable import holders


class RecallClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_more_holders_than_channels(self) -> None:
        """Both callers get their replies, although only one channel is pooled.

        The second recall needs a channel while the first one is waiting. If the
        first channel were closed to stay within the limit, gRPC would end the
        first caller's task as if it had been cancelled, and that caller would
        get no reply.
        """
        client = recall.RecallClient()
        with mock.patch.object(recall, "_MAX_CHANNELS", 1):
            async with (
                asyncio.timeout(builders.TEST_TIMEOUT_S),
                holders.run_holder() as (first_holder, first_claim),
                holders.run_holder() as (second_holder, second_claim),
            ):
                first_recall = asyncio.create_task(
                    client.send_recall_with_timeout(first_claim, "claims/a", 60)
                )
                await first_holder.received.wait()
                second_holder.may_answer.set()
                reply = await client.send_recall_with_timeout(
                    second_claim, "claims/b", 60
                )
                assert reply is not None
                first_holder.may_answer.set()
                reply = await first_recall
                assert reply is not None
                self.assertEqual(reply.state, request_pb2.RELEASED)
                self.assertLessEqual(len(client._channels), 1)
                await client.close()

    async def test_connection_that_went_silent(self) -> None:
        """The second recall after a connection went silent is answered.

        The pooled connection to the holder went silent while idle, but new
        connections work. If it remained in use, every payout of that holder
        would be "unknown" until the operating system closes the connection
        after several minutes.
        """
        client = recall.RecallClient()
        with mock.patch.object(recall, "_REPLY_MARGIN_S", 0.3):
            async with (
                asyncio.timeout(builders.TEST_TIMEOUT_S),
                holders.run_holder() as (holder, claim),
            ):
                holder.may_answer.set()
                relay = relays.Relay(claim.control_port)
                await relay.start()
                claim.control_port = relay.port
                replies = [
                    await client.send_recall_with_timeout(claim, "claims/a", 60)
                ]
                relay.silence()
                replies.append(
                    await client.send_recall_with_timeout(claim, "claims/a", 0)
                )
                replies.append(
                    await client.send_recall_with_timeout(claim, "claims/a", 60)
                )
                answered = [reply is not None for reply in replies]
                self.assertEqual(answered, [True, False, True])
                await client.close()
                await relay.close()
