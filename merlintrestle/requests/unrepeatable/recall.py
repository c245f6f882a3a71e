"""Recalls: asking the daemon that holds a claim, and answering."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import Any, TYPE_CHECKING

import grpc
import grpc.aio

from merlintrestle.members import peers
from merlintrestle.schema import request_pb2
from merlintrestle.schema import request_pb2_grpc

if TYPE_CHECKING:
    from merlintrestle.requests.unrepeatable import claims as claims_

# A recall that is late by so much may have been lost on its connection.
_SILENT_S = 0.7
_MAX_CHANNELS = 32
_MAX_WAIT_S = 60.0


def get_address(claim: request_pb2.Claim) -> str:
    """Returns where the holder of a claim answers."""
    return f"{claim.address}:{claim.control_port}"


def get_silence() -> float:
    """Returns by how much a recall is late that may have been lost."""
    return _SILENT_S


class RecallServicer(request_pb2_grpc.RequestsServicer):
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


@dataclasses.dataclass(eq=False, slots=True)
class _Channel:
    """A channel to a holder.

    Attributes:
        channel: The gRPC channel.
        opened_at: Monotonic time of its opening, in seconds.
        calls: Recalls under way on it.
        dropped: True if no further recall is to use it.
    """

    channel: Any
    opened_at: float
    calls: int = 0
    dropped: bool = False


class RecallClient:
    """Asks the daemons that hold claims, one question a call."""

    def __init__(self) -> None:
        self._channels: collections.OrderedDict[str, _Channel] = (
            collections.OrderedDict()
        )

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if nothing is heard in time."""
        limit_s = wait_s + _SILENT_S
        return await self.ask(claim, claim_key, wait_s, limit_s)

    async def ask(
        self,
        claim: request_pb2.Claim,
        claim_key: str,
        wait_s: float,
        limit_s: float | None = None,
    ) -> request_pb2.RecallReply | None:
        """Asks once what became of a claim.

        Args:
            claim: The claim.
            claim_key: Its key in the store.
            wait_s: How long its holder may wait for the request to end.
            limit_s: How long the question is left open; None: until its
                connection breaks.

        Returns:
            What the holder says; None if nothing came, or the connection broke.
        """
        address = get_address(claim)
        request = request_pb2.RecallRequest(
            claim_key=claim_key,
            claim_id=claim.claim_id,
            wait_ms=int(wait_s * 1000),
        )
        held = self._take(address)
        try:
            stub = request_pb2_grpc.RequestsStub(held.channel)
            return await stub.Recall(request, timeout=limit_s)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.UNIMPLEMENTED:
                return request_pb2.RecallReply(state=request_pb2.LOST)
            # Its connection may have gone silent while new ones work.
            self._drop(address, held)
            return None
        finally:
            held.calls -= 1
            await self._trim()
            if held.dropped and not held.calls:
                await held.channel.close()

    def reconnect(self, address: str, since: float) -> None:
        """Has the next question go over a connection opened after a time."""
        held = self._channels.get(address)
        if held is not None and held.opened_at <= since:
            self._drop(address, held)

    async def close(self) -> None:
        """Closes all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for held in channels:
            await held.channel.close()

    def _take(self, address: str) -> _Channel:
        held = self._channels.get(address)
        if held is None:
            held = _Channel(peers.open_channel(address), time.monotonic())
            self._channels[address] = held
        self._channels.move_to_end(address)
        held.calls += 1
        return held

    def _drop(self, address: str, held: _Channel) -> None:
        held.dropped = True
        if self._channels.get(address) is held:
            del self._channels[address]

    async def _trim(self) -> None:
        """Closes the channels used longest ago on which nobody waits.

        gRPC ends who waits on a channel that is closed as if its task were
        cancelled; the caller of that task would get no answer at all.
        """
        spare = len(self._channels) - _MAX_CHANNELS
        idle = [item for item in self._channels.items() if not item[1].calls]
        for address, held in idle[: max(0, spare)]:
            self._drop(address, held)
            await held.channel.close()
