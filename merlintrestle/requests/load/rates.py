"""Rates: what a link carries, as seen by what leaves while bytes wait."""

from __future__ import annotations

import collections
from typing import NamedTuple

# Time over which the drain of a link is averaged, in seconds. The greatest of
# shorter samples is the luckiest one: with 0.25 s, a link of 406 kB/s was taken
# to carry 577 kB/s, and most answers promised by that came late.
_SAMPLE_S = 1.0
# The same as long as there is no sample: better a rough figure at once than
# seconds in which everything is begun.
_FIRST_SAMPLE_S = 0.1
# How long the greatest sample counts, in seconds. Transfers to slow receivers
# show less than the link carries; within this time quick ones come along.
_AGE_S = 10.0


class _Sample(NamedTuple):
    """The drain of a link over `_SAMPLE_S`.

    Attributes:
        at: When it was complete, in seconds.
        rate: Bytes per second.
    """

    at: float
    rate: float


class DrainRate:
    """The rate of a link, observed while something waits for it.

    What leaves a link that nothing waits for shows how much was asked of it,
    not what it carries.
    """

    def __init__(self) -> None:
        self._waited_s = 0.0
        self._drained = 0
        self._samples: collections.deque[_Sample] = collections.deque()

    def get(self) -> float:
        """Returns bytes per second; 0: nothing ever waited for long."""
        if self._samples:
            return max(one.rate for one in self._samples)
        if self._waited_s < _FIRST_SAMPLE_S:
            return 0.0
        return self._drained / self._waited_s

    def note(self, now: float, waited_s: float, drained: int) -> None:
        """Notes what left in a time in which something waited throughout.

        Args:
            now: The end of that time, in seconds of the clock.
            waited_s: Its length, in seconds.
            drained: Bytes that left.
        """
        self._waited_s += waited_s
        self._drained += drained
        if self._waited_s < _SAMPLE_S:
            return
        samples = self._samples
        samples.append(_Sample(now, self._drained / self._waited_s))
        self._waited_s = 0.0
        self._drained = 0
        while samples[0].at < now - _AGE_S:
            samples.popleft()
