"""CUSUM detector of a bad version from the answers of one backend server."""

from __future__ import annotations

import math

# Difference between the ratio of bad answers of a bad version and the allowed
# ratio. Bad versions fail, or are slow, in at least two of five answers; the
# allowed ratio is 0.12 if the old version rarely fails.
_BAD_RATIO_INCREASE = 0.25
# Keeps the logarithm of 1 - ratio finite.
_MAX_BAD_VERSION_RATIO = 0.95
# Score from which an alarm is raised: the logarithm of how much more likely the
# answers are from a bad version than from a healthy one. A higher threshold
# raises fewer false alarms but detects a bad version later.
_ALARM_THRESHOLD = math.log(100)


class CusumDetector:
    """Page's cumulative sum test (CUSUM) of a bad against a healthy version.

    The score is the sum of the log-likelihood ratios, but never below 0. A
    version that turns bad after many good answers is therefore detected as
    quickly as one that was bad from the beginning. The score may be compared
    with the threshold after every answer without raising more false alarms than
    the threshold allows.

    Attributes:
        alarmed: True once the test has detected a bad version; never reset.
    """

    __slots__ = ("_score", "alarmed")

    def __init__(self) -> None:
        self._score = 0.0
        self.alarmed = False

    def record(self, bad: bool, allowed_ratio: float) -> None:
        """Records an answer.

        Args:
            bad: Whether it failed or was slow.
            allowed_ratio: Ratio of a healthy version's answers that may be bad.
        """
        bad_version_ratio = min(
            _MAX_BAD_VERSION_RATIO, allowed_ratio + _BAD_RATIO_INCREASE
        )
        if bad:
            log_likelihood_ratio = math.log(bad_version_ratio / allowed_ratio)
        else:
            log_likelihood_ratio = math.log(
                (1 - bad_version_ratio) / (1 - allowed_ratio)
            )
        self._score = max(0.0, self._score + log_likelihood_ratio)
        if self._score >= _ALARM_THRESHOLD:
            self.alarmed = True
