"""Doubts: reasons to try a call anew while its first try goes on.

None of them proves that nobody is at work on the call.
"""

from __future__ import annotations

import enum


class Doubt(enum.Enum):
    """What makes it doubtful that the answer of a try will come in time."""

    # It takes far longer than the targets expect of a call.
    LATE = enum.auto()
    # The peer does not answer a question about the call, and nothing else
    # comes from it.
    PEER_SILENT = enum.auto()
    # The peer answers and has not seen the call, which may be on its way yet.
    NOT_ARRIVED = enum.auto()
    # The peer answers and has sent off its answer; it has not come.
    ANSWER_MISSING = enum.auto()

    @property
    def concerns_connection_only(self) -> bool:
        """True if the connection alone is doubtful, and not its peer."""
        return self in (Doubt.NOT_ARRIVED, Doubt.ANSWER_MISSING)
