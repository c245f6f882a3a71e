"""Suspicion: deciding that a member has failed, and never by mistake."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import timing as timing_lib

events = event_logs.EventLog("members")

# Daemons that are asked to reach a member which this one cannot reach.
HELPERS = 3
# Longest time limit of a probe, in multiples of the usual one.
_MOST_LENIENCY = 8


class Judge:
    """Checks members whose link was lost, and times suspects out."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.PeerClient,
        links: links_lib.Links,
        timing: timing_lib.Timing,
    ):
        self._table = table
        self._peers = peers
        self._links = links
        self._timing = timing
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._healthy_from = 0.0
        self._leniency = 1

    async def close(self) -> None:
        """Ends the checks under way."""
        checks = list(self._checks.values())
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    def tick(self, elapsed: float, expected: float) -> None:
        """Looks at the suspects; called twice per heartbeat.

        Args:
            elapsed: Seconds since the call before.
            expected: Seconds that it should have been.
        """
        if elapsed - expected > self._timing.pause_threshold_s:
            self._forgive(elapsed - expected)
        for member_id in self._table.suspects():
            age = self._table.get_state_age(member_id)
            if age > self._timing.suspicion_timeout_s:
                self.check_soon(member_id)

    def check_soon(self, member_id: str) -> None:
        """Starts a check of a member, unless one is under way."""
        member = self._table.get(member_id)
        if member is None or table_lib.is_dead(member):
            return
        if member_id == self._table.local_id or member_id in self._checks:
            return
        task = asyncio.create_task(self._check(member_id))
        self._checks[member_id] = task
        task.add_done_callback(lambda _: self._checks.pop(member_id, None))

    async def reach(self, member_id: str) -> bool:
        """Calls a member directly; False if it does not answer."""
        request = control_pb2.ProbeRequest(member_id=member_id)
        return await self._probe(
            member_id, request, self._timing.call_timeout_s
        )

    async def _check(self, member_id: str) -> None:
        began = time.monotonic()
        if await self.reach(member_id) or self._is_heard(member_id, began):
            return
        if await self._reach_by_others(member_id):
            return
        if self._is_heard(member_id, began):
            return
        if await self._may_judge(member_id):
            self._judge(member_id)

    def _is_heard(self, member_id: str, since: float) -> bool:
        """Tells whether a link brought a message of a member meanwhile.

        A busy member answers a call too late and is alive all the same. To
        suspect it makes it refute, the whole fleet pass that on, and everyone
        mark with it anew; that work makes it, and others, busier still.
        """
        return self._links.is_heard(member_id, since)

    def _judge(self, member_id: str) -> None:
        """Takes an unreachable member one state further."""
        member = self._table.get(member_id)
        if member is None:
            return
        if member.state == control_pb2.ALIVE:
            events.note("member suspected", member=member_id)
            self._table.set_state(member_id, control_pb2.SUSPECT)
            return
        age = self._table.get_state_age(member_id)
        suspect = member.state == control_pb2.SUSPECT
        if suspect and age <= self._timing.suspicion_timeout_s:
            return
        events.note("member dead", member=member_id, suspected_s=age)
        self._table.set_state(member_id, control_pb2.DEAD)

    async def _reach_by_others(self, member_id: str) -> bool:
        """Asks other members, whose ways to it may work."""
        not_asked = (self._table.local_id, member_id)
        others = [
            name
            for name in self._table.list_usable_ids()
            if name not in not_asked
        ]
        helpers = random.sample(others, min(HELPERS, len(others)))
        request = control_pb2.ProbeRequest(member_id=member_id)
        # The helper's own call takes up to one deadline of it.
        answers = await asyncio.gather(
            *(
                self._probe(helper, request, self._timing.call_timeout_s * 2)
                for helper in helpers
            )
        )
        return any(answers)

    async def _probe(
        self,
        address: str,
        request: control_pb2.ProbeRequest,
        timeout_s: float,
    ) -> bool:
        """Returns whether a probe brings that its member was reached.

        Where probes go unanswered one after the other, it is rather this daemon
        that is slow, or the whole machine. Sent anew at the same pace, they
        would be the work that makes it slower still. One that is gone does not
        lengthen them: the other members asked about it answer.
        """
        limit_s = timeout_s * self._leniency
        try:
            reply = await self._peers.call(address, "Probe", request, limit_s)
        except peers_lib.PeerSilentError:
            self._leniency = min(self._leniency + 1, _MOST_LENIENCY)
            return False
        except peers_lib.PeerError:
            return False
        self._leniency = max(1, self._leniency - 1)
        return reply.reached

    async def _may_judge(self, member_id: str) -> bool:
        """Tells whether this daemon may judge another.

        A daemon that was paused, or that hears nobody, sees everyone fall
        silent at once; it would declare the whole fleet dead. A refused
        connection is proof all the same.
        """
        now = time.monotonic()
        if now < self._healthy_from:
            return False
        heard_at = max(self._links.heard_at, self._peers.heard_at)
        if now - heard_at < 2 * self._timing.silence_timeout_s:
            return True
        return await self._peers.refuses_connection(
            member_id, self._timing.call_timeout_s
        )

    def _forgive(self, late: float) -> None:
        events.warn("paused", late_s=late)
        self._healthy_from = time.monotonic() + self._timing.silence_timeout_s
        self._table.delay_states(late)
