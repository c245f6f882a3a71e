"""Polling of upstreams for a free slot before a call waits at one of them.

A poll sends the call itself, with `calls.Wait.NONE` or `calls.Wait.SHORT`. An
upstream runs it if a slot is free at once or after a short wait. Otherwise it
refuses the call and states the expected wait.

In a small fleet the load reports in the answers are recent enough to pick an
upstream for the next call. In a large fleet a daemon sends calls to each
upstream so rarely that it does not know the load of most. If it picked
upstreams at random, calls would wait at some of them while others have free
slots: with random arrivals and 7 of 10 slots in use, a backend server with four
slots is full nearly half of the time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests.calls import call as calls

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

# Maximum round-trip time with which upstreams are polled, as a fraction of the
# latency target. Over a saturated link polling takes longer than the wait that
# it could avoid.
_MAX_ROUND_TRIP_FRACTION = 0.1
# Maximum number of upstreams that are polled for one call. If every second
# upstream is full, 15 of 16 calls find a free slot at one of four. If all four
# are full, most likely the others are full as well.
_MAX_POLLED = 4


class PolledUpstreams:
    """The polled upstreams that were full, for one call."""

    __slots__ = ("_polled",)

    def __init__(self) -> None:
        # Pairs of the expected wait in seconds and the upstream.
        self._polled: list[tuple[float, tables.Upstream]] = []

    def add(self, upstream: tables.Upstream, expected_wait_s: float) -> None:
        """Adds a polled upstream that was full.

        Args:
            upstream: The upstream.
            expected_wait_s: How long the call would wait there for a slot, in
                seconds.
        """
        self._polled.append((expected_wait_s, upstream))

    def is_complete(self, count: int) -> bool:
        """Returns whether enough upstreams were polled.

        Args:
            count: Number of upstreams of the service.
        """
        return len(self._polled) >= min(_MAX_POLLED, count)

    def take_best(self) -> tables.Upstream:
        """Removes all upstreams and returns the one with the shortest wait."""
        _, best = min(self._polled, key=lambda polled: polled[0])
        self._polled.clear()
        return best


def is_worthwhile(round_trip_s: float, latency_target_s: float) -> bool:
    """Returns whether to poll upstreams before a call waits at one of them.

    Args:
        round_trip_s: Round-trip time to other daemons, in seconds.
        latency_target_s: Latency target of the call, in seconds.
    """
    return round_trip_s <= _MAX_ROUND_TRIP_FRACTION * latency_target_s


def choose_wait(may_wait: bool, zone_peer: bool) -> calls.Wait:
    """Returns how long a call may wait at an upstream before others are polled.

    A short wait in the local availability zone takes less time than a hop to
    another zone, and the answer does not cross zones.

    Args:
        may_wait: Whether the call may wait as long as its latency target
            allows, because the load of the upstream is known or it is the only
            upstream.
        zone_peer: Whether it is in the local availability zone.
    """
    if may_wait:
        return calls.Wait.NORMAL
    return calls.Wait.SHORT if zone_peer else calls.Wait.NONE
