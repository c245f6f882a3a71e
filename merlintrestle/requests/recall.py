"""Recalls: asking the daemon that holds a claim, and answering."""

from __future__ import annotations

import collections
from typing import Any, TYPE_CHECKING

import grpc
import grpc.aio

from merlintrestle.schema import request_pb2
from merlintrestle.schema import request_pb2_grpc

if TYPE_CHECKING:
    from merlintrestle.requests import claims as claims_

# A holder that does not answer a recall for so long counts as silent.
_SILENT_S = 0.7
_MAX_CHANNELS = 32
_MAX_WAIT_S = 60.0


class Recalls(request_pb2_grpc.RequestsServicer):
    """Answers other daemons about own claims; a gRPC servicer."""

    def __init__(self, claims: claims_.Claims):
        """Sets the claims."""
        self._claims = claims

    async def Recall(  # noqa: N802
        self, request: request_pb2.RecallRequest, context: object
    ) -> request_pb2.RecallReply:
        """Returns what became of a claim."""
        wait_s = min(request.wait_ms / 1000, _MAX_WAIT_S)
        return await self._claims.answer_recall(request.claim_id, wait_s)


class RecallClient:
    """Asks the daemons that hold claims."""

    def __init__(self) -> None:
        self._channels: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if its holder is silent."""
        address = f"{claim.address}:{claim.control_port}"
        stub = request_pb2_grpc.RequestsStub(await self._get_channel(address))
        request = request_pb2.RecallRequest(
            claim_key=claim_key,
            claim_id=claim.claim_id,
            wait_ms=int(wait_s * 1000),
        )
        try:
            return await stub.Recall(request, timeout=wait_s + _SILENT_S)
        except grpc.aio.AioRpcError:
            return None

    async def close(self) -> None:
        """Closes all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    async def _get_channel(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > _MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            await oldest.close(_SILENT_S)
        return channel
