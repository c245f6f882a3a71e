"""Client and servicer for recalls, which ask what became of a claim."""

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

# A reply that is this late may have been lost with its connection.
_MAX_SILENCE_S = 0.7
_MAX_CHANNELS = 32
_MAX_WAIT_S = 60.0


def get_address(claim: request_pb2.Claim) -> str:
    """Returns the address at which the holder of a claim answers recalls."""
    return f"{claim.address}:{claim.control_port}"


def get_max_silence() -> float:
    """Returns how late the reply to a recall may be, in seconds."""
    return _MAX_SILENCE_S


class RecallServicer(request_pb2_grpc.RequestsServicer):
    """Answers recalls of local claims; a gRPC servicer."""

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
class _PooledChannel:
    """A pooled channel to a holder.

    Attributes:
        channel: The gRPC channel.
        opened_at: Monotonic time at which it was opened, in seconds.
        recalls: Number of recalls in progress on it.
        discarded: True if further recalls must not use it.
    """

    channel: Any
    opened_at: float
    recalls: int = 0
    discarded: bool = False


class RecallClient:
    """Sends recalls to the daemons that hold claims."""

    def __init__(self) -> None:
        self._channels: collections.OrderedDict[str, _PooledChannel] = (
            collections.OrderedDict()
        )

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if no reply came in time."""
        timeout_s = wait_s + _MAX_SILENCE_S
        return await self.ask(claim, claim_key, wait_s, timeout_s)

    async def ask(
        self,
        claim: request_pb2.Claim,
        claim_key: str,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> request_pb2.RecallReply | None:
        """Asks once what became of a claim.

        Args:
            claim: The claim.
            claim_key: Its key in the store.
            wait_s: How long its holder may wait for the request to end, in
                seconds.
            timeout_s: How long to wait for the reply; None to wait until the
                connection breaks.

        Returns:
            The holder's reply; None if there was none or the connection broke.
        """
        address = get_address(claim)
        request = request_pb2.RecallRequest(
            claim_key=claim_key,
            claim_id=claim.claim_id,
            wait_ms=int(wait_s * 1000),
        )
        pooled = self._acquire_channel(address)
        try:
            stub = request_pb2_grpc.RequestsStub(pooled.channel)
            return await stub.Recall(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.UNIMPLEMENTED:
                return request_pb2.RecallReply(state=request_pb2.LOST)
            # The connection may be silent while new ones would work.
            self._discard_channel(address, pooled)
            return None
        finally:
            pooled.recalls -= 1
            await self._close_idle_channels()
            if pooled.discarded and not pooled.recalls:
                await pooled.channel.close()

    def reconnect(self, address: str, opened_after: float) -> None:
        """Makes the next recall use a connection opened after a given time."""
        pooled = self._channels.get(address)
        if pooled is not None and pooled.opened_at <= opened_after:
            self._discard_channel(address, pooled)

    async def close(self) -> None:
        """Closes all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for pooled in channels:
            await pooled.channel.close()

    def _acquire_channel(self, address: str) -> _PooledChannel:
        pooled = self._channels.get(address)
        if pooled is None:
            pooled = _PooledChannel(
                peers.open_channel(address), time.monotonic()
            )
            self._channels[address] = pooled
        self._channels.move_to_end(address)
        pooled.recalls += 1
        return pooled

    def _discard_channel(self, address: str, pooled: _PooledChannel) -> None:
        pooled.discarded = True
        if self._channels.get(address) is pooled:
            del self._channels[address]

    async def _close_idle_channels(self) -> None:
        """Closes the least recently used channels without a recall in progress.

        When a channel is closed, gRPC ends the tasks that wait on it as if
        they were cancelled, and their callers would get no answer at all.
        """
        excess = len(self._channels) - _MAX_CHANNELS
        idle = [item for item in self._channels.items() if not item[1].recalls]
        for address, pooled in idle[: max(0, excess)]:
            self._discard_channel(address, pooled)
            await pooled.channel.close()
