"""Tests of control calls, over the loopback interface."""

from __future__ import annotations

import asyncio
import time
import unittest

import grpc
import grpc.aio

from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc
from tests.versions import builders as version_builders


class SilentFirstProxy:
    """Forwards connections to a port, but drops requests on the first one."""

    def __init__(self, port: int):
        self.connections = 0
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Starts listening and returns the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Ends all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        silent = self.connections == 1
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        for source, sink, drop in (
            (reader, upstream_writer, silent),
            (upstream_reader, writer, False),
        ):
            task = asyncio.create_task(_copy(source, sink, drop))
            self._tasks.add(task)


async def _copy(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter, drop: bool
) -> None:
    while data := await source.read(65536):
        if not drop:
            sink.write(data)
    sink.close()


class PeerClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a daemon, some of them over a silent connection."""

    async def asyncSetUp(self) -> None:
        self.daemon = version_builders.Daemon(
            version_builders.FakeConfiguration()
        )
        await self.daemon.server.start(self.daemon.servicer)
        self.peer_client = peers_lib.PeerClient()
        self.request = control_pb2.ProbeRequest(member_id=self.daemon.id)

    async def asyncTearDown(self) -> None:
        await self.peer_client.close()
        await self.daemon.server.close(0)

    async def test_silent_connection_costs_one_timeout(self) -> None:
        """A connection went silent, while new connections to the daemon work.

        The first call times out. Later calls must use a new connection, or they
        would all time out too.
        """
        proxy = SilentFirstProxy(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        with self.assertRaises(peers_lib.PeerError):
            await self.peer_client.call(address, "Probe", self.request, 0.3)
        reply = await self.peer_client.call(address, "Probe", self.request, 5.0)
        self.assertTrue(reply.reached)
        self.assertEqual(proxy.connections, 2)

    async def test_channel_does_not_share_a_connection(self) -> None:
        """A link's connection went silent, and a call is made to its peer.

        By default, gRPC channels to the same target share a connection. The
        call would time out too, and the peer would be considered dead.
        """
        proxy = SilentFirstProxy(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        channel = peers_lib.open_channel(address)
        self.addAsyncCleanup(channel.close)
        probe = control_pb2_grpc.ControlStub(channel).Probe
        with self.assertRaises(grpc.aio.AioRpcError):
            await probe(self.request, timeout=0.3)
        reply = await self.peer_client.call(address, "Probe", self.request, 5.0)
        self.assertTrue(reply.reached)

    async def test_calls_on_a_discarded_channel_raise_peer_error(self) -> None:
        """Two calls share a silent channel, and one of them times out first.

        If discarding the channel cancels the other call, gRPC raises
        `CancelledError` in it although its task is not cancelled. Propagated,
        this would end the task of a link or a watcher without any log message.
        """
        proxy = SilentFirstProxy(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        calls = [
            self.peer_client.call(address, "Probe", self.request, timeout_s)
            for timeout_s in (0.2, 10.0)
        ]
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            results = await asyncio.gather(*calls, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, peers_lib.PeerError)

    async def call_over_shared_channel(
        self, last_received_after_s: float
    ) -> bool:
        """Makes a call that times out on the channel of a link.

        Args:
            last_received_after_s: Time when the link receives its last message,
                in seconds after the start of the call.

        Returns:
            Whether the channel of the link is still open.
        """
        proxy = SilentFirstProxy(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        channel = peers_lib.open_channel(address)
        self.addAsyncCleanup(channel.close)
        last_received_at = time.monotonic() + last_received_after_s
        self.peer_client.share_channel(
            address, channel, lambda: last_received_at
        )
        with self.assertRaises(peers_lib.PeerError):
            await self.peer_client.call(address, "Probe", self.request, 0.2)
        return channel.get_state() is not grpc.ChannelConnectivity.SHUTDOWN

    async def test_timeout_keeps_the_channel_of_a_live_link(self) -> None:
        """A busy peer answers a call too late, while its heartbeats arrive.

        If the timeout closed the channel, the link and all other calls on it
        would end too. Reopening them costs the busy peer more than the answer,
        so the next call would time out too.
        """
        self.assertTrue(await self.call_over_shared_channel(0.1))

    async def test_timeout_closes_the_channel_of_a_silent_link(self) -> None:
        self.assertFalse(await self.call_over_shared_channel(-0.1))

    async def answer_slowly(self, member_id: str) -> bool:
        """Answers a probe after 0.4 s, above the shortest test timeouts."""
        del member_id
        await asyncio.sleep(0.4)
        return True

    async def test_timeout_ends_no_other_call(self) -> None:
        """Guards against a timeout that ends other calls on the channel."""
        self.daemon.membership.probe = self.answer_slowly  # type: ignore[method-assign]
        request = control_pb2.ProbeRequest(member_id="127.0.0.1:1")
        long_call = asyncio.create_task(
            self.peer_client.call(self.daemon.id, "Probe", request, 10.0)
        )
        with self.assertRaises(peers_lib.PeerError):
            await self.peer_client.call(self.daemon.id, "Probe", request, 0.1)
        self.assertTrue((await long_call).reached)

    async def test_call_outlives_the_link_of_its_channel(self) -> None:
        """Guards against calls that fail when a silent link ends.

        Marks are recorded by such calls.
        """
        self.daemon.membership.probe = self.answer_slowly  # type: ignore[method-assign]
        request = control_pb2.ProbeRequest(member_id="127.0.0.1:1")
        channel = peers_lib.open_channel(self.daemon.id)
        self.peer_client.share_channel(self.daemon.id, channel, lambda: 0.0)
        call = asyncio.create_task(
            self.peer_client.call(self.daemon.id, "Probe", request, 10.0)
        )
        await asyncio.sleep(0.1)
        self.peer_client.close_channel_after_calls(self.daemon.id, channel)
        self.assertTrue((await call).reached)

    async def test_refused_connection_is_detected(self) -> None:
        self.assertFalse(
            await self.peer_client.refuses_connection(self.daemon.id, 5.0)
        )
        await self.daemon.server.close(0)
        self.assertTrue(
            await self.peer_client.refuses_connection(self.daemon.id, 5.0)
        )

    async def test_slow_event_loop_extends_the_timeout(self) -> None:
        """The event loop of a daemon on a busy machine lags.

        An answer that has arrived is processed only after the timeout. If the
        call failed because of this, all calls would be repeated, which would
        slow the loop down further.
        """

        async def answer_late(member_id: str) -> bool:
            del member_id
            await asyncio.sleep(0.3)
            return True

        self.daemon.membership.probe = answer_late  # type: ignore[method-assign]
        for _ in range(3):
            self.peer_client.record_loop_lag(1.0)
        reply = await self.peer_client.call(
            self.daemon.id,
            "Probe",
            control_pb2.ProbeRequest(member_id="127.0.0.1:1"),
            0.05,
        )
        self.assertTrue(reply.reached)

    async def test_single_pause_does_not_extend_the_timeout(self) -> None:
        """Guards against late timeouts after a single long pause."""
        proxy = SilentFirstProxy(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        self.peer_client.record_loop_lag(10_000.0)
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(peers_lib.PeerError):
                await self.peer_client.call(
                    address, "Probe", self.request, 0.01
                )


if __name__ == "__main__":
    unittest.main()
