"""Reasons to hedge a call while its first attempt is running.

None of them proves that the call is not being worked on.
"""

from __future__ import annotations

import enum


class Doubt(enum.Enum):
    """Why the answer of an attempt may not arrive in time."""

    # The attempt takes far longer than the targets expect of a call.
    LATE = enum.auto()
    # The peer does not answer a query about the call and sends nothing else
    # either.
    PEER_SILENT = enum.auto()
    # The peer answers that it has not seen the call, which may be in transit.
    NOT_ARRIVED = enum.auto()
    # The peer answers that it has sent the answer, which has not arrived.
    ANSWER_MISSING = enum.auto()

    @property
    def concerns_connection_only(self) -> bool:
        """True if the connection alone is in doubt, and not its peer."""
        return self in (Doubt.NOT_ARRIVED, Doubt.ANSWER_MISSING)
