"""Reasons to hedge a call.

For each of these reasons, the first attempt may still be running.
"""

from __future__ import annotations

import enum


class Doubt(enum.Enum):
    """Reason why the answer of an attempt may not arrive in time."""

    # The attempt takes far longer than the targets of the class of work expect.
    LATE = enum.auto()
    # The peer does not answer a probe about the call and sends no other data.
    PEER_SILENT = enum.auto()
    # The peer answered a probe and has not received the call, which may be in
    # transit.
    NOT_ARRIVED = enum.auto()
    # The peer answered a probe and has sent the answer, which has not arrived.
    ANSWER_MISSING = enum.auto()

    @property
    def concerns_connection_only(self) -> bool:
        """True if the peer answered a probe, so that it is responsive.

        Only the connection of the call may then be broken.
        """
        return self in (Doubt.NOT_ARRIVED, Doubt.ANSWER_MISSING)
