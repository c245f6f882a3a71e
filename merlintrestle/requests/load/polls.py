"""Polls: upstreams asked for a free slot before a call waits at one of them.

In a small fleet every answer tells of the load at its upstream, and the next
call is placed by that. In a large one a daemon sends each upstream a call now
and then, and knows nothing of most. Left to chance, calls wait at some while
others have free slots: where 7 in 10 slots are taken, nearly every second
backend server of four slots is full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

# Part of the latency target that a hop may take for upstreams to be asked. Over
# a full link each question takes longer than the wait that it could spare.
_MOST_PART = 0.1
# Upstreams that are asked for one call. If every second is full, one of four
# has a free slot for 15 of 16 calls; each more is a hop that most calls which
# need it make in vain.
_MOST = 4


class Polls:
    """The upstreams that one call has asked."""

    __slots__ = ("_asked",)

    def __init__(self) -> None:
        self._asked: list[tuple[float, tables.Upstream]] = []

    def add(self, upstream: tables.Upstream, expected_s: float) -> None:
        """Notes that an upstream is full, and how long a call would wait."""
        self._asked.append((expected_s, upstream))

    def is_complete(self, count: int) -> bool:
        """Returns whether enough of `count` upstreams were asked."""
        return len(self._asked) >= min(_MOST, count)

    def take_best(self) -> tables.Upstream:
        """Returns where the call would wait the shortest; forgets all."""
        _, best = min(self._asked, key=lambda asked: asked[0])
        self._asked.clear()
        return best


def is_worthwhile(way_s: float, latency_s: float) -> bool:
    """Returns whether another daemon may be asked before a call waits there.

    Args:
        way_s: What a hop takes, in seconds.
        latency_s: Latency target of the call, in seconds.
    """
    return way_s <= _MOST_PART * latency_s


def choose_wait(known: bool, near: bool) -> calls.Wait:
    """Returns how long a call may wait at an upstream before others are asked.

    A short wait in the own availability zone costs a caller less than a hop to
    another one, and its answer crosses no zone.

    Args:
        known: The load of the upstream is known, or there is no other.
        near: It is in the own availability zone.
    """
    if known:
        return calls.Wait.NORMAL
    return calls.Wait.SHORT if near else calls.Wait.NONE
