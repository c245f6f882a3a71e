"""Polling of upstreams for a free slot before a call waits at one of them.

In a small fleet the load reports in the answers are recent enough to place the
next call. In a large fleet a daemon sends calls to each upstream so rarely that
it does not know the load of most. With random placement, calls wait at some
upstreams while others have free slots: if 7 of 10 slots are in use, nearly
every second backend server with four slots is full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

# Upstreams are polled only if the round trip takes at most this fraction of the
# latency target. Over a saturated link polling takes longer than the wait that
# it could avoid.
_MAX_ROUND_TRIP_FRACTION = 0.1
# Upstreams that are polled for one call. If every second upstream is full, one
# of four has a free slot for 15 of 16 calls. A further hop would be in vain for
# most of the calls that get that far.
_MAX_POLLED = 4


class Polls:
    """The full upstreams that were polled for one call."""

    __slots__ = ("_polled",)

    def __init__(self) -> None:
        # Expected waits in seconds, and the upstreams.
        self._polled: list[tuple[float, tables.Upstream]] = []

    def add(self, upstream: tables.Upstream, expected_wait_s: float) -> None:
        """Adds a full upstream.

        Args:
            upstream: The upstream.
            expected_wait_s: How long the call would wait there for a slot, in
                seconds.
        """
        self._polled.append((expected_wait_s, upstream))

    def is_complete(self, count: int) -> bool:
        """Returns whether enough of `count` upstreams were polled."""
        return len(self._polled) >= min(_MAX_POLLED, count)

    def take_best(self) -> tables.Upstream:
        """Returns the upstream with the shortest wait, and removes all."""
        _, best = min(self._polled, key=lambda polled: polled[0])
        self._polled.clear()
        return best


def is_worthwhile(round_trip_s: float, latency_target_s: float) -> bool:
    """Returns whether upstreams may be polled before a call waits at one.

    Args:
        round_trip_s: Time that a hop there and back takes, in seconds.
        latency_target_s: Latency target of the call, in seconds.
    """
    return round_trip_s <= _MAX_ROUND_TRIP_FRACTION * latency_target_s


def choose_wait(load_known: bool, zone_peer: bool) -> calls.Wait:
    """Returns how long a call may wait at an upstream before others are polled.

    A short wait in the local availability zone takes less time than a hop to
    another zone, and the answer does not cross zones.

    Args:
        load_known: True if the load of the upstream is known, or if it is the
            only upstream.
        zone_peer: True if it is in the local availability zone.
    """
    if load_known:
        return calls.Wait.NORMAL
    return calls.Wait.SHORT if zone_peer else calls.Wait.NONE
