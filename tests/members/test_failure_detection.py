"""Tests of failure detection."""

from __future__ import annotations

import time
from typing import Any
import unittest
from unittest import mock

from merlintrestle.members import failure_detection
from merlintrestle.members import links as links_lib
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from tests.members import builders


class FailureDetectorTest(unittest.IsolatedAsyncioTestCase):
    """A failure detector and five other members on a fake network."""

    async def asyncSetUp(self) -> None:
        # Time of the table in seconds; links use `time.monotonic`.
        self.now = 0.0
        self.network = builders.FakeNetwork()
        self.table = table_lib.MemberTable(
            builders.build_member(1), get_time=lambda: self.now
        )
        self.other_members = [builders.build_member(i) for i in range(2, 7)]
        for member in self.other_members:
            self.table.merge(member)
            self.add_handler(member.id)
        self.target_id = self.other_members[0].id
        self.links = links_lib.Links(self.table, builders.FAST_TIMING)
        self.links.last_received_at = time.monotonic()
        self.peer_client = builders.FakePeerClient(
            self.network, self.table.local_id
        )
        self.detector = failure_detection.FailureDetector(
            self.table, self.peer_client, self.links, builders.FAST_TIMING
        )

    def add_handler(self, member_id: str) -> None:
        def probe(request: control_pb2.ProbeRequest) -> control_pb2.ProbeReply:
            target = request.member_id
            reached = target == member_id or self.network.is_reachable(
                member_id, target
            )
            return control_pb2.ProbeReply(reached=reached)

        self.network.handlers[member_id] = {"Probe": probe}

    async def check(self, member_id: str) -> control_pb2.MemberState:
        self.detector.start_check(member_id)
        for task in list(self.detector._checks.values()):
            await task
        member = self.table.get(member_id)
        assert member is not None
        return member.state

    async def test_silent_member_is_suspect_then_dead(self) -> None:
        self.network.silent.add(self.target_id)
        self.assertEqual(await self.check(self.target_id), control_pb2.SUSPECT)
        self.assertEqual(await self.check(self.target_id), control_pb2.SUSPECT)
        self.now += builders.FAST_TIMING.suspicion_timeout_s + 0.1
        self.detector.tick(0.05, 0.05)
        self.assertEqual(await self.check(self.target_id), control_pb2.DEAD)

    async def test_broken_local_path_causes_no_suspicion(self) -> None:
        """The network path between this daemon and a member is broken.

        The member works, and all other daemons can reach it. Without indirect
        probes, this daemon would declare it dead in the whole fleet.
        """
        self.network.cut.add((self.table.local_id, self.target_id))
        self.assertEqual(await self.check(self.target_id), control_pb2.ALIVE)

    async def test_paused_daemon_suspects_no_one(self) -> None:
        """This daemon was paused for a minute and has resumed.

        Its calls fail at first, because its connections have timed out. It must
        not suspect the other members because of its own pause.
        """
        self.network.silent.update(member.id for member in self.other_members)
        self.detector.tick(60.0, 0.05)
        self.assertEqual(await self.check(self.target_id), control_pb2.ALIVE)

    async def test_pause_does_not_count_towards_the_suspicion_timeout(
        self,
    ) -> None:
        """A member was suspect when this daemon was paused for a minute.

        Its refutation arrived during the pause and is still unread. The pause
        must not count towards the suspicion timeout.
        """
        self.network.silent.add(self.target_id)
        await self.check(self.target_id)
        self.now += 60.0
        self.detector.tick(60.0, 0.05)
        self.assertLess(self.table.get_record_age(self.target_id), 1.0)

    async def test_isolated_daemon_suspects_no_one(self) -> None:
        """The network interface of this daemon's instance fails.

        No other member answers any more, although only this instance has a
        fault. If this daemon suspected the members, it would send these records
        to the fleet as soon as the interface works again.
        """
        self.network.silent.update(member.id for member in self.other_members)
        self.links.last_received_at = time.monotonic() - 60
        self.assertEqual(await self.check(self.target_id), control_pb2.ALIVE)

    async def test_busy_member_that_sends_heartbeats_is_not_suspected(
        self,
    ) -> None:
        """A member is so busy that it answers every probe too late.

        Its heartbeats still arrive. If it were suspected, it would refute the
        suspicion repeatedly, and forwarding these records would make all
        daemons even busier.
        """
        self.network.silent.add(self.target_id)
        link = links_lib.Link(self.target_id, outgoing=True)
        # A time after the start of the check.
        link.last_received_at = time.monotonic() + 60
        self.links._links.append(link)
        self.assertEqual(await self.check(self.target_id), control_pb2.ALIVE)

    async def test_message_before_the_check_does_not_prevent_suspicion(
        self,
    ) -> None:
        self.network.silent.add(self.target_id)
        link = links_lib.Link(self.target_id, outgoing=True)
        link.last_received_at = time.monotonic()
        self.links._links.append(link)
        self.assertEqual(await self.check(self.target_id), control_pb2.SUSPECT)

    async def test_isolated_daemon_trusts_a_refused_connection(self) -> None:
        """All other daemons have died, so this daemon receives no messages.

        Their hosts refuse connections. A failure of the local network cannot
        cause this, so the daemons may be suspected.
        """
        self.network.refused.update(member.id for member in self.other_members)
        self.links.last_received_at = time.monotonic() - 60
        self.assertEqual(await self.check(self.target_id), control_pb2.SUSPECT)

    async def list_timeouts(
        self, silent_ids: set[str], check_count: int
    ) -> list[float]:
        """Checks the target; returns the timeouts of all probes in seconds.

        Args:
            silent_ids: Members that do not answer within the timeout.
            check_count: Number of checks.
        """
        timeouts_s = []
        call = self.peer_client.call

        async def record_timeout(
            address: str, method: str, request: Any, timeout_s: float
        ) -> Any:
            timeouts_s.append(timeout_s)
            if address in silent_ids:
                raise peers_lib.PeerSilentError("silent")
            return await call(address, method, request, timeout_s)

        with mock.patch.object(self.peer_client, "call", record_timeout):
            for _ in range(check_count):
                await self.check(self.target_id)
        return timeouts_s

    async def test_probe_timeout_grows_while_no_probe_is_answered(self) -> None:
        """Guards against probes that overload a busy fleet further.

        The maximum is eight times the timeout of an indirect probe, which is
        twice that of a direct one.
        """
        all_ids = {member.id for member in self.other_members}
        timeouts_s = await self.list_timeouts(all_ids, 5)
        self.assertEqual(
            max(timeouts_s), 8 * 2 * builders.FAST_TIMING.call_timeout_s
        )
        timeouts_s = await self.list_timeouts(set(), 10)
        self.assertEqual(timeouts_s[-1], builders.FAST_TIMING.call_timeout_s)

    async def test_single_failed_member_does_not_keep_the_timeout_raised(
        self,
    ) -> None:
        """Guards against slow detection of failures after the first one.

        Each check makes one direct probe, which may double the timeout, and
        then indirect probes with twice the timeout, whose answers reduce it
        again. The last direct probe has the normal timeout.
        """
        self.network.silent.add(self.target_id)
        timeouts_s = await self.list_timeouts({self.target_id}, 6)
        self.assertLessEqual(
            max(timeouts_s), 2 * 2 * builders.FAST_TIMING.call_timeout_s
        )
        self.assertEqual(
            timeouts_s[-failure_detection.INDIRECT_PROBE_COUNT - 1],
            builders.FAST_TIMING.call_timeout_s,
        )

    async def test_leaving_member_is_declared_dead_at_once(self) -> None:
        member = builders.build_member(2, 2, control_pb2.LEAVING)
        self.table.merge(member)
        self.network.refused.add(member.id)
        self.assertEqual(await self.check(member.id), control_pb2.DEAD)


if __name__ == "__main__":
    unittest.main()
