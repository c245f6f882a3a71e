"""Client for control calls to other daemons."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import statistics
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import grpc
import grpc.aio

from merlintrestle import errors
from merlintrestle.members import accounting
from merlintrestle.members import parts
from merlintrestle.schema import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from merlintrestle.schema import control_pb2

MAX_MESSAGE_BYTES = parts.MAX_BYTES
_FETCH = "FetchParts"
# Maximum duration of a fetch, so that a version that arrives byte by byte does
# not block a fetch from another peer for ever. A link of 0.4 MB/s carries 4 MB
# in this time, about 25 MB of uncompressed records.
_MAX_FETCH_S = 10.0
# Channels kept open in addition to those of links.
_MAX_IDLE_CHANNELS = 6
_MAX_BACKOFF_MS = 1000
_INITIAL_BACKOFF_MS = 100

# Event loop iterations that a call takes at both ends together.
_ITERATIONS_PER_CALL = 20
# Number of recent samples of the event loop's lateness.
_LATENESS_SAMPLES = 3

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", _INITIAL_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", _MAX_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", _MAX_BACKOFF_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.http2.bdp_probe", 0),
    # Channels share connections by default: a channel that is rebuilt because
    # its connection went silent would get the same connection again.
    ("grpc.use_local_subchannel_pool", 1),
]


class SharedChannel(NamedTuple):
    """A link's channel that is also used for calls.

    Attributes:
        channel: The channel.
        get_last_received_at: Returns the monotonic time of the last message
            received on the link, in seconds.
    """

    channel: grpc.aio.Channel
    get_last_received_at: Callable[[], float]


class PeerError(errors.MerlintrestleError):
    """A peer did not answer a control call."""


class PeerSilentError(PeerError):
    """A peer sent nothing within the timeout of a call."""


def open_channel(address: str) -> grpc.aio.Channel:
    """Opens a channel that does not share its connection."""
    return grpc.aio.insecure_channel(address, options=_OPTIONS)


def _is_timeout(error: grpc.aio.AioRpcError | TimeoutError) -> bool:
    if isinstance(error, TimeoutError):
        return True
    return error.code() is grpc.StatusCode.DEADLINE_EXCEEDED


async def refuses_connection(address: str, timeout_s: float) -> bool:
    """Tells whether the host of an address refuses a connection."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    writer.close()
    return False


async def _read_part(call: Any, timeout_s: float) -> Any:
    """Returns the next part, or None after the last one.

    Also returns None if the peer does not implement the method.

    Raises:
        TimeoutError: No part arrived within the timeout.
        grpc.aio.AioRpcError: The call failed.
    """
    try:
        async with asyncio.timeout(timeout_s):
            part = await call.read()
    except grpc.aio.AioRpcError as error:
        if error.code() == grpc.StatusCode.UNIMPLEMENTED:
            return None
        raise
    return None if part is grpc.aio.EOF else part


