"""Client and servicer for recalls, i.e. queries for the state of a claim."""

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

# Time within which a reply must arrive after the wait that its recall allows. A
# later reply may have been lost with its connection.
_REPLY_MARGIN_S = 0.7
# Channels kept open; further ones are open only while they carry recalls.
_MAX_CHANNELS = 32
# Longest time for which a holder delays its reply until the call has ended, in
# seconds.
_MAX_WAIT_S = 60.0


def get_address(claim: request_pb2.Claim) -> str:
    """Returns the address at which the holder of a claim answers recalls."""
    return f"{claim.address}:{claim.control_port}"


def get_reply_margin_s() -> float:
    """Returns the seconds to wait for a reply beyond the wait of its recall."""
    return _REPLY_MARGIN_S


class RecallServicer(request_pb2_grpc.RequestsServicer):
    """The gRPC servicer that answers recalls of the claims of this daemon."""

    def __init__(self, claims: claims_.Claims):
        """Sets the claims of this daemon."""
        self._claims = claims

    async def Recall(  # noqa: N802
        self, request: request_pb2.RecallRequest, context: object
    ) -> request_pb2.RecallReply:
        """Returns the state of a claim."""
        wait_s = min(request.wait_ms / 1000, _MAX_WAIT_S)
        return await self._claims.answer_recall(request.claim_id, wait_s)


@dataclasses.dataclass(eq=False, slots=True)
class _PooledChannel:
    """A pooled gRPC channel to the holder of claims.

    Attributes:
        channel: The gRPC channel.
        opened_at: Monotonic time at which the channel was opened, in seconds.
        active_recalls: Number of recalls in progress on the channel.
        discarded: True if new recalls must not use the channel.
    """

    channel: Any
    opened_at: float
    active_recalls: int = 0
    discarded: bool = False


class RecallClient:
    """Sends recalls to the holders of claims."""

    def __init__(self) -> None:
        self._channels: collections.OrderedDict[str, _PooledChannel] = (
            collections.OrderedDict()
        )

    async def send_recall_with_timeout(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Sends a recall and waits at most `wait_s` plus the reply margin.

        Returns:
            The holder's reply; None if none arrived in time or the connection
            broke.
        """
        timeout_s = wait_s + _REPLY_MARGIN_S
        return await self.send_recall(claim, claim_key, wait_s, timeout_s)

    async def send_recall(
        self,
        claim: request_pb2.Claim,
        claim_key: str,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> request_pb2.RecallReply | None:
        """Sends one recall of a claim.

        Args:
            claim: The claim.
            claim_key: Key of the claim in the store.
            wait_s: Seconds for which the holder may delay its reply until the
                call has ended.
            timeout_s: Seconds to wait for the reply; None to wait until the
                connection breaks.

        Returns:
            The holder's reply; None if none arrived in time or the connection
            broke, so that the state of the claim remains unknown. A holder
            that does not support recalls counts as a reply of LOST.
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
            # This connection may carry no data any more while a new one would
            # work.
            self._discard_channel(address, pooled)
            return None
        finally:
            pooled.active_recalls -= 1
            await self._close_idle_channels()
            if pooled.discarded and not pooled.active_recalls:
                await pooled.channel.close()

    def reconnect(self, address: str, opened_after: float) -> None:
        """Makes the next recall to an address use a newer connection.

        Args:
            address: Address of the holder.
            opened_after: Monotonic time in seconds; a connection that was
                opened until then is not used again.
        """
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
        pooled.active_recalls += 1
        return pooled

    def _discard_channel(self, address: str, pooled: _PooledChannel) -> None:
        pooled.discarded = True
        if self._channels.get(address) is pooled:
            del self._channels[address]

    async def _close_idle_channels(self) -> None:
        """Closes the least recently used excess channels that are idle.

        A channel with a recall in progress is not closed: gRPC would end the
        tasks that wait on it as if they were cancelled, and their callers would
        get no answer.
        """
        excess = len(self._channels) - _MAX_CHANNELS
        idle = [
            item
            for item in self._channels.items()
            if not item[1].active_recalls
        ]
        for address, pooled in idle[: max(0, excess)]:
            self._discard_channel(address, pooled)
            await pooled.channel.close()
