"""Sequential tests: whether the answers of a new version are bad."""

from __future__ import annotations

import math

# Difference to what a sound version may show that is to be found soon. Bad
# versions fail, or are slow in, two answers of five and more.
_DIFFERENCE = 0.25
_MOST_PART = 0.95
# Logarithm of the odds at which a backend server is suspect.
_THRESHOLD = math.log(100)


class SequentialTest:
    """Cumulative sum of the log-likelihood ratio of bad against sound (Page).

    It never falls below 0, so a version that turns bad after many good answers
    is found as soon as one that was bad from the beginning. Read at any time,
    it may raise no more false alarms than its threshold allows.

    Attributes:
        passed: True once the answers were bad; it stays so.
    """

    __slots__ = ("_sum", "passed")

    def __init__(self) -> None:
        self._sum = 0.0
        self.passed = False

    def note(self, bad: bool, allowed: float) -> None:
        """Takes in an answer.

        Args:
            bad: Whether it failed or was slow.
            allowed: Part of the answers that may be bad of a sound version.
        """
        expected = min(_MOST_PART, allowed + _DIFFERENCE)
        if bad:
            ratio = math.log(expected / allowed)
        else:
            ratio = math.log((1 - expected) / (1 - allowed))
        self._sum = max(0.0, self._sum + ratio)
        if self._sum >= _THRESHOLD:
            self.passed = True
