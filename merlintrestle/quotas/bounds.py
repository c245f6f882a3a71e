"""Bounds on the calls of a workspace, and the times that the proof rests on.

In any window, the calls of a workspace that run are at most those for which
tokens were live at its begin, plus the refill. See docs/design/0020-quotas.md.
"""

from __future__ import annotations

from typing import NamedTuple

DEFAULT_WINDOW_S = 5.0
DEFAULT_OVERSHOOT = 0.1
DEFAULT_SLACK = 20.0

# A token expires this long after the daemon sent the request for it.
TOKEN_LIFETIME_S = 3.0
# Time after which a coordinator considers a token expired. The margin covers
# clocks that run at slightly different rates.
COUNTED_LIFETIME_S = 3.1

# Shares of the allowance that a coordinator may have in circulation: once no
# token of its predecessor can be in use, and before that. Their sum is 1.
SETTLED_SHARE = 0.7
UNSETTLED_SHARE = 0.3

# Longest wait of a call for a token, and the largest part of the allowance that
# is set aside for calls sent in one window that get their token in the next.
MAX_WAIT_S = 0.3
MAX_WAIT_SHARE = 0.15


class Bounds(NamedTuple):
    """Bounds on the calls of each workspace in every window.

    Attributes:
        window_s: Length of the window in seconds.
        overshoot: Part of the quota by which it may be exceeded.
        slack: Calls by which it may be exceeded in addition.
    """

    window_s: float = DEFAULT_WINDOW_S
    overshoot: float = DEFAULT_OVERSHOOT
    slack: float = DEFAULT_SLACK

    def compute_limit(self, rate: float, burst: float) -> float:
        """Returns the largest number of calls in a window."""
        quota = rate * self.window_s + burst
        return quota * (1 + self.overshoot) + self.slack

    def compute_wait_s(self, rate: float, burst: float) -> float:
        """Returns the longest wait of a call for a token, in seconds."""
        allowance = self._compute_allowance(rate, burst)
        return min(MAX_WAIT_S, MAX_WAIT_SHARE * allowance / rate)

    def compute_circulation(self, rate: float, burst: float) -> float:
        """Returns how many tokens of all coordinators may be live at a time."""
        wait_s = self.compute_wait_s(rate, burst)
        return self._compute_allowance(rate, burst) - rate * wait_s

    def _compute_allowance(self, rate: float, burst: float) -> float:
        return self.compute_limit(rate, burst) - rate * self.window_s


def build_bounds(window_s: float, overshoot: float, slack: float) -> Bounds:
    """Returns the bounds of the settings, in which 0 means the default."""
    return Bounds(
        window_s or DEFAULT_WINDOW_S,
        overshoot or DEFAULT_OVERSHOOT,
        slack or DEFAULT_SLACK,
    )
