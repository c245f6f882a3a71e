"""Recalls of many holders at once."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

import grpc.aio

from merlintrestle.requests.unrepeatable import recall
from merlintrestle.schema import request_pb2
from merlintrestle.schema import request_pb2_grpc
from tests.requests import builders
from tests.requests import relays

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Holder(request_pb2_grpc.RequestsServicer):
    """A daemon that holds a claim.

    Attributes:
        asked: Set once it was asked.
        go_on: It answers when this is set.
    """

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.go_on = asyncio.Event()

    async def Recall(  # noqa: N802
        self, request: request_pb2.RecallRequest, context: Any
    ) -> request_pb2.RecallReply:
        """Answers that it will never run the request."""
        del request, context
        self.asked.set()
        await self.go_on.wait()
        return request_pb2.RecallReply(state=request_pb2.RELEASED)


@contextlib.asynccontextmanager
async def run_holder() -> AsyncIterator[tuple[Holder, request_pb2.Claim]]:
    """Runs a holder; gives it and a claim of it."""
    holder = Holder()
    server = grpc.aio.server()
    request_pb2_grpc.add_RequestsServicer_to_server(holder, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    try:
        yield (
            holder,
            request_pb2.Claim(
                address="127.0.0.1", control_port=port, claim_id="a"
            ),
        )
    finally:
        await server.stop(0)


class RecallClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_more_holders_than_channels(self) -> None:
        """Both callers get their answers, though only one channel is kept.

        The second recall needs a channel while the first one still waits. If
        the first one's were closed for it, gRPC would end the first caller's
        task as if it had been cancelled, and that caller would hear nothing.
        """
        client = recall.RecallClient()
        with mock.patch.object(recall, "_MAX_CHANNELS", 1):
            async with (
                asyncio.timeout(builders.GUARD_S),
                run_holder() as (first, first_claim),
                run_holder() as (second, second_claim),
            ):
                recalling = asyncio.create_task(
                    client.recall(first_claim, "claims/a", 60)
                )
                await first.asked.wait()
                second.go_on.set()
                reply = await client.recall(second_claim, "claims/b", 60)
                assert reply is not None
                first.go_on.set()
                reply = await recalling
                assert reply is not None
                self.assertEqual(reply.state, request_pb2.RELEASED)
                self.assertLessEqual(len(client._channels), 1)
                await client.close()

    async def test_connection_that_went_silent(self) -> None:
        """The second recall after the silence gets its answer.

        The connection to the holder has gone silent while it was idle, and
        new ones work. Kept, it would have every payout of that holder be
        "unknown" until the operating system gives it up after minutes.
        """
        client = recall.RecallClient()
        with mock.patch.object(recall, "_SILENT_S", 0.3):
            async with (
                asyncio.timeout(builders.GUARD_S),
                run_holder() as (holder, claim),
            ):
                holder.go_on.set()
                relay = relays.Relay(claim.control_port)
                await relay.start()
                claim.control_port = relay.port
                replies = [await client.recall(claim, "claims/a", 60)]
                relay.silence()
                replies.append(await client.recall(claim, "claims/a", 0))
                replies.append(await client.recall(claim, "claims/a", 60))
                answered = [reply is not None for reply in replies]
                self.assertEqual(answered, [True, False, True])
                await client.close()
                await relay.close()
