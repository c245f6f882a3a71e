"""Failure detection for members, designed to avoid false positives."""

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

# Number of daemons asked to probe a member that this daemon cannot reach.
INDIRECT_PROBE_COUNT = 3
# Maximum timeout of a probe, as a multiple of the normal one.
_MAX_TIMEOUT_FACTOR = 8


class FailureDetector:
    """Suspects members that cannot be reached and declares them dead.

    Checks each member whose link was lost, and each suspect member that has not
    refuted the suspicion by announcing a higher incarnation.
    """

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
        self._no_suspicion_until = 0.0
        self._timeout_factor = 1

    async def close(self) -> None:
        """Cancels the running checks."""
        checks = list(self._checks.values())
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    def tick(self, elapsed_s: float, expected_s: float) -> None:
        """Checks suspect members whose suspicion timeout has passed.

        Called twice per heartbeat interval.

        Args:
            elapsed_s: Actual time since the previous call, in seconds.
            expected_s: Expected time since the previous call, in seconds.
        """
        if elapsed_s - expected_s > self._timing.pause_threshold_s:
            self._handle_pause(elapsed_s - expected_s)
        for member_id in self._table.list_suspects():
            age_s = self._table.get_record_age(member_id)
            if age_s > self._timing.suspicion_timeout_s:
                self.start_check(member_id)

    def start_check(self, member_id: str) -> None:
        """Starts a check of a member unless one is running."""
        member = self._table.get(member_id)
        if member is None or table_lib.is_dead(member):
            return
        if member_id == self._table.local_id or member_id in self._checks:
            return
        task = asyncio.create_task(self._check(member_id))
        self._checks[member_id] = task
        task.add_done_callback(lambda _: self._checks.pop(member_id, None))

    async def probe(self, member_id: str) -> bool:
        """Probes a member directly; False if it does not answer."""
        request = control_pb2.ProbeRequest(member_id=member_id)
        return await self._send_probe(
            member_id, request, self._timing.call_timeout_s
        )

    async def _check(self, member_id: str) -> None:
        started_at = time.monotonic()
        if await self.probe(member_id) or self._has_sent(member_id, started_at):
            return
        if await self._probe_indirectly(member_id):
            return
        if self._has_sent(member_id, started_at):
            return
        if await self._may_advance_state(member_id):
            self._advance_state(member_id)

    def _has_sent(self, member_id: str, since: float) -> bool:
        """Returns whether a member has sent a message on a link since a time.

        A busy member may answer a probe too late although it is alive. A
        suspicion would add load to the whole fleet: the member refutes it, all
        daemons forward the refutation, and they send their marks to the member
        again (see `versions.marks`).

        Args:
            member_id: The member.
            since: Monotonic time in seconds.
        """
        return self._links.has_sent(member_id, since)

    def _advance_state(self, member_id: str) -> None:
        """Changes the state of an unreachable member.

        An alive member becomes suspect. A suspect member becomes dead, but only
        after the suspicion timeout. A member in another state, such as a
        leaving one, becomes dead at once.
        """
        member = self._table.get(member_id)
        if member is None:
            return
        if member.state == control_pb2.ALIVE:
            events.note("member suspected", member=member_id)
            self._table.set_state(member_id, control_pb2.SUSPECT)
            return
        age_s = self._table.get_record_age(member_id)
        suspect = member.state == control_pb2.SUSPECT
        if suspect and age_s <= self._timing.suspicion_timeout_s:
            return
        events.note("member dead", member=member_id, suspected_s=age_s)
        self._table.set_state(member_id, control_pb2.DEAD)

    async def _probe_indirectly(self, member_id: str) -> bool:
        """Asks other members to probe a member over their network paths."""
        excluded_ids = (self._table.local_id, member_id)
        candidates = [
            usable_id
            for usable_id in self._table.list_usable_ids()
            if usable_id not in excluded_ids
        ]
        helper_ids = random.sample(
            candidates, min(INDIRECT_PROBE_COUNT, len(candidates))
        )
        request = control_pb2.ProbeRequest(member_id=member_id)
        # Twice the call timeout, because the helper's own probe of the member
        # may take one call timeout.
        answers = await asyncio.gather(
            *(
                self._send_probe(
                    helper_id, request, self._timing.call_timeout_s * 2
                )
                for helper_id in helper_ids
            )
        )
        return any(answers)

    async def _send_probe(
        self,
        peer_id: str,
        request: control_pb2.ProbeRequest,
        timeout_s: float,
    ) -> bool:
        """Sends a probe to a daemon; returns whether the member was reached.

        The timeout grows with each probe that gets no answer. Several such
        probes in succession usually mean that this daemon or the whole machine
        is slow, and repeating them at the same rate would slow it down further.
        A single failed member does not keep the timeout raised, because the
        members that are asked to probe it answer.

        Args:
            peer_id: Id of the daemon that receives the probe.
            request: The probe, with the id of the member to reach.
            timeout_s: Timeout in seconds if earlier probes were answered.
        """
        extended_timeout_s = timeout_s * self._timeout_factor
        try:
            reply = await self._peers.call(
                peer_id, "Probe", request, extended_timeout_s
            )
        except peers_lib.PeerSilentError:
            self._timeout_factor = min(
                self._timeout_factor + 1, _MAX_TIMEOUT_FACTOR
            )
            return False
        except peers_lib.PeerError:
            return False
        self._timeout_factor = max(1, self._timeout_factor - 1)
        return reply.reached

    async def _may_advance_state(self, member_id: str) -> bool:
        """Returns whether this daemon may change the state of a member.

        A daemon that was paused or that receives no messages gets no answer
        from any member and would declare the whole fleet dead. A refused
        connection proves that the member's process is gone even if this daemon
        receives no messages.
        """
        now = time.monotonic()
        if now < self._no_suspicion_until:
            return False
        last_received_at = max(
            self._links.last_received_at, self._peers.last_received_at
        )
        # Twice the timeout after which a silent link ends: until then, this
        # daemon counts as connected.
        if now - last_received_at < 2 * self._timing.silence_timeout_s:
            return True
        return await self._peers.refuses_connection(
            member_id, self._timing.call_timeout_s
        )

    def _handle_pause(self, late_s: float) -> None:
        events.warn("paused", late_s=late_s)
        # Calls fail at first, because connections timed out during the pause.
        self._no_suspicion_until = (
            time.monotonic() + self._timing.silence_timeout_s
        )
        self._table.shift_record_times(late_s)
