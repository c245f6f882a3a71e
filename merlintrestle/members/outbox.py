"""What waits to be sent on one link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

# Records and strikes of one message; the rest follow in the next one.
MAX_MEMBERS = 500
MAX_STRIKES = 100


class Outbox:
    """Coalesces what one peer is to be told.

    A peer that reads slowly costs no more than one record of each member and
    the newest delta, however much happens meanwhile.

    Attributes:
        urgent: Set while something waits that should travel at once.
        filled: Set while anything waits.
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
        """Adds a record in place of an older one of the same member."""
        held = self._members.get(member.id)
        if held is None or table_lib.outranks(member, held):
            self._members[member.id] = member
            self.filled.set()

    def drop_known(self, member: control_pb2.Member) -> None:
        """Drops a waiting record that the peer has proved to know."""
        held = self._members.get(member.id)
        if held is not None and not table_lib.outranks(held, member):
            del self._members[member.id]

    def add_strike(self, strike: control_pb2.Strike) -> None:
        """Adds a strike, sent at once."""
        if len(self._strikes) < MAX_STRIKES:
            key = (strike.request_digest, strike.crash_id)
            self._strikes[key] = strike
        self._wake()

    def add_rollout(self, rollout: control_pb2.Rollout) -> None:
        """Adds the newest record of a roll-out, sent at once."""
        self._rollouts[rollout.service] = rollout
        self._wake()

    def add_trial(self, trial: control_pb2.Trial) -> None:
        """Adds what was seen of a backend server in place of an older record.

        What makes it suspect is sent at once: until all daemons have heard it,
        callers get its bad answers.
        """
        self._trials[trial.service, trial.member_id] = trial
        if trial.suspect:
            self._wake()
        else:
            self.filled.set()

    def set_delta(self, delta: document_pb2.Delta | None) -> None:
        """Replaces the delta that waits; the offer itself is in any message.

        Args:
            delta: The newest delta; None sends a message with the offer.
        """
        self._delta = delta
        self._wake()

    def take_message(self) -> control_pb2.LinkMessage:
        """Returns a message with what waits, and empties the box."""
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

    def _wake(self) -> None:
        self.urgent.set()
        self.filled.set()
