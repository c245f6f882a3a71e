"""Retry budgets, which limit the retries of all daemons of a fleet."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Default retries for each call.
_DEFAULT_RATIO = 0.1
# Default additional retries of each daemon in one window.
_DEFAULT_SLACK = 10.0
_DEFAULT_WINDOW_S = 10.0
# Fraction of the bounds of the fleet that is used. The rest covers daemons that
# join and leave, as each daemon divides the slack by the number of daemons that
# it knows.
_USED_FRACTION = 0.75
# Buckets into which a sliding window is divided.
_BUCKETS = 20


class Bounds(NamedTuple):
    """Limits of the retries of a service in any window.

    Attributes:
        ratio: Retries for each call.
        slack: Additional retries.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class Budgets:
    """The retry budgets of all services at this daemon.

    A daemon only knows its own retries. It may use an equal share of the slack
    of the fleet, and retries in proportion to its own calls, so that the sum
    over all daemons is within the bounds however the calls are distributed.
    """

    def __init__(
        self,
        count_daemons: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Begins with the default bounds.

        Args:
            count_daemons: Returns the number of daemons.
            get_time: Returns the time in seconds.
        """
        self._count_daemons = count_daemons
        self._get_time = get_time
        self._budgets: dict[str, Budget] = {}
        self.set_bounds(0.0, 0.0, 0.0)

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Sets the bounds of the fleet, and resets all budgets.

        Args:
            ratio: Retries that the fleet may make for each call of a service;
                0: the default.
            slack: Additional retries of the fleet in one window; 0: the default
                for each daemon.
            window_s: Length of the window, in seconds; 0: the default.
        """
        self._bounds = Bounds(
            ratio * _USED_FRACTION or _DEFAULT_RATIO,
            _DEFAULT_SLACK,
            window_s or _DEFAULT_WINDOW_S,
        )
        self._fleet_slack = slack * _USED_FRACTION
        self._budgets.clear()

    def get(self, service: str) -> Budget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = Budget(self._bounds, self._get_time)
            self._budgets[service] = budget
        if self._fleet_slack:
            budget.slack = max(
                1.0, self._fleet_slack / max(1, self._count_daemons())
            )
        return budget


class Budget:
    """Retry budget of one service: calls and retries in a sliding window.

    Without a budget, an overloaded service that answers slowly would receive
    each call several times, and the retries would keep it overloaded.

    Retries that were allowed by the calls of the window and not used are
    available when some backend servers fail for a few seconds. A token bucket
    of a few tokens, refilled by each call, left most failures of such seconds
    to the callers.

    Attributes:
        slack: Retries in one window in addition to those for its calls.
    """

    __slots__ = (
        "_bounds",
        "_bucket_number",
        "_buckets",
        "_calls",
        "_get_time",
        "_retries",
        "slack",
    )

    def __init__(
        self,
        bounds: Bounds,
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Begins without calls.

        Args:
            bounds: Limits of the retries.
            get_time: Returns the time in seconds.
        """
        self.slack = bounds.slack
        self._bounds = bounds
        self._get_time = get_time
        self._bucket_number = 0
        # Calls and retries of each bucket of the window, the newest last.
        self._buckets: collections.deque[list[float]] = collections.deque(
            [[0, 0]], maxlen=_BUCKETS + 1
        )
        self._calls = 0.0
        self._retries = 0.0

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        self._advance()
        # The oldest bucket is partly outside of the window, so its retries are
        # counted and its calls are not.
        return self._bounds.ratio * self._calls + self.slack - self._retries

    def record_call(self) -> None:
        """Counts the first attempt of a call."""
        self._advance()
        self._buckets[-1][0] += 1
        self._calls += 1

    def try_spend(self) -> bool:
        """Counts a retry; returns False if the budget is used up."""
        if self.balance < 1:
            return False
        self._buckets[-1][1] += 1
        self._retries += 1
        return True

    def charge(self, fraction: float) -> None:
        """Counts a fraction of a call as a retry.

        The call may be made on behalf of a repeat, which makes it a repeat as
        well. If such calls were not counted, half of the bound would have to be
        reserved for them although they are rare.

        Args:
            fraction: Probability that the call is a repeat, from 0 to 1.
        """
        if fraction:
            self._buckets[-1][1] += fraction
            self._retries += fraction

    def _advance(self) -> None:
        """Begins a new bucket when the time of the last one is over."""
        bucket_number = int(self._get_time() * _BUCKETS / self._bounds.window_s)
        if bucket_number == self._bucket_number:
            return
        for _ in range(min(bucket_number - self._bucket_number, _BUCKETS + 1)):
            self._buckets.append([0, 0])
        self._bucket_number = bucket_number
        full = len(self._buckets) > _BUCKETS
        counted = list(self._buckets)[1 if full else 0 :]
        self._calls = sum(calls for calls, _ in counted)
        self._retries = sum(retries for _, retries in self._buckets)
