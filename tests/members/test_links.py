"""Tests of links: silence, slow peers and strikes."""

from __future__ import annotations

import asyncio
import time
from typing import Any
import unittest

import grpc.aio

from merlintrestle.members import links as links_lib
from merlintrestle.members import outbox
from merlintrestle.members import peers
from merlintrestle.schema import control_pb2
from tests.members import builders
from tests.versions import builders as version_builders


class Pipe:
    """The peer's end of a link."""

    def __init__(self) -> None:
        self.sent: list[control_pb2.LinkMessage] = []
        self.received: asyncio.Queue[Any] = asyncio.Queue()
        self.stuck = asyncio.Event()
        self.blocked = False
        self.peer_beats = False
        self._beating: asyncio.Task[None] | None = None

    def beat_alone(self) -> None:
        """Lets the peer send heartbeats, whatever it is sent."""
        self._beating = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Ends the heartbeats."""
        if self._beating is not None:
            self._beating.cancel()

    async def _beat(self) -> None:
        while True:
            self.received.put_nowait(control_pb2.LinkMessage())
            await asyncio.sleep(builders.FAST_TIMING.heartbeat_interval_s)

    async def read(self) -> Any:
        """Returns what the peer sent next."""
        return await self.received.get()

    async def write(self, message: control_pb2.LinkMessage) -> None:
        """Takes a message, unless the peer takes nothing more."""
        if self.blocked:
            self.stuck.set()
            await asyncio.Event().wait()
        self.sent.append(message)
        if self.peer_beats:
            self.received.put_nowait(control_pb2.LinkMessage())

    def list_strikes(self) -> list[str]:
        """Returns the strikes that arrived."""
        return [s.crash_id for m in self.sent for s in m.strikes]

    def list_members(self) -> list[str]:
        """Returns the ids of the records that arrived."""
        return [member.id for m in self.sent for member in m.members]


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Links of one daemon with peers that a test plays."""

    async def asyncSetUp(self) -> None:
        self.table = builders.build_table()
        self.links = links_lib.Links(self.table, builders.FAST_TIMING)
        self.tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def open(self, peer_id: str) -> Pipe:
        pipe = Pipe()
        pipe.received.put_nowait(control_pb2.LinkMessage(sender=peer_id))
        link = links_lib.Link("", outgoing=False)
        run = self.links.run_link(link, pipe.read, pipe.write)
        self.tasks.append(asyncio.create_task(run))
        return pipe

    async def test_silent_link_is_given_up(self) -> None:
        """Something between the two ends has lost track of the connection.

        It stays open for ever: nothing arrives and no error does. The link
        has to end by itself, so that a new one is opened.
        """
        self.open("peer")
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]
        self.assertEqual(self.links.get_links(), [])

    async def test_peer_that_takes_nothing_is_given_up(self) -> None:
        pipe = self.open("peer")
        pipe.blocked = True
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]

    async def test_slow_peer_holds_up_no_other(self) -> None:
        """One neighbour reads nothing while a member is announced.

        The other neighbour must get the news all the same, and the slow one's
        box must not grow with each change of the same member.
        """
        slow, quick = self.open("slow"), self.open("quick")
        await version_builders.wait_until(lambda: bool(quick.sent))
        slow.blocked = True
        self.links.send_member(builders.build_member(2))
        await slow.stuck.wait()
        for incarnation in range(2, 50):
            self.links.send_member(builders.build_member(2, incarnation))
        await version_builders.wait_until(
            lambda: any(
                member.incarnation == 49
                for message in quick.sent
                for member in message.members
            )
        )
        link = self.links.get_links()[0]
        self.assertEqual(len(link.outbox.take_message().members), 1)

    async def test_dropped_channel_ends_the_link_with_an_error(self) -> None:
        """A call on the same channel failed, and the channel was closed.

        gRPC raises that in the stream as if the link's own task were
        cancelled. Let through, it would end the task that opens links anew,
        and the neighbour would be lost without a word.
        """
        pipe = self.open("peer")

        async def read() -> None:
            raise asyncio.CancelledError

        link = links_lib.Link("peer", outgoing=True)
        with self.assertRaises(peers.PeerError):
            await self.links.run_link(link, read, pipe.write)

    async def test_write_after_the_end_is_the_peers_error(self) -> None:
        """The peer ended the stream, and this daemon was late to read that.

        Its next heartbeat comes first, and gRPC raises the error of a wrong
        use in it. Let through, it would end the task that opens links anew:
        the neighbour would be lost for good, one after the other, until this
        daemon hears nobody.
        """
        pipe = self.open("peer")

        async def write(message: control_pb2.LinkMessage) -> None:
            raise asyncio.InvalidStateError("RPC already finished.")

        link = links_lib.Link("peer", outgoing=True)
        with self.assertRaises(peers.PeerError):
            await self.links.run_link(link, pipe.read, write)

    async def test_flush_ends_when_all_were_told(self) -> None:
        pipe = self.open("peer")
        await version_builders.wait_until(lambda: bool(pipe.sent))
        member = builders.build_member(7)
        self.links.send_member(member)
        await self.links.flush(60)
        told = [one for message in pipe.sent for one in message.members]
        self.assertIn(member, told)

    async def test_heartbeats_keep_a_quiet_link(self) -> None:
        pipe = self.open("peer")
        await version_builders.wait_until(lambda: len(pipe.sent) >= 3)
        self.assertEqual(pipe.sent[0].sender, self.table.local_id)
        self.assertEqual(pipe.sent[1].sender, "")

    async def test_end_of_stream_ends_the_link(self) -> None:
        pipe = self.open("peer")
        pipe.received.put_nowait(grpc.aio.EOF)
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            await self.tasks[0]

    async def test_strike_is_spread_once(self) -> None:
        """A strike reaches a daemon from several neighbours.

        If each arrival were passed on, strikes would circle in the fleet for
        ever and every daemon would count one crash many times.
        """
        heard: list[str] = []
        self.links.on_strike.append(lambda s: heard.append(s.crash_id))
        one, other = self.open("one"), self.open("other")
        until = time.time_ns() // 10**6 + 60_000
        strike = control_pb2.Strike(
            request_digest=b"d", crash_id="c", until_ms=until
        )
        for pipe in (one, other, one):
            pipe.received.put_nowait(control_pb2.LinkMessage(strikes=[strike]))
        await version_builders.wait_until(
            lambda: one.received.empty() and bool(other.list_strikes())
        )
        self.links.send_strike(strike)
        await version_builders.wait_until(
            lambda: min(len(one.sent), len(other.sent)) >= 5
        )
        self.assertEqual(heard, ["c"])
        self.assertEqual(other.list_strikes(), ["c"])
        self.assertEqual(one.list_strikes(), [])

    async def test_own_pause_is_no_silence(self) -> None:
        """This daemon stands still for longer than a silent link is kept.

        What the peer sent meanwhile waits to be read when it runs again. If
        it went by the clock it would end all its links at once, and the peer
        would be suspected for the pause of another.
        """
        pipe = self.open("peer")
        pipe.peer_beats = True
        await version_builders.wait_until(lambda: len(pipe.sent) >= 2)
        time.sleep(2 * builders.FAST_TIMING.silence_timeout_s)  # noqa: ASYNC251
        sent = len(pipe.sent)
        await version_builders.wait_until(lambda: len(pipe.sent) >= sent + 9)
        self.assertFalse(self.tasks[0].done())

    async def test_peer_that_takes_nothing_but_talks_is_given_up(self) -> None:
        """Only what this daemon sends is lost, and the peer is heard.

        The peer would go on with old versions and member records for as long
        as the link stands.
        """
        pipe = self.open("peer")
        pipe.blocked = True
        await pipe.stuck.wait()
        pipe.beat_alone()
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            with self.assertRaises(TimeoutError):
                await self.tasks[0]
        pipe.close()


class OutboxTest(unittest.TestCase):
    """What waits for one peer."""

    def test_keeps_the_newest_record_of_each_member(self) -> None:
        box = outbox.Outbox()
        for incarnation in (2, 3, 1):
            box.add_member(builders.build_member(2, incarnation))
        message = box.take_message()
        self.assertEqual([m.incarnation for m in message.members], [3])
        self.assertFalse(box.filled.is_set())

    def test_drops_what_the_peer_knows(self) -> None:
        box = outbox.Outbox()
        box.add_member(builders.build_member(2, 2))
        box.drop_known(builders.build_member(2, 1))
        self.assertEqual(len(box.take_message().members), 1)
        box.add_member(builders.build_member(2, 2))
        box.drop_known(builders.build_member(2, 2))
        self.assertEqual(len(box.take_message().members), 0)

    def test_bounds_one_message_and_sends_the_rest(self) -> None:
        box = outbox.Outbox()
        for number in range(outbox.MAX_MEMBERS + 1):
            box.add_member(builders.build_member(number))
        self.assertEqual(len(box.take_message().members), outbox.MAX_MEMBERS)
        self.assertTrue(box.filled.is_set())
        self.assertEqual(len(box.take_message().members), 1)


if __name__ == "__main__":
    unittest.main()
