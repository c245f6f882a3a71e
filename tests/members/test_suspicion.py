"""Tests of suspicion: who is judged, and by whom never."""

from __future__ import annotations

import time
from typing import Any
import unittest
from unittest import mock

from merlintrestle.members import links
from merlintrestle.members import peers
from merlintrestle.members import suspicion
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from tests.members import builders


class JudgeTest(unittest.IsolatedAsyncioTestCase):
    """One judge, five other members, calls over a fake network."""

    async def asyncSetUp(self) -> None:
        self.now = 0.0
        self.network = builders.FakeNetwork()
        self.table = table_lib.MemberTable(
            builders.build_member(1), clock=lambda: self.now
        )
        self.others = [builders.build_member(i) for i in range(2, 7)]
        for member in self.others:
            self.table.merge(member)
            self.add_answer(member.id)
        self.suspect = self.others[0].id
        self.links = links.Links(self.table, builders.FAST_TIMING)
        self.links.heard_at = time.monotonic()
        self.peers = builders.FakePeerClient(self.network, self.table.local_id)
        self.judge = suspicion.Judge(
            self.table, self.peers, self.links, builders.FAST_TIMING
        )

    def add_answer(self, own_id: str) -> None:
        def probe(request: control_pb2.ProbeRequest) -> control_pb2.ProbeReply:
            target = request.member_id
            reached = target == own_id or self.network.is_reachable(
                own_id, target
            )
            return control_pb2.ProbeReply(reached=reached)

        self.network.handlers[own_id] = {"Probe": probe}

    async def check(self, member_id: str) -> control_pb2.MemberState:
        self.judge.check_soon(member_id)
        for task in list(self.judge._checks.values()):
            await task
        member = self.table.get(member_id)
        assert member is not None
        return member.state

    async def test_silent_member_is_suspect_then_dead(self) -> None:
        self.network.silent.add(self.suspect)
        self.assertEqual(await self.check(self.suspect), control_pb2.SUSPECT)
        self.assertEqual(await self.check(self.suspect), control_pb2.SUSPECT)
        self.now += builders.FAST_TIMING.suspicion_timeout_s + 0.1
        self.judge.tick(0.05, 0.05)
        self.assertEqual(await self.check(self.suspect), control_pb2.DEAD)

    async def test_own_way_cut_is_no_suspicion(self) -> None:
        """Something between this daemon and one other lost their connection.

        The other runs well and everyone else reaches it. Without asking
        others, this daemon would have it declared dead in the whole fleet.
        """
        self.network.cut.add((self.table.local_id, self.suspect))
        self.assertEqual(await self.check(self.suspect), control_pb2.ALIVE)

    async def test_paused_daemon_suspects_no_one(self) -> None:
        """This daemon stood still for a minute and runs again.

        Its calls fail at first, as its connections timed out meanwhile. It
        must not spread suspicion of the others for its own pause.
        """
        self.network.silent.update(member.id for member in self.others)
        self.judge.tick(60.0, 0.05)
        self.assertEqual(await self.check(self.suspect), control_pb2.ALIVE)

    async def test_pause_does_not_time_suspects_out(self) -> None:
        """A member was suspect when this daemon was paused for a minute.

        The refutation came during the pause and waits to be read. The minute
        must not count as time in which the suspect kept quiet.
        """
        self.network.silent.add(self.suspect)
        await self.check(self.suspect)
        self.now += 60.0
        self.judge.tick(60.0, 0.05)
        self.assertLess(self.table.get_state_age(self.suspect), 1.0)

    async def test_daemon_that_hears_nobody_suspects_no_one(self) -> None:
        """The network card of this daemon's instance fails.

        Everyone is silent to it at once. The fault is its own, and its
        suspicions would go out when the card works again.
        """
        self.network.silent.update(member.id for member in self.others)
        self.links.heard_at = time.monotonic() - 60
        self.assertEqual(await self.check(self.suspect), control_pb2.ALIVE)

    async def test_busy_member_that_is_heard_is_no_suspect(self) -> None:
        """A member is so busy that it answers each call too late.

        Its heartbeats arrive meanwhile. Suspected, it would refute again and
        again, the fleet would pass that on, and all would be busier still.
        """
        self.network.silent.add(self.suspect)
        link = links.Link(self.suspect, outgoing=True)
        link.heard_at = time.monotonic() + 60
        self.links._links.append(link)
        self.assertEqual(await self.check(self.suspect), control_pb2.ALIVE)

    async def test_link_heard_before_the_check_is_no_proof(self) -> None:
        self.network.silent.add(self.suspect)
        link = links.Link(self.suspect, outgoing=True)
        link.heard_at = time.monotonic()
        self.links._links.append(link)
        self.assertEqual(await self.check(self.suspect), control_pb2.SUSPECT)

    async def test_refused_connection_is_proof_when_alone(self) -> None:
        """Of two daemons one dies; the other now hears nobody.

        The dead one's host refuses the connection, which no failure of the
        own network can cause.
        """
        self.network.refused.update(member.id for member in self.others)
        self.links.heard_at = time.monotonic() - 60
        self.assertEqual(await self.check(self.suspect), control_pb2.SUSPECT)

    async def list_limits(self, silent: set[str], checks: int) -> list[float]:
        """Checks a member; returns the time limits of all probes, in s."""
        limits = []
        call = self.peers.call

        async def note(
            address: str, method: str, request: Any, timeout_s: float
        ) -> Any:
            limits.append(timeout_s)
            if address in silent:
                raise peers.PeerSilentError("silent")
            return await call(address, method, request, timeout_s)

        with mock.patch.object(self.peers, "call", note):
            for _ in range(checks):
                await self.check(self.suspect)
        return limits

    async def test_probes_wait_longer_while_none_is_answered(self) -> None:
        """Guards against a busy fleet probing itself busier still."""
        everyone = {member.id for member in self.others}
        limits = await self.list_limits(everyone, 5)
        self.assertEqual(
            max(limits), 8 * 2 * builders.FAST_TIMING.call_timeout_s
        )
        limits = await self.list_limits(set(), 10)
        self.assertEqual(limits[-1], builders.FAST_TIMING.call_timeout_s)

    async def test_member_that_is_gone_lengthens_no_probe(self) -> None:
        """Guards against failed members found late after the first one."""
        self.network.silent.add(self.suspect)
        limits = await self.list_limits({self.suspect}, 6)
        self.assertLessEqual(
            max(limits), 2 * 2 * builders.FAST_TIMING.call_timeout_s
        )
        self.assertEqual(
            limits[-suspicion.HELPERS - 1], builders.FAST_TIMING.call_timeout_s
        )

    async def test_leaving_member_needs_no_suspicion_time(self) -> None:
        member = builders.build_member(2, 2, control_pb2.LEAVING)
        self.table.merge(member)
        self.network.refused.add(member.id)
        self.assertEqual(await self.check(member.id), control_pb2.DEAD)


if __name__ == "__main__":
    unittest.main()
