"""Tests of calls on channels, over loopback."""

from __future__ import annotations

import asyncio
import time
import unittest

import grpc
import grpc.aio

from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import control_pb2_grpc
from tests.versions import builders


class SilentFirst:
    """Forwards connections to a port, but the first goes silent for good."""

    def __init__(self, port: int):
        self.connections = 0
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens and returns the address."""
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
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        for source, sink, drop in (
            (reader, far_writer, silent),
            (far_reader, writer, False),
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


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that answers, and ways to it that do not."""

    async def asyncSetUp(self) -> None:
        self.daemon = builders.Daemon(builders.FakeConfiguration())
        await self.daemon.server.start(self.daemon.servicer)
        self.peers = peers_lib.PeerClient()
        self.request = control_pb2.ProbeRequest(member_id=self.daemon.id)

    async def asyncTearDown(self) -> None:
        await self.peers.close()
        await self.daemon.server.close(0)

    async def test_silent_connection_costs_one_deadline(self) -> None:
        """A connection went silent; new ones to the same daemon work.

        The first call runs into its deadline. The channel must be rebuilt
        with a connection of its own, or every later call ends the same way.
        """
        proxy = SilentFirst(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        with self.assertRaises(peers_lib.PeerError):
            await self.peers.call(address, "Probe", self.request, 0.3)
        reply = await self.peers.call(address, "Probe", self.request, 5.0)
        self.assertTrue(reply.reached)
        self.assertEqual(proxy.connections, 2)

    async def test_channel_has_a_connection_of_its_own(self) -> None:
        """A link's connection went silent, and a call is made to its peer.

        gRPC gives channels with one target the same connection unless told
        otherwise; the call would go silent too, and the peer look dead.
        """
        proxy = SilentFirst(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        channel = peers_lib.open_channel(address)
        self.addAsyncCleanup(channel.close)
        probe = control_pb2_grpc.ControlStub(channel).Probe
        with self.assertRaises(grpc.aio.AioRpcError):
            await probe(self.request, timeout=0.3)
        reply = await self.peers.call(address, "Probe", self.request, 5.0)
        self.assertTrue(reply.reached)

    async def test_call_in_flight_survives_a_dropped_channel(self) -> None:
        """Two calls share a channel; one runs into its deadline first.

        Dropping the channel cancels the other call. gRPC raises that as if
        the caller's own task were cancelled, which would end the task of a
        link or a watcher without a word.
        """
        proxy = SilentFirst(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        calls = [
            self.peers.call(address, "Probe", self.request, timeout)
            for timeout in (0.2, 10.0)
        ]
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            found = await asyncio.gather(*calls, return_exceptions=True)
        for error in found:
            self.assertIsInstance(error, peers_lib.PeerError)

    async def call_on_loan(self, heard_after_s: float) -> bool:
        """Calls over the channel of a link until the deadline.

        Args:
            heard_after_s: When the link is heard last, from the call on.

        Returns:
            Whether the link keeps its channel.
        """
        proxy = SilentFirst(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        channel = peers_lib.open_channel(address)
        self.addAsyncCleanup(channel.close)
        heard_at = time.monotonic() + heard_after_s
        self.peers.lend(address, channel, lambda: heard_at)
        with self.assertRaises(peers_lib.PeerError):
            await self.peers.call(address, "Probe", self.request, 0.2)
        return channel.get_state() is not grpc.ChannelConnectivity.SHUTDOWN

    async def test_slow_peer_keeps_the_link_that_hears_it(self) -> None:
        """A busy peer answers a call too late, while its heartbeats arrive.

        If the call took the channel down, the link and every other call on it
        would end too. To open them anew costs the busy peer more than the
        answer, so that the next call is late as well.
        """
        self.assertTrue(await self.call_on_loan(0.1))

    async def test_silent_link_loses_its_channel_to_a_call(self) -> None:
        self.assertFalse(await self.call_on_loan(-0.1))

    async def answer_slowly(self, member_id: str) -> bool:
        """Answers a probe after more than the shortest limits of the tests."""
        del member_id
        await asyncio.sleep(0.4)
        return True

    async def test_late_call_ends_no_other(self) -> None:
        """Guards against calls ended as another on their channel is late."""
        self.daemon.membership.probe = self.answer_slowly  # type: ignore[method-assign]
        request = control_pb2.ProbeRequest(member_id="127.0.0.1:1")
        long = asyncio.create_task(
            self.peers.call(self.daemon.id, "Probe", request, 10.0)
        )
        with self.assertRaises(peers_lib.PeerError):
            await self.peers.call(self.daemon.id, "Probe", request, 0.1)
        self.assertTrue((await long).reached)

    async def test_call_outlives_the_link_of_its_channel(self) -> None:
        """Guards against marks that are lost with a link given up as silent."""
        self.daemon.membership.probe = self.answer_slowly  # type: ignore[method-assign]
        request = control_pb2.ProbeRequest(member_id="127.0.0.1:1")
        channel = peers_lib.open_channel(self.daemon.id)
        self.peers.lend(self.daemon.id, channel, lambda: 0.0)
        call = asyncio.create_task(
            self.peers.call(self.daemon.id, "Probe", request, 10.0)
        )
        await asyncio.sleep(0.1)
        self.peers.retire(self.daemon.id, channel)
        self.assertTrue((await call).reached)

    async def test_refusal_is_told_from_an_answer(self) -> None:
        self.assertFalse(
            await self.peers.refuses_connection(self.daemon.id, 5.0)
        )
        await self.daemon.server.close(0)
        self.assertTrue(
            await self.peers.refuses_connection(self.daemon.id, 5.0)
        )

    async def test_late_daemon_takes_the_answer_that_has_come(self) -> None:
        """A daemon on a busy machine hears its peers though it is late.

        Its loop turns seldom, so the answer waits for its turn beyond the time
        limit. Taken for silence, every call would be made again, and that work
        makes it later still.
        """

        async def answer_late(member_id: str) -> bool:
            del member_id
            await asyncio.sleep(0.3)
            return True

        self.daemon.membership.probe = answer_late  # type: ignore[method-assign]
        for _ in range(3):
            self.peers.note_lateness(1.0)
        reply = await self.peers.call(
            self.daemon.id,
            "Probe",
            control_pb2.ProbeRequest(member_id="127.0.0.1:1"),
            0.05,
        )
        self.assertTrue(reply.reached)

    async def test_daemon_that_was_frozen_once_is_not_late(self) -> None:
        """Its calls to a silent peer end as soon as they usually do."""
        proxy = SilentFirst(self.daemon.server.port)
        address = await proxy.start()
        self.addAsyncCleanup(proxy.close)
        self.peers.note_lateness(10_000.0)
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            with self.assertRaises(peers_lib.PeerError):
                await self.peers.call(address, "Probe", self.request, 0.01)


if __name__ == "__main__":
    unittest.main()
