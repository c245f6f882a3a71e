"""Measurement of the rate of a network link."""

from __future__ import annotations

import collections
from typing import NamedTuple

# Time over which a sample of the rate is averaged, in seconds. The rate of a
# link is the maximum of the recent samples. The maximum of shorter samples
# would be too high by chance, and most answers admitted by it would be late.
_SAMPLE_S = 1.0
# Minimum measured time before a rate is known, in seconds. An early, rough rate
# is better than admitting every transfer until there is a sample.
_FIRST_SAMPLE_S = 0.1
# Maximum age of a sample, in seconds. The rate measured with slow receivers is
# below that of the link. Within this time there usually are transfers to fast
# receivers as well.
_MAX_SAMPLE_AGE_S = 10.0


class _Sample(NamedTuple):
    """The rate of a link averaged over `_SAMPLE_S`.

    Attributes:
        completed_at: Time at its end, in seconds.
        rate: Bytes per second.
    """

    completed_at: float
    rate: float


class MeasuredRate:
    """The rate of a link, measured while bytes wait for it.

    If no bytes wait, the number of bytes sent depends on the demand instead of
    the link. The rate to a single receiver is only a lower bound of the rate of
    the link and may be far below it.
    """

    def __init__(self) -> None:
        self._busy_s = 0.0
        self._shared_s = 0.0
        self._sent_bytes = 0
        self._lower_bound = 0.0
        self._samples: collections.deque[_Sample] = collections.deque()

    def get(self) -> float:
        """Returns bytes per second; 0 if bytes have not waited long enough."""
        if self._samples:
            return max(sample.rate for sample in self._samples)
        return self._get_current_rate() if self._was_shared() else 0.0

    def get_lower_bound(self) -> float:
        """Returns a lower bound of the rate, in bytes per second."""
        return self.get() or max(self._lower_bound, self._get_current_rate())

    def record(
        self, now: float, busy_s: float, sent_bytes: int, shared: bool = True
    ) -> None:
        """Records the bytes sent in an interval in which bytes always waited.

        Args:
            now: Time at the end of the interval, in seconds.
            busy_s: Length of the interval, in seconds.
            sent_bytes: Bytes sent in the interval.
            shared: Whether the bytes went to more than one receiver.
        """
        self._busy_s += busy_s
        self._shared_s += busy_s if shared else 0.0
        self._sent_bytes += sent_bytes
        if self._busy_s >= _SAMPLE_S:
            self._add_sample(now)
            self._busy_s = self._shared_s = 0.0
            self._sent_bytes = 0

    def _add_sample(self, now: float) -> None:
        """Adds the measured time as a sample.

        A sample of a single receiver is added only if it exceeds a known rate.
        Otherwise it may only raise the lower bound.
        """
        rate = self._sent_bytes / self._busy_s
        samples = self._samples
        if not self._was_shared() and not 0 < self.get() < rate:
            self._lower_bound = max(self._lower_bound, rate)
            return
        samples.append(_Sample(now, rate))
        while samples[0].completed_at < now - _MAX_SAMPLE_AGE_S:
            samples.popleft()

    def _get_current_rate(self) -> float:
        """Returns the rate of the unfinished sample; 0 if it is too short."""
        if self._busy_s < _FIRST_SAMPLE_S:
            return 0.0
        return self._sent_bytes / self._busy_s

    def _was_shared(self) -> bool:
        """Returns whether the sample mostly had more than one receiver."""
        return self._shared_s > self._busy_s / 2
