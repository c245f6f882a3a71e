"""Budgets: how many retries the daemons of a fleet may make together."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Retries for one call where the settings do not say: one call in ten.
_RATIO = 0.1
# Retries beside these in one window, for each daemon, where they do not say.
_SLACK = 10.0
# Length of the window where they do not say, in seconds.
_WINDOW_S = 10.0
# Part of a bound of the whole fleet that is used: daemons come and go, and each
# takes its part of the slack by the number that it knows.
_USED_PART = 0.75
# Parts in which a window is counted.
_PARTS = 20


class Bounds(NamedTuple):
    """What bounds the retries of a service in any window.

    Attributes:
        ratio: Retries for each call.
        slack: Retries beside these.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class Budgets:
    """The budgets of all services, as parts of one that the fleet shares.

    Every daemon sees its own retries alone. Each takes an equal part of the
    slack, and a ratio of its own calls, so that the sum keeps to the bound
    however the calls are spread.
    """

    def __init__(
        self,
        count: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Begins with the usual bounds.

        Args:
            count: Returns the number of daemons.
            get_time: Returns the time in seconds.
        """
        self._count = count
        self._get_time = get_time
        self._budgets: dict[str, Budget] = {}
        self.set_bounds(0.0, 0.0, 0.0)

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Sets the bounds; budgets begin afresh.

        Args:
            ratio: Retries that the fleet may make for each call of a service;
                0: the usual.
            slack: Retries that it may make beside these in one window; 0: each
                daemon has a slack of its own.
            window_s: Length of the window, in seconds; 0: the usual.
        """
        self._bounds = Bounds(
            ratio * _USED_PART or _RATIO, _SLACK, window_s or _WINDOW_S
        )
        self._slack = slack * _USED_PART
        self._budgets.clear()

    def get(self, service: str) -> Budget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = Budget(self._bounds, self._get_time)
            self._budgets[service] = budget
        if self._slack:
            budget.slack = max(1.0, self._slack / max(1, self._count()))
        return budget


class Budget:
    """Counts calls and retries of one service in a sliding window.

    Without it, a service that answers slowly gets each call several times
    just when it can least bear it, and stays down under its own retries.
    Retries that calls earned and did not need are there when some backend
    servers fail for a few seconds: a bucket of few tokens, refilled by each
    call, left most failures of these seconds to their callers.

    Attributes:
        slack: Retries in one window beside those for its calls.
    """

    __slots__ = (
        "_bounds",
        "_calls",
        "_get_time",
        "_part",
        "_parts",
        "_retries",
        "slack",
    )

    def __init__(
        self,
        bounds: Bounds,
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Sets what bounds the retries, and the clock in seconds."""
        self.slack = bounds.slack
        self._bounds = bounds
        self._get_time = get_time
        self._part = 0
        # Calls and retries of the parts of the window, the newest last.
        self._parts: collections.deque[list[float]] = collections.deque(
            [[0, 0]], maxlen=_PARTS + 1
        )
        self._calls = 0.0
        self._retries = 0.0

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        self._turn()
        # The oldest part is partly outside of the window: its retries count,
        # its calls do not.
        return self._bounds.ratio * self._calls + self.slack - self._retries

    def record_call(self) -> None:
        """Counts a first try."""
        self._turn()
        self._parts[-1][0] += 1
        self._calls += 1

    def try_spend(self) -> bool:
        """Takes one retry; False if the budget is used up."""
        if self.balance < 1:
            return False
        self._parts[-1][1] += 1
        self._retries += 1
        return True

    def charge(self, part: float) -> None:
        """Counts a call as a repeat in part, as it may be made by one.

        Not counted, these calls would have to be left room for: half of the
        bound for what is rare.
        """
        if part:
            self._parts[-1][1] += part
            self._retries += part

    def _turn(self) -> None:
        """Begins a new part of the window when it is time."""
        part = int(self._get_time() * _PARTS / self._bounds.window_s)
        if part == self._part:
            return
        for _ in range(min(part - self._part, _PARTS + 1)):
            self._parts.append([0, 0])
        self._part = part
        full = len(self._parts) > _PARTS
        counted = list(self._parts)[1 if full else 0 :]
        self._calls = sum(calls for calls, _ in counted)
        self._retries = sum(retries for _, retries in self._parts)
