"""Tests of links and outboxes."""

from __future__ import annotations

import asyncio
import time
from typing import Any
import unittest

import grpc.aio

from merlintrestle.members import links as links_lib
from merlintrestle.members import outbox as outbox_lib
from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from tests.members import builders
from tests.versions import builders as version_builders


class FakeStream:
    """The daemon's stream to a simulated peer.

    Attributes:
        sent_by_daemon: Messages from the daemon to the peer.
        unread_by_daemon: Messages from the peer that the daemon has not read.
        peer_stopped_reading: Whether the peer has stopped reading.
        write_blocked_event: Set when a message is sent to a peer that does not
            read.
        peer_answers_messages: Whether the peer answers each message with a
            heartbeat.
    """

    def __init__(self) -> None:
        self.sent_by_daemon: list[control_pb2.LinkMessage] = []
        self.unread_by_daemon: asyncio.Queue[Any] = asyncio.Queue()
        self.write_blocked_event = asyncio.Event()
        self.peer_stopped_reading = False
        self.peer_answers_messages = False
        self._heartbeats: asyncio.Task[None] | None = None

    def start_heartbeats(self) -> None:
        """Makes the peer send heartbeats whether or not it reads."""
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Stops the heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            self.unread_by_daemon.put_nowait(control_pb2.LinkMessage())
            await asyncio.sleep(builders.FAST_TIMING.heartbeat_interval_s)

    async def read(self) -> Any:
        """Returns the next message from the peer."""
        return await self.unread_by_daemon.get()

    async def write(self, message: control_pb2.LinkMessage) -> None:
        """Sends a message to the peer, or blocks if the peer does not read."""
        if self.peer_stopped_reading:
            self.write_blocked_event.set()
            await asyncio.Event().wait()
        self.sent_by_daemon.append(message)
        if self.peer_answers_messages:
            self.unread_by_daemon.put_nowait(control_pb2.LinkMessage())

    def list_strikes(self) -> list[str]:
        """Returns the crash ids of the strikes sent to the peer."""
        return [
            strike.crash_id
            for message in self.sent_by_daemon
            for strike in message.strikes
        ]

    def list_members(self) -> list[str]:
        """Returns the ids of the member records sent to the peer."""
        return [
            member.id
            for message in self.sent_by_daemon
            for member in message.members
        ]


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Links of a daemon with simulated peers."""

    async def asyncSetUp(self) -> None:
        self.table = builders.build_table()
        self.links = links_lib.Links(self.table, builders.FAST_TIMING)
        self.tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def open(self, peer_id: str) -> FakeStream:
        stream = FakeStream()
        stream.unread_by_daemon.put_nowait(
            control_pb2.LinkMessage(sender=peer_id)
        )
        link = links_lib.Link("", outgoing=False)
        run = self.links.run_link(link, stream.read, stream.write)
        self.tasks.append(asyncio.create_task(run))
        return stream

    async def test_silent_link_ends(self) -> None:
        """A NAT device or firewall has dropped the state of the connection.

        The connection stays open, and neither messages nor errors arrive. The
        link must end, so that it is reopened.
        """
        self.open("peer")
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]
        self.assertEqual(self.links.get_links(), [])

    async def test_link_to_a_peer_that_reads_nothing_ends(self) -> None:
        stream = self.open("peer")
        stream.peer_stopped_reading = True
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]

    async def test_slow_peer_delays_no_other_peer(self) -> None:
        """One neighbour reads nothing while member records change.

        The other neighbour must still receive the changes, and the outbox of
        the blocked neighbour must not grow with each change of a member.
        """
        slow, quick = self.open("slow"), self.open("quick")
        await version_builders.wait_until(lambda: bool(quick.sent_by_daemon))
        slow.peer_stopped_reading = True
        self.links.send_member(builders.build_member(2))
        await slow.write_blocked_event.wait()
        for incarnation in range(2, 50):
            self.links.send_member(builders.build_member(2, incarnation))
        await version_builders.wait_until(
            lambda: any(
                member.incarnation == 49
                for message in quick.sent_by_daemon
                for member in message.members
            )
        )
        link = self.links.get_links()[0]
        self.assertEqual(len(link.outbox.pop_message().members), 1)

    async def test_dropped_channel_ends_the_link_with_an_error(self) -> None:
        """A call on the same channel failed, and the channel was closed.

        gRPC raises `CancelledError` in the stream although the link's task is
        not cancelled. Propagated, it would end the task that reopens the link,
        and the neighbour would be lost without any log message.
        """
        stream = self.open("peer")

        async def read() -> None:
            raise asyncio.CancelledError

        link = links_lib.Link("peer", outgoing=True)
        with self.assertRaises(peers_lib.PeerError):
            await self.links.run_link(link, read, stream.write)

    async def test_write_after_the_end_raises_a_peer_error(self) -> None:
        """The peer ended the stream, and this daemon has not read the end yet.

        If this daemon sends a heartbeat first, gRPC raises `InvalidStateError`.
        Propagated, it would end the task that reopens the link. One neighbour
        after the other would be lost permanently, until this daemon received no
        messages at all.
        """
        stream = self.open("peer")

        async def write(message: control_pb2.LinkMessage) -> None:
            raise asyncio.InvalidStateError("RPC already finished.")

        link = links_lib.Link("peer", outgoing=True)
        with self.assertRaises(peers_lib.PeerError):
            await self.links.run_link(link, stream.read, write)

    async def test_flush_ends_when_all_updates_are_sent(self) -> None:
        stream = self.open("peer")
        await version_builders.wait_until(lambda: bool(stream.sent_by_daemon))
        member = builders.build_member(7)
        self.links.send_member(member)
        await self.links.flush(60)
        sent = [
            record
            for message in stream.sent_by_daemon
            for record in message.members
        ]
        self.assertIn(member, sent)

    async def test_heartbeats_keep_an_idle_link(self) -> None:
        stream = self.open("peer")
        await version_builders.wait_until(
            lambda: len(stream.sent_by_daemon) >= 3
        )
        self.assertEqual(stream.sent_by_daemon[0].sender, self.table.local_id)
        self.assertEqual(stream.sent_by_daemon[1].sender, "")

    async def test_end_of_stream_ends_the_link(self) -> None:
        stream = self.open("peer")
        stream.unread_by_daemon.put_nowait(grpc.aio.EOF)
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            await self.tasks[0]

    async def test_an_odd_message_ends_no_link(self) -> None:
        """Guards against a neighbour that one message cuts off."""
        received = []

        def receive(_: Any, message: control_pb2.LinkMessage) -> None:
            received.append(message.members_digest)
            if message.members_digest == 1:
                raise ValueError("odd")

        self.links.on_message.append(receive)
        stream = self.open("peer")
        with self.assertLogs("merlintrestle.application", "ERROR"):
            for digest in (1, 2):
                stream.unread_by_daemon.put_nowait(
                    control_pb2.LinkMessage(members_digest=digest)
                )
            await version_builders.wait_until(lambda: 2 in received)
        self.assertFalse(self.tasks[0].done())

    async def test_strike_is_forwarded_once(self) -> None:
        """A daemon receives the same strike from several neighbours.

        If it forwarded the strike each time, strikes would circulate in the
        fleet endlessly, and every daemon would count a crash many times.
        """
        received_ids: list[str] = []
        self.links.on_strike.append(
            lambda new_strike: received_ids.append(new_strike.crash_id)
        )
        first, second = self.open("one"), self.open("other")
        until_ms = time.time_ns() // 10**6 + 60_000
        strike = control_pb2.Strike(
            request_digest=b"d", crash_id="c", until_ms=until_ms
        )
        for stream in (first, second, first):
            stream.unread_by_daemon.put_nowait(
                control_pb2.LinkMessage(strikes=[strike])
            )
        await version_builders.wait_until(
            lambda: (
                first.unread_by_daemon.empty() and bool(second.list_strikes())
            )
        )
        self.links.send_strike(strike)
        await version_builders.wait_until(
            lambda: (
                min(len(first.sent_by_daemon), len(second.sent_by_daemon)) >= 5
            )
        )
        self.assertEqual(received_ids, ["c"])
        self.assertEqual(second.list_strikes(), ["c"])
        self.assertEqual(first.list_strikes(), [])

    async def test_pause_of_this_daemon_is_not_silence(self) -> None:
        """This daemon is paused for longer than the silence timeout.

        When it resumes, it has not read the messages that arrived during the
        pause. If the timeout used the clock, the daemon would end all its links
        at once and suspect the peers because of its own pause.
        """
        stream = self.open("peer")
        stream.peer_answers_messages = True
        await version_builders.wait_until(
            lambda: len(stream.sent_by_daemon) >= 2
        )
        time.sleep(2 * builders.FAST_TIMING.silence_timeout_s)  # noqa: ASYNC251
        sent = len(stream.sent_by_daemon)
        await version_builders.wait_until(
            lambda: len(stream.sent_by_daemon) >= sent + 9
        )
        self.assertFalse(self.tasks[0].done())

    async def test_link_to_a_peer_that_only_sends_ends(self) -> None:
        """Messages from this daemon are lost, but those from the peer arrive.

        If the link did not end, the peer would not receive new versions and
        member records on it.
        """
        stream = self.open("peer")
        stream.peer_stopped_reading = True
        await stream.write_blocked_event.wait()
        stream.start_heartbeats()
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]
        stream.close()


class OutboxTest(unittest.TestCase):
    """The outbox coalesces updates and limits the size of messages."""

    def test_keeps_the_newest_record_of_each_member(self) -> None:
        outbox = outbox_lib.Outbox()
        for incarnation in (2, 3, 1):
            outbox.add_member(builders.build_member(2, incarnation))
        message = outbox.pop_message()
        self.assertEqual(
            [member.incarnation for member in message.members], [3]
        )
        self.assertFalse(outbox.pending_event.is_set())

    def test_drops_records_known_to_the_peer(self) -> None:
        outbox = outbox_lib.Outbox()
        outbox.add_member(builders.build_member(2, 2))
        outbox.drop_known(builders.build_member(2, 1))
        self.assertEqual(len(outbox.pop_message().members), 1)
        outbox.add_member(builders.build_member(2, 2))
        outbox.drop_known(builders.build_member(2, 2))
        self.assertEqual(len(outbox.pop_message().members), 0)

    def test_limits_a_message_and_keeps_the_remaining_records(self) -> None:
        outbox = outbox_lib.Outbox()
        for number in range(outbox_lib.MAX_MEMBERS_PER_MESSAGE + 1):
            outbox.add_member(builders.build_member(number))
        self.assertEqual(
            len(outbox.pop_message().members),
            outbox_lib.MAX_MEMBERS_PER_MESSAGE,
        )
        self.assertTrue(outbox.pending_event.is_set())
        self.assertEqual(len(outbox.pop_message().members), 1)


if __name__ == "__main__":
    unittest.main()
