"""Queue of updates to send on a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

# Maximum number of member records in a message; further records are sent in the
# next message.
MAX_MEMBERS_PER_MESSAGE = 500
# Maximum number of queued strikes; further strikes are dropped.
MAX_QUEUED_STRIKES = 100


class Outbox:
    """Coalesces the updates for one peer.

    The outbox of a peer that reads slowly holds at most one record of each
    member and the newest delta, regardless of the number of updates.

    Attributes:
        urgent_event: Set while a message should be sent at once.
        pending_event: Set while a message should be sent, at once or after
            `Timing.flush_delay_s`.
    """

    def __init__(self) -> None:
        self.urgent_event = asyncio.Event()
        self.pending_event = asyncio.Event()
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
            self.pending_event.set()

    def drop_known(self, member: control_pb2.Member) -> None:
        """Drops a queued record if the peer has sent it or a newer one."""
        queued = self._members.get(member.id)
        if queued is not None and not table_lib.supersedes(queued, member):
            del self._members[member.id]

    def add_strike(self, strike: control_pb2.Strike) -> None:
        """Adds a strike, which is sent at once.

        If `MAX_QUEUED_STRIKES` are queued, the strike is dropped.
        """
        if len(self._strikes) < MAX_QUEUED_STRIKES:
            key = (strike.request_digest, strike.crash_id)
            self._strikes[key] = strike
        self._mark_urgent()

    def add_order(self, rollout: control_pb2.Rollout) -> None:
        """Adds the newest order of a roll-out, which is sent at once.

        It replaces an older order of the same service.
        """
        self._rollouts[rollout.service] = rollout
        self._mark_urgent()

    def add_report(self, trial: control_pb2.Trial) -> None:
        """Adds a roll-out report, replacing one on the same backend server.

        A report that marks the backend server as suspect is sent at once: until
        all daemons have received it, callers get bad answers from that server.
        """
        self._trials[trial.service, trial.member_id] = trial
        if trial.suspect:
            self._mark_urgent()
        else:
            self.pending_event.set()

    def set_delta(self, delta: document_pb2.Delta | None) -> None:
        """Replaces the queued delta and triggers a message.

        Args:
            delta: The newest delta. With None, the message is triggered only
                for the offer that `Links` adds to every message.
        """
        self._delta = delta
        self._mark_urgent()

    def request_message(self) -> None:
        """Triggers a message, which is sent at once."""
        self._mark_urgent()

    def request_batched_message(self) -> None:
        """Triggers a message, which is sent after `Timing.flush_delay_s`."""
        self.pending_event.set()

    def pop_message(self) -> control_pb2.LinkMessage:
        """Removes queued updates and returns them as a message.

        Member records above `MAX_MEMBERS_PER_MESSAGE` stay queued.
        """
        message = control_pb2.LinkMessage()
        if self._delta is not None:
            message.delta.CopyFrom(self._delta)
        for member_id in list(self._members)[:MAX_MEMBERS_PER_MESSAGE]:
            message.members.append(self._members.pop(member_id))
        message.strikes.extend(self._strikes.values())
        message.rollouts.extend(self._rollouts.values())
        message.trials.extend(self._trials.values())
        self._delta = None
        self._strikes.clear()
        self._rollouts.clear()
        self._trials.clear()
        self.urgent_event.clear()
        if not self._members:
            self.pending_event.clear()
        return message

    def _mark_urgent(self) -> None:
        self.urgent_event.set()
        self.pending_event.set()