class PeerClient:
    """Calls other daemons over a bounded number of channels.

    Attributes:
        last_received_at: Monotonic time of the last answer, in seconds.
    """

    def __init__(self) -> None:
        self.last_received_at = 0.0
        self._channels: collections.OrderedDict[str, grpc.aio.Channel] = (
            collections.OrderedDict()
        )
        self._shared: dict[str, SharedChannel] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._lateness = collections.deque(
            [0.0] * _LATENESS_SAMPLES, maxlen=_LATENESS_SAMPLES
        )

    def share_channel(
        self,
        address: str,
        channel: grpc.aio.Channel,
        get_last_received_at: Callable[[], float],
    ) -> None:
        """Lets calls to a peer use the channel of the link to it.

        Opening a separate connection costs about 560 bytes, more than the call
        itself.

        Args:
            address: Address of the peer.
            channel: The channel of the link.
            get_last_received_at: Returns the monotonic time of the last message
                received on that link, in seconds.
        """
        self._shared[address] = SharedChannel(channel, get_last_received_at)

    def unshare_channel(self, address: str, channel: grpc.aio.Channel) -> None:
        """Stops the use of a link's channel by further calls."""
        shared = self._shared.get(address)
        if shared is not None and shared.channel is channel:
            del self._shared[address]

    def retire_channel(self, address: str, channel: grpc.aio.Channel) -> None:
        """Closes a channel after the calls on it have ended.

        A call that times out says nothing about the other calls. If they were
        ended with it, daemons that are all overloaded would end each other's
        calls and repeat them, which overloads them further, and none would
        finish its start.
        """
        self.unshare_channel(address, channel)
        if self._channels.get(address) is channel:
            del self._channels[address]
        closing = asyncio.create_task(channel.close(grace=_MAX_FETCH_S))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method of the Control service of a peer.

        Raises:
            PeerError: The call failed or timed out. The channel is dropped, as
                its connection may have gone silent while new ones work.
        """
        channel = self._get_channel(address)
        stub = control_pb2_grpc.ControlStub(channel)
        accounting.count_sent(method, request, accounting.CALL_OVERHEAD_BYTES)
        async with self._translate_errors(address, method, channel):
            reply = await getattr(stub, method)(
                request, timeout=self._extend_timeout(timeout_s)
            )
        self.last_received_at = time.monotonic()
        accounting.count_received(method, reply, accounting.CALL_OVERHEAD_BYTES)
        return reply

    async def fetch(
        self,
        address: str,
        request: control_pb2.FetchRequest,
        gap_s: float,
        on_part: Callable[[], None],
    ) -> control_pb2.FetchReply:
        """Fetches a version from a peer, as long as its parts keep arriving.

        Args:
            address: Address of the peer.
            request: The requested version.
            gap_s: Maximum time between two parts, in seconds.
            on_part: Called after each received part.

        Raises:
            PeerError: The call failed, no part arrived in time, or the parts
                are corrupt.
        """
        channel = self._get_channel(address)
        call = control_pb2_grpc.ControlStub(channel).FetchParts(request)
        accounting.count_sent(_FETCH, request, accounting.CALL_OVERHEAD_BYTES)
        received = []
        try:
            async with (
                self._translate_errors(address, _FETCH, channel),
                asyncio.timeout(self._extend_timeout(_MAX_FETCH_S)),
            ):
                while part := await _read_part(
                    call, self._extend_timeout(gap_s)
                ):
                    received.append(part)
                    self.last_received_at = time.monotonic()
                    accounting.count_received(_FETCH, part)
                    on_part()
        finally:
            call.cancel()
        if not received:
            # A daemon of an earlier release implements only Fetch.
            return await self.call(address, "Fetch", request, gap_s)
        try:
            return parts.join(received)
        except parts.BrokenPartsError as error:
            raise PeerError(f"{address}: {_FETCH}: {error}") from error

    @contextlib.asynccontextmanager
    async def _translate_errors(
        self, address: str, method: str, channel: grpc.aio.Channel
    ) -> AsyncIterator[None]:
        """Raises the errors of a call as `PeerError` and drops its channel.

        The channel of a link that received a message during the call is kept.
        """
        began = time.monotonic()
        try:
            yield
        except (grpc.aio.AioRpcError, TimeoutError) as error:
            if not self._has_received(address, channel, began):
                await self._drop_channel(address, channel)
            if _is_timeout(error):
                raise PeerSilentError(f"{address}: {method}: silent") from error
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name.lower()
            raise PeerError(f"{address}: {method}: {reason}") from error
        except asyncio.CancelledError:
            # If another call drops the channel, gRPC raises `CancelledError`
            # here, as if this task were cancelled, which would end the task.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise PeerError(f"{address}: {method}: channel dropped") from None

    def record_lateness(self, late_s: float) -> None:
        """Records a sample of the event loop's lateness, in seconds."""
        self._lateness.append(late_s)

    def _extend_timeout(self, timeout_s: float) -> float:
        """Returns a timeout extended by the lateness of the event loop.

        An answer that has arrived still waits for iterations of the loop. With
        a fixed timeout, a daemon on a busy machine would time out all its
        calls, repeat them and become later still. The median of the recent
        samples is used, so that a single pause of the daemon does not count.
        """
        return timeout_s + _ITERATIONS_PER_CALL * statistics.median(
            self._lateness
        )

    async def close(self) -> None:
        """Closes all channels."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()
        for closing in self._closing:
            closing.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def refuses_connection(self, address: str, timeout_s: float) -> bool:
        """Tells whether a peer's host refuses a connection.

        Unlike silence, a refusal proves that the process is gone and that the
        network path to its host works.
        """
        return await refuses_connection(address, timeout_s)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        shared = self._shared.get(address)
        if shared is not None:
            return shared.channel
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        return channel

    async def close_idle_channels(self) -> None:
        """Closes the least recently used channels above the limit."""
        while len(self._channels) > _MAX_IDLE_CHANNELS:
            _, channel = self._channels.popitem(last=False)
            await channel.close(grace=1.0)

    def _has_received(
        self, address: str, channel: grpc.aio.Channel, since: float
    ) -> bool:
        """Tells whether the link of a shared channel received a message.

        In that case the connection works and the peer is only slow. Dropping
        the channel would end the link and all other calls on it, which are
        being answered, and the cost of reopening them would slow the peer down
        further.

        Args:
            address: Address of the peer.
            channel: Channel of the call.
            since: Monotonic time in seconds.
        """
        shared = self._shared.get(address)
        if shared is None or shared.channel is not channel:
            return False
        return shared.get_last_received_at() > since

    async def _drop_channel(
        self, address: str, channel: grpc.aio.Channel
    ) -> None:
        """Drops a channel; a link that uses it ends and is reopened."""
        shared = self._shared.get(address)
        if shared is None or shared.channel is not channel:
            self.retire_channel(address, channel)
            return
        self.unshare_channel(address, channel)
        await channel.close()
