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

# Maximum size of any control message.
MAX_MESSAGE_BYTES = parts.MAX_MESSAGE_BYTES
_FETCH_PARTS_METHOD = "FetchParts"
# Maximum duration of a fetch, so that a version that arrives byte by byte does
# not block a fetch from another peer for ever. A slow link of 0.4 MB/s
# (3.2 Mbit/s) carries 4 MB of compressed parts in this time, about 25 MB of
# uncompressed records, which is more than the largest message.
_MAX_FETCH_S = 10.0
# Maximum number of idle channels kept open in addition to those of links.
_MAX_IDLE_CHANNELS = 6
_MAX_BACKOFF_MS = 1000
_INITIAL_BACKOFF_MS = 100

# Event loop iterations that a call takes at both ends together. Only the lag of
# the local loop is measured; that of the peer's loop is assumed to be the same.
_LOOP_ITERATIONS_PER_CALL = 20
# Number of recent samples of the event loop's lag. The median of three ignores
# a single pause.
_LOOP_LAG_SAMPLE_COUNT = 3

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", _INITIAL_BACKOFF_MS),
    # gRPC also uses this as the minimum timeout of a connection attempt.
    ("grpc.min_reconnect_backoff_ms", _MAX_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", _MAX_BACKOFF_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    # Probes of the bandwidth-delay product would add traffic.
    ("grpc.http2.bdp_probe", 0),
    # By default, channels to the same address share a connection: a channel
    # opened to replace a silent connection would use that connection again.
    ("grpc.use_local_subchannel_pool", 1),
]


