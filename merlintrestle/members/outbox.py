"""Queue of the updates to send on a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

# Maximum numbers of records and strikes in a message; further records follow in
# the next one.
MAX_MEMBERS = 500
MAX_STRIKES = 100


class Outbox:
    """Coalesces the updates for one peer.

    For a peer that reads slowly it holds at most one record of each member and
    the newest delta, however many updates arrive meanwhile.

    Attributes:
        urgent: Set while an update is queued that should be sent at once.
        filled: Set while any update is queued.
    """

    def __init__(self) -> None:
        self.urgent = asyncio.Event()
        self.filled = asyncio.Event()
        self._members: dict[str, control_pb2.Member] = {}
        self._strikes: dict[tuple[bytes, str], control_pb2.Strike] = {}
        self._rollouts: dict[str, control_pb2.Rollout] = {}
        self._trials: dict[tuple[str, str], control_pb2.Trial] = {}
        self._delta: document_pb2.Delta | None = None

    def add_member(self, member: control_pb2.Member) -> None:
        """Adds a record, replacing an older one of the same member."""
        queued = self._members.get(member.id)
        if queued is None or table_lib.supersedes(member, queued):
            self._members[member.id] = member
            self.filled.set()

    def drop_known(self, member: control_pb2.Member) -> None:
        """Drops a queued record if the peer has sent it or a newer one."""
        queued = self._members.get(member.id)
        if queued is not None and not table_lib.supersedes(queued, member):
            del self._members[member.id]

    def add_strike(self, strike: control_pb2.Strike) -> None:
        """Adds a strike, which is sent at once."""
        if len(self._strikes) < MAX_STRIKES:
            key = (strike.request_digest, strike.crash_id)
            self._strikes[key] = strike
        self._mark_urgent()

    def add_rollout(self, rollout: control_pb2.Rollout) -> None:
        """Adds the newest record of a roll-out, which is sent at once."""
        self._rollouts[rollout.service] = rollout
        self._mark_urgent()

    def add_trial(self, trial: control_pb2.Trial) -> None:
        """Adds a trial record, replacing an older one of the backend server.

        A record that marks the backend server as suspect is sent at once: until
        all daemons have received it, callers get bad answers from that server.
        """
        self._trials[trial.service, trial.member_id] = trial
        if trial.suspect:
            self._mark_urgent()
        else:
            self.filled.set()

    def set_delta(self, delta: document_pb2.Delta | None) -> None:
        """Replaces the queued delta; every message contains the offer itself.

        Args:
            delta: The newest delta; None sends a message with only the offer.
        """
        self._delta = delta
        self._mark_urgent()

    def pop_message(self) -> control_pb2.LinkMessage:
        """Removes queued updates and returns them as a message."""
        message = control_pb2.LinkMessage()
        if self._delta is not None:
            message.delta.CopyFrom(self._delta)
        for member_id in list(self._members)[:MAX_MEMBERS]:
            message.members.append(self._members.pop(member_id))
        message.strikes.extend(self._strikes.values())
        message.rollouts.extend(self._rollouts.values())
        message.trials.extend(self._trials.values())
        self._delta = None
        self._strikes.clear()
        self._rollouts.clear()
        self._trials.clear()
        self.urgent.clear()
        if not self._members:
            self.filled.clear()
        return message

    def _mark_urgent(self) -> None:
        self.urgent.set()
        self.filled.set()
