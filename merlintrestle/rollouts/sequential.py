"""Sequential test that detects a bad version from its answers."""

from __future__ import annotations

import math

# Increase of the ratio of bad answers over the allowed one that the test is
# tuned to detect. Bad versions fail, or are slow, in at least two of five
# answers.
_DETECTED_RATIO_DIFFERENCE = 0.25
_MAX_EXPECTED_RATIO = 0.95
# Logarithm of the odds at which a backend server becomes suspect.
_LOG_ODDS_THRESHOLD = math.log(100)


class SequentialTest:
    """Page's cumulative sum test (CUSUM) of bad against healthy answers.

    The sum of the log-likelihood ratios never falls below 0, so a version that
    turns bad after many good answers is detected as soon as one that was bad
    from the beginning. The test may be read after every answer without raising
    more false alarms than its threshold allows.

    Attributes:
        alarmed: True once the test has detected bad answers; never reset.
    """

    __slots__ = ("_log_odds", "alarmed")

    def __init__(self) -> None:
        self._log_odds = 0.0
        self.alarmed = False

    def record(self, bad: bool, allowed: float) -> None:
        """Records an answer.

        Args:
            bad: Whether it failed or was slow.
            allowed: Ratio of a healthy version's answers that may be bad.
        """
        expected = min(
            _MAX_EXPECTED_RATIO, allowed + _DETECTED_RATIO_DIFFERENCE
        )
        if bad:
            ratio = math.log(expected / allowed)
        else:
            ratio = math.log((1 - expected) / (1 - allowed))
        self._log_odds = max(0.0, self._log_odds + ratio)
        if self._log_odds >= _LOG_ODDS_THRESHOLD:
            self.alarmed = True
