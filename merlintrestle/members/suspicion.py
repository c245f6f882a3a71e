"""Suspicion: deciding that a member has failed, and never by mistake."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING

from merlintrestle.members import peers as peers_lib
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import timing as timing_lib

logger = logging.getLogger(__name__)

# Daemons that are asked to reach a member which this one cannot reach.
HELPERS = 3


class Judge:
    """Checks members whose link was lost, and times suspects out."""

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.Peers,
        links: links_lib.Links,
        timing: timing_lib.Timing,
    ):
        self._table = table
        self._peers = peers
        self._links = links
        self._timing = timing
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._healthy_from = 0.0

    def tick(self, elapsed: float) -> None:
        """Times suspects out; called twice per heartbeat.

        Args:
            elapsed: Seconds since the call before.
        """
        late = elapsed - self._timing.heartbeat / 2
        if late > self._timing.pause:
            self._forgive(late)
        if not self._is_healthy():
            return
        for member in self._table.members():
            if member.state != control_pb2.SUSPECT:
                continue
            age = self._table.get_state_age(member.id)
            if age > self._timing.suspicion:
                logger.info("members: %s is dead", member.id)
                self._table.set_state(member.id, control_pb2.DEAD)

    def check_soon(self, member_id: str) -> None:
        """Starts a check of a member, unless one is under way."""
        member = self._table.get(member_id)
        if member is None or member.state == control_pb2.DEAD:
            return
        if member_id == self._table.own_id or member_id in self._checks:
            return
        task = asyncio.create_task(self._check(member_id))
        self._checks[member_id] = task
        task.add_done_callback(lambda _: self._checks.pop(member_id, None))

    async def reach(self, member_id: str) -> bool:
        """Calls a member directly; False if it does not answer."""
        request = control_pb2.ProbeRequest(member_id=member_id)
        return await self._probe(member_id, request, self._timing.call)

    async def _check(self, member_id: str) -> None:
        if await self.reach(member_id) or await self._reach_by_others(
            member_id
        ):
            return
        member = self._table.get(member_id)
        if member is None or not self._is_healthy():
            return
        if member.state == control_pb2.LEAVING:
            self._table.set_state(member_id, control_pb2.DEAD)
        elif member.state == control_pb2.ALIVE:
            logger.info("members: %s is suspect", member_id)
            self._table.set_state(member_id, control_pb2.SUSPECT)

    async def _reach_by_others(self, member_id: str) -> bool:
        """Asks other members, whose ways to it may work."""
        not_asked = (self._table.own_id, member_id)
        others = [
            member.id
            for member in self._table.members()
            if member.state == control_pb2.ALIVE and member.id not in not_asked
        ]
        helpers = random.sample(others, min(HELPERS, len(others)))
        request = control_pb2.ProbeRequest(member_id=member_id)
        # The helper's own call takes up to one deadline of it.
        answers = await asyncio.gather(
            *(
                self._probe(helper, request, self._timing.call * 2)
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
        try:
            reply = await self._peers.call(address, "Probe", request, timeout_s)
        except peers_lib.PeerError:
            return False
        return reply.reached

    def _is_healthy(self) -> bool:
        """Tells whether this daemon may judge others.

        A daemon that was paused, or that nobody reaches, sees everyone fall
        silent at once; it would declare the whole fleet dead.
        """
        now = time.monotonic()
        if now < self._healthy_from:
            return False
        return now - self._links.get_last_heard() < 2 * self._timing.silence

    def _forgive(self, late: float) -> None:
        logger.warning("members: this daemon was paused for %.1f s", late)
        self._healthy_from = time.monotonic() + self._timing.silence
        self._links.forgive_silence(late)
        self._table.delay_states(late)