class SharedChannel(NamedTuple):
    """Channel of a link that is also used for calls.

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
    """Returns whether a connection to a control address is refused.

    Args:
        address: The control address.
        timeout_s: Maximum wait for the connection in seconds.
    """
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
    """Returns the next part of a fetch, or None after the last part.

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

    An address is the control address of a daemon, which is also its member id.

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
        self._loop_lags_s = collections.deque(
            [0.0] * _LOOP_LAG_SAMPLE_COUNT, maxlen=_LOOP_LAG_SAMPLE_COUNT
        )

    def share_channel(
        self,
        address: str,
        channel: grpc.aio.Channel,
        get_last_received_at: Callable[[], float],
    ) -> None:
        """Lets calls to a peer use the channel of the link to it.

        Opening a separate connection would cost about 560 bytes, more than a
        call itself.

        Args:
            address: Address of the peer.
            channel: Channel of the link.
            get_last_received_at: Returns the monotonic time of the last message
                received on that link, in seconds.
        """
        self._shared[address] = SharedChannel(channel, get_last_received_at)

    def unshare_channel(self, address: str, channel: grpc.aio.Channel) -> None:
        """Stops further calls from using a link's channel."""
        shared = self._shared.get(address)
        if shared is not None and shared.channel is channel:
            del self._shared[address]

    def close_channel_after_calls(
        self, address: str, channel: grpc.aio.Channel
    ) -> None:
        """Closes a channel after the calls on it have ended.

        The timeout of one call does not mean that the other calls fail. If they
        were ended too, daemons that are all overloaded would end each other's
        calls and repeat them, which overloads them further, and none would
        finish its start.
        """
        self.unshare_channel(address, channel)
        if self._channels.get(address) is channel:
            del self._channels[address]
        # No call takes longer than a fetch.
        closing = asyncio.create_task(channel.close(grace=_MAX_FETCH_S))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
        stub_class: Any = control_pb2_grpc.ControlStub,
    ) -> Any:
        """Calls a method of the Control service, or of another, of a peer.

        Args:
            address: Address of the peer.
            method: Name of the method.
            request: The request.
            timeout_s: Longest wait for the reply, in seconds.
            stub_class: Generated stub of the service.

        Raises:
            PeerError: The call failed or timed out. Later calls use a new
                channel, because the connection may have gone silent while new
                connections work. The channel of a link that received a message
                during the call is kept.
        """
        channel = self._get_channel(address)
        stub = stub_class(channel)
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
        part_timeout_s: float,
        on_part: Callable[[], None],
    ) -> control_pb2.FetchReply:
        """Fetches a version from a peer while its parts keep arriving.

        Args:
            address: Address of the peer.
            request: The requested version.
            part_timeout_s: Maximum time between two parts, in seconds.
            on_part: Called after each received part.

        Raises:
            PeerError: The call failed, no part arrived in time, or the parts
                are corrupt.
        """
        channel = self._get_channel(address)
        call = control_pb2_grpc.ControlStub(channel).FetchParts(request)
        accounting.count_sent(
            _FETCH_PARTS_METHOD, request, accounting.CALL_OVERHEAD_BYTES
        )
        received = []
        try:
            async with (
                self._translate_errors(address, _FETCH_PARTS_METHOD, channel),
                asyncio.timeout(self._extend_timeout(_MAX_FETCH_S)),
            ):
                while part := await _read_part(
                    call, self._extend_timeout(part_timeout_s)
                ):
                    received.append(part)
                    self.last_received_at = time.monotonic()
                    accounting.count_received(_FETCH_PARTS_METHOD, part)
                    on_part()
        finally:
            call.cancel()
        if not received:
            # A daemon of an earlier release implements only Fetch.
            return await self.call(address, "Fetch", request, part_timeout_s)
        try:
            return parts.join_parts(received)
        except parts.BrokenPartsError as error:
            raise PeerError(
                f"{address}: {_FETCH_PARTS_METHOD}: {error}"
            ) from error

    @contextlib.asynccontextmanager
    async def _translate_errors(
        self, address: str, method: str, channel: grpc.aio.Channel
    ) -> AsyncIterator[None]:
        """Raises the errors of a call as `PeerError` and discards its channel.

        The channel of a link that received a message during the call is kept.
        """
        started_at = time.monotonic()
        try:
            yield
        except (grpc.aio.AioRpcError, TimeoutError) as error:
            if not self._has_received(address, channel, started_at):
                await self._discard_channel(address, channel)
            if _is_timeout(error):
                raise PeerSilentError(f"{address}: {method}: silent") from error
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name.lower()
            raise PeerError(f"{address}: {method}: {reason}") from error
        except asyncio.CancelledError:
            # If the channel is closed during the call, gRPC raises
            # `CancelledError` although this task is not cancelled. Propagated,
            # it would end the task.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise PeerError(f"{address}: {method}: channel dropped") from None

    def record_loop_lag(self, lag_s: float) -> None:
        """Records a sample of the event loop's lag, in seconds."""
        self._loop_lags_s.append(lag_s)

    def _extend_timeout(self, timeout_s: float) -> float:
        """Returns a timeout extended according to the lag of the event loop.

        An answer that has arrived still waits for iterations of the loop. With
        a fixed timeout, all calls of a daemon on a busy machine would time out,
        and repeating them would increase the lag further. The median of the
        recent samples is used, so that a single pause of the daemon does not
        extend timeouts.
        """
        return timeout_s + _LOOP_ITERATIONS_PER_CALL * statistics.median(
            self._loop_lags_s
        )

    async def close(self) -> None:
        """Closes all channels that are not shared with a link."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()
        for closing in self._closing:
            closing.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def refuses_connection(self, address: str, timeout_s: float) -> bool:
        """Returns whether a peer's host refuses a connection.

        Unlike silence, a refusal proves that the peer's process is gone and
        that the network path to its host works.
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
        """Closes the least recently used channels above the maximum."""
        while len(self._channels) > _MAX_IDLE_CHANNELS:
            _, channel = self._channels.popitem(last=False)
            await channel.close(grace=1.0)

    def _has_received(
        self, address: str, channel: grpc.aio.Channel, since: float
    ) -> bool:
        """Returns whether a channel's link has received a message since a time.

        If so, the connection works and the peer is only slow. Closing the
        channel would end the link and all other calls on it, which are being
        answered, and reopening them would slow the peer down further. False if
        the channel is not shared with a link.

        Args:
            address: Address of the peer.
            channel: Channel of the call.
            since: Monotonic time in seconds.
        """
        shared = self._shared.get(address)
        if shared is None or shared.channel is not channel:
            return False
        return shared.get_last_received_at() > since

    async def _discard_channel(
        self, address: str, channel: grpc.aio.Channel
    ) -> None:
        """Makes later calls to a peer use a new channel.

        A channel that is not shared with a link is closed after its calls have
        ended. The channel of a link is closed at once, because the link is
        silent too; the link ends and is reopened.
        """
        shared = self._shared.get(address)
        if shared is None or shared.channel is not channel:
            self.close_channel_after_calls(address, channel)
            return
        self.unshare_channel(address, channel)
        await channel.close()
