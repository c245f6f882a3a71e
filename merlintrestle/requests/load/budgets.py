"""Retry budgets, which limit the retries of all daemons of a fleet."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Default number of retries for each call.
_DEFAULT_RATIO = 0.1
# Default number of additional retries of each daemon in one window.
_DEFAULT_DAEMON_SLACK = 10.0
_DEFAULT_WINDOW_S = 10.0
# Fraction of the bounds of the fleet that the daemons use. Each daemon divides
# the slack by the number of daemons that it knows. While daemons join and
# leave, this number may be too small: up to a quarter too small, the daemons
# together still keep within the bounds.
_SAFETY_FACTOR = 0.75
# Number of buckets into which a sliding window is divided.
_BUCKET_COUNT = 20


class Bounds(NamedTuple):
    """Bounds of the retries that one daemon makes to a service in any window.

    Attributes:
        ratio: Number of retries for each call.
        slack: Number of additional retries.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class Budgets:
    """The retry budgets of all services at this daemon.

    A daemon only knows its own calls and retries. It may make retries in
    proportion to its own calls and, in addition, an equal fraction of the
    slack of the fleet. The sum over all daemons is thus within the bounds,
    however the calls are distributed.
    """

    def __init__(
        self,
        count_daemons: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Initializes the budgets with the default bounds.

        Args:
            count_daemons: Returns the number of daemons.
            get_time: Returns the time in seconds.
        """
        self._count_daemons = count_daemons
        self._get_time = get_time
        self._budgets: dict[str, Budget] = {}
        self.set_bounds(0.0, 0.0, 0.0)

    def set_bounds(
        self, ratio: float, fleet_slack: float, window_s: float
    ) -> None:
        """Sets the bounds of the fleet.

        Calls and retries of the window stay counted: the settings may be read
        again often, and each daemon would make the retries of a whole window
        once more each time.

        Args:
            ratio: Retries that the fleet may make for each call of a service;
                0: the default.
            fleet_slack: Additional retries that the fleet may make in one
                window, divided among its daemons; 0: each daemon uses the
                default.
            window_s: Length of the window, in seconds; 0: the default.
        """
        self._bounds = Bounds(
            ratio * _SAFETY_FACTOR or _DEFAULT_RATIO,
            _DEFAULT_DAEMON_SLACK,
            window_s or _DEFAULT_WINDOW_S,
        )
        self._fleet_slack = fleet_slack * _SAFETY_FACTOR
        for budget in self._budgets.values():
            budget.set_bounds(self._bounds)

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

    Unused retries stay available until the end of the window, so a burst of
    failures can be retried when some backend servers fail for a few seconds. A
    token bucket with a capacity of a few tokens, refilled by each call, would
    not allow that: most of these failures would reach the callers.

    Attributes:
        slack: Number of retries of this daemon in one window, in addition to
            those for its calls.
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
        """Initializes a budget without calls.

        Args:
            bounds: Bounds of the retries.
            get_time: Returns the time in seconds.
        """
        self.slack = bounds.slack
        self._bounds = bounds
        self._get_time = get_time
        self._bucket_number = 0
        # Numbers of calls and retries in each bucket, the newest bucket last.
        self._buckets: collections.deque[list[float]] = collections.deque(
            [[0, 0]], maxlen=_BUCKET_COUNT + 1
        )
        self._calls = 0.0
        self._retries = 0.0

    def set_bounds(self, bounds: Bounds) -> None:
        """Sets the bounds, and keeps what is counted.

        Buckets of another length cannot be divided. All retries then count as
        if they had just been made, and no call does.
        """
        if bounds.window_s != self._bounds.window_s:
            self._advance()
            self._calls = 0.0
            self._buckets.clear()
            self._buckets.append([0, self._retries])
            self._bucket_number = int(
                self._get_time() * _BUCKET_COUNT / bounds.window_s
            )
        self._bounds = bounds
        self.slack = bounds.slack

    @property
    def balance(self) -> float:
        """Number of retries that may be made now."""
        self._advance()
        # The oldest bucket is partly outside of the window. Its retries are
        # counted and its calls are not, so that no window exceeds the bounds.
        return self._bounds.ratio * self._calls + self.slack - self._retries

    def record_call(self) -> None:
        """Counts the first attempt of a call."""
        self._advance()
        self._buckets[-1][0] += 1
        self._calls += 1

    def try_spend(self) -> bool:
        """Counts a retry unless the budget is used up.

        Returns:
            Whether the retry may be made.
        """
        if self.balance < 1:
            return False
        self._buckets[-1][1] += 1
        self._retries += 1
        return True

    def charge(self, probability: float) -> None:
        """Counts a call as a retry with the probability that it is a repeat.

        A call that the backend server makes while it runs a repeat is a repeat
        as well: it may have been made before, and the called service receives
        it like a retry. If such calls were not counted, half of the retries
        that the bounds allow would have to be reserved for them, although they
        are rare.

        The method follows `record_call` for the same call, which begins a new
        bucket if necessary.

        Args:
            probability: Probability that the call is a repeat, from 0 to 1.
        """
        if probability:
            self._buckets[-1][1] += probability
            self._retries += probability

    def _advance(self) -> None:
        """Begins a new bucket if the time of the current one is over."""
        bucket_number = int(
            self._get_time() * _BUCKET_COUNT / self._bounds.window_s
        )
        if bucket_number == self._bucket_number:
            return
        for _ in range(
            min(bucket_number - self._bucket_number, _BUCKET_COUNT + 1)
        ):
            self._buckets.append([0, 0])
        self._bucket_number = bucket_number
        full = len(self._buckets) > _BUCKET_COUNT
        counted = list(self._buckets)[1 if full else 0 :]
        self._calls = sum(calls for calls, _ in counted)
        self._retries = sum(retries for _, retries in self._buckets)
