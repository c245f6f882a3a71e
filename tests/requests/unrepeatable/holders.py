"""Simulated holders of claims for tests of recalls."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

import grpc.aio

from merlintrestle.schema import request_pb2
from merlintrestle.schema import request_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Holder(request_pb2_grpc.RequestsServicer):
    """The daemon that holds a claim.

    Attributes:
        received: Set once a recall has been received.
        may_answer: Set by the test to let recalls be answered.
    """

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def Recall(  # noqa: N802
        self, request: request_pb2.RecallRequest, context: Any
    ) -> request_pb2.RecallReply:
        """Answers that the request did not run and never will."""
        del request, context
        self.received.set()
        await self.may_answer.wait()
        return request_pb2.RecallReply(state=request_pb2.RELEASED)


@contextlib.asynccontextmanager
async def run_holder() -> AsyncIterator[tuple[Holder, request_pb2.Claim]]:
    """Runs a holder.

    Yields:
        The holder and its claim.
    """
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
