"""Rates: what a link carries, as seen by what leaves while bytes wait."""

from __future__ import annotations

import collections
from typing import NamedTuple

# Time over which the drain of a link is averaged, in seconds. The greatest of
# shorter samples is the luckiest one, and most answers promised by that would
# come late.
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
    not what it carries. Likewise, what one receiver alone takes shows at least
    what it carries, and may be far less.
    """

    def __init__(self) -> None:
        self._waited_s = 0.0
        self._shared_s = 0.0
        self._drained = 0
        self._least = 0.0
        self._samples: collections.deque[_Sample] = collections.deque()

    def get(self) -> float:
        """Returns bytes per second; 0: nothing ever waited for long."""
        if self._samples:
            return max(one.rate for one in self._samples)
        return self._get_running() if self._was_shared() else 0.0

    def get_least(self) -> float:
        """Returns bytes per second that were seen, if to one receiver only."""
        return self.get() or max(self._least, self._get_running())

    def record(
        self, now: float, waited_s: float, drained: int, shared: bool = True
    ) -> None:
        """Notes what left in a time in which something waited throughout.

        Args:
            now: The end of that time, in seconds of the clock.
            waited_s: Its length, in seconds.
            drained: Bytes that left.
            shared: They went to more than one receiver.
        """
        self._waited_s += waited_s
        self._shared_s += waited_s if shared else 0.0
        self._drained += drained
        if self._waited_s >= _SAMPLE_S:
            self._add_sample(now)
            self._waited_s = self._shared_s = 0.0
            self._drained = 0

    def _add_sample(self, now: float) -> None:
        """Adds what was seen; of one receiver alone only if it is more."""
        rate = self._drained / self._waited_s
        samples = self._samples
        if not self._was_shared() and not 0 < self.get() < rate:
            self._least = max(self._least, rate)
            return
        samples.append(_Sample(now, rate))
        while samples[0].at < now - _AGE_S:
            samples.popleft()

    def _get_running(self) -> float:
        if self._waited_s < _FIRST_SAMPLE_S:
            return 0.0
        return self._drained / self._waited_s

    def _was_shared(self) -> bool:
        return self._shared_s > self._waited_s / 2
