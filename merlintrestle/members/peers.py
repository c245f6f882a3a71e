"""Channels to other daemons, and calls on them with a deadline."""

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
# Longest time for all parts of a version, in seconds: one that comes byte by
# byte holds up no fetch from another peer for ever. A link of 0.4 MB/s carries
# 4 MB in it, some 25 MB of records.
_ARRIVAL_S = 10.0
# Channels kept open besides those of links.
_MAX_IDLE_CHANNELS = 6
_CONNECT_MS = 1000
_RECONNECT_MS = 100

# Turns of the event loop that a call takes at both ends together.
_TURNS = 20
# Looks at the lateness of the event loop that are remembered.
_LOOKS = 3

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", _RECONNECT_MS),
    ("grpc.min_reconnect_backoff_ms", _CONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", _CONNECT_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.http2.bdp_probe", 0),
    # Channels share connections unless told otherwise: a channel that is
    # rebuilt because its connection went silent would get the same one again.
    ("grpc.use_local_subchannel_pool", 1),
]


class Loan(NamedTuple):
    """A channel that a link lends to calls.

    Attributes:
        channel: The channel.
        get_heard_at: Returns the monotonic time of the last message on the
            link, in seconds.
    """

    channel: grpc.aio.Channel
    get_heard_at: Callable[[], float]


class PeerError(errors.MerlintrestleError):
    """A peer did not answer a control call."""


class PeerSilentError(PeerError):
    """Nothing came from a peer within the time limit of a call."""


def open_channel(address: str) -> grpc.aio.Channel:
    """Opens a channel with a connection of its own."""
    return grpc.aio.insecure_channel(address, options=_OPTIONS)


def _is_late(error: grpc.aio.AioRpcError | TimeoutError) -> bool:
    if isinstance(error, TimeoutError):
        return True
    return error.code() is grpc.StatusCode.DEADLINE_EXCEEDED


async def refuses_connection(address: str, timeout_s: float) -> bool:
    """Tells whether the host of an address refuses the connection."""
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


async def _read_part(call: Any, pause_s: float) -> Any:
    """Returns the next part; None: no more, or the peer knows of no parts.

    Raises:
        TimeoutError: None came within the pause.
        grpc.aio.AioRpcError: The call failed.
    """
    try:
        async with asyncio.timeout(pause_s):
            part = await call.read()
    except grpc.aio.AioRpcError as error:
        if error.code() == grpc.StatusCode.UNIMPLEMENTED:
            return None
        raise
    return None if part is grpc.aio.EOF else part


class PeerClient:
    """Calls other daemons; keeps a bounded number of channels.

    Attributes:
        heard_at: Monotonic time of the last answer, in seconds.
    """

    def __init__(self) -> None:
        self.heard_at = 0.0
        self._channels: collections.OrderedDict[str, grpc.aio.Channel] = (
            collections.OrderedDict()
        )
        self._lent: dict[str, Loan] = {}
        self._retiring: set[asyncio.Task[None]] = set()
        self._lateness = collections.deque([0.0] * _LOOKS, maxlen=_LOOKS)

    def lend(
        self,
        address: str,
        channel: grpc.aio.Channel,
        get_heard_at: Callable[[], float],
    ) -> None:
        """Lets calls to a peer use the channel of its link.

        A connection of their own costs some 560 bytes to open, more than the
        call itself.

        Args:
            address: The peer.
            channel: The channel of the link.
            get_heard_at: Returns the monotonic time of the last message on
                that link, in seconds.
        """
        self._lent[address] = Loan(channel, get_heard_at)

    def take_back(self, address: str, channel: grpc.aio.Channel) -> None:
        """Ends the use of a link's channel."""
        loan = self._lent.get(address)
        if loan is not None and loan.channel is channel:
            del self._lent[address]

    def retire(self, address: str, channel: grpc.aio.Channel) -> None:
        """Closes a channel once the calls on it have ended.

        One that is late says nothing about the others. Were they ended with
        it, daemons that all are late would end each other's calls and make
        them anew, which makes them later still, and none would come up.
        """
        self.take_back(address, channel)
        if self._channels.get(address) is channel:
            del self._channels[address]
        closing = asyncio.create_task(channel.close(grace=_ARRIVAL_S))
        self._retiring.add(closing)
        closing.add_done_callback(self._retiring.discard)

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Calls one method of the Control service of a peer.

        Raises:
            PeerError: No answer within the time. The channel is dropped, for
                its connection may have gone silent while new ones work.
        """
        channel = self._get_channel(address)
        stub = control_pb2_grpc.ControlStub(channel)
        accounting.count_sent(method, request, accounting.CALL_OVERHEAD_BYTES)
        async with self._guard(address, method, channel):
            reply = await getattr(stub, method)(
                request, timeout=self._extend(timeout_s)
            )
        self.heard_at = time.monotonic()
        accounting.count_received(method, reply, accounting.CALL_OVERHEAD_BYTES)
        return reply

    async def fetch(
        self,
        address: str,
        request: control_pb2.FetchRequest,
        pause_s: float,
        note_part: Callable[[], None],
    ) -> control_pb2.FetchReply:
        """Fetches a version from a peer for as long as its parts keep coming.

        Args:
            address: The peer.
            request: What is wanted.
            pause_s: Longest wait for the next part, in seconds.
            note_part: Called with each part that came.

        Raises:
            PeerError: No part came within the pause, or they are broken.
        """
        channel = self._get_channel(address)
        call = control_pb2_grpc.ControlStub(channel).FetchParts(request)
        accounting.count_sent(_FETCH, request, accounting.CALL_OVERHEAD_BYTES)
        came = []
        try:
            async with (
                self._guard(address, _FETCH, channel),
                asyncio.timeout(self._extend(_ARRIVAL_S)),
            ):
                while part := await _read_part(call, self._extend(pause_s)):
                    came.append(part)
                    self.heard_at = time.monotonic()
                    accounting.count_received(_FETCH, part)
                    note_part()
        finally:
            call.cancel()
        if not came:
            # A daemon of an earlier release gives versions whole alone.
            return await self.call(address, "Fetch", request, pause_s)
        try:
            return parts.join(came)
        except parts.BrokenPartsError as error:
            raise PeerError(f"{address}: {_FETCH}: {error}") from error

    @contextlib.asynccontextmanager
    async def _guard(
        self, address: str, method: str, channel: grpc.aio.Channel
    ) -> AsyncIterator[None]:
        """Turns what ends a call into `PeerError` and drops its channel.

        The channel of a link that was heard meanwhile is left alone.
        """
        began = time.monotonic()
        try:
            yield
        except (grpc.aio.AioRpcError, TimeoutError) as error:
            if not self._is_heard(address, channel, began):
                await self._drop(address, channel)
            if _is_late(error):
                raise PeerSilentError(f"{address}: {method}: silent") from error
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name.lower()
            raise PeerError(f"{address}: {method}: {reason}") from error
        except asyncio.CancelledError:
            # Another call dropped the channel: gRPC then raises in this one
            # as if its task were cancelled, which would end that task.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise PeerError(f"{address}: {method}: channel dropped") from None

    def note_lateness(self, late_s: float) -> None:
        """Notes by how much the event loop was late at a look, in seconds."""
        self._lateness.append(late_s)

    def _extend(self, timeout_s: float) -> float:
        """Returns a time limit that allows for the lateness of this daemon.

        An answer that has arrived waits for its turns of the loop. By the clock
        alone, a daemon on a busy machine would hear none of its peers, ask
        them all again, and be later still. What counts is the usual lateness
        of the last looks: a daemon that was frozen once is not late any more.
        """
        return timeout_s + _TURNS * statistics.median(self._lateness)

    async def close(self) -> None:
        """Closes all channels."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()
        for closing in self._retiring:
            closing.cancel()
        await asyncio.gather(*self._retiring, return_exceptions=True)

    async def refuses_connection(self, address: str, timeout_s: float) -> bool:
        """Tells whether the peer's host refuses the connection.

        That is proof that the process is gone and that the way to its host
        works, which silence is not.
        """
        return await refuses_connection(address, timeout_s)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        loan = self._lent.get(address)
        if loan is not None:
            return loan.channel
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        return channel

    async def trim(self) -> None:
        """Closes the channels that were used longest ago."""
        while len(self._channels) > _MAX_IDLE_CHANNELS:
            _, channel = self._channels.popitem(last=False)
            await channel.close(grace=1.0)

    def _is_heard(
        self, address: str, channel: grpc.aio.Channel, since: float
    ) -> bool:
        """Tells whether the link that lent a channel was heard since a time.

        Its connection is not silent then, the peer is only slow. To drop the
        channel would end the link and all other calls on it, which are being
        answered, and what it costs to open both anew makes the peer slower.
        """
        loan = self._lent.get(address)
        if loan is None or loan.channel is not channel:
            return False
        return loan.get_heard_at() > since

    async def _drop(self, address: str, channel: grpc.aio.Channel) -> None:
        """Drops a channel; if it was lent, its link ends and starts anew."""
        loan = self._lent.get(address)
        if loan is None or loan.channel is not channel:
            self.retire(address, channel)
            return
        self.take_back(address, channel)
        await channel.close()
