"""Recognition of callers that retry after a refusal or another failure.

A caller retries with a new request, which has the same route, path, query and
deadline as the first one. The retry is recognised by these.
"""

from __future__ import annotations

import collections
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Greatest difference between the deadlines of two requests of one caller, in
# seconds. The stated timeout is rounded to milliseconds, and requests take time
# to arrive.
_DEADLINE_TOLERANCE_S = 0.02
# Maximum number of callers that are stored. A daemon that receives 300
# calls per second and refuses every second one has about 300 of them.
_MAX_CALLERS = 4096


class _RefusedCaller(NamedTuple):
    """A caller whose call was refused or failed.

    Attributes:
        request_key: Route of its request, and the path with the query.
        deadline: Deadline of its request, in seconds.
        first_request_at: When its first request arrived, in seconds.
    """

    request_key: tuple[str, str]
    deadline: float
    first_request_at: float


class RefusedCallers:
    """Callers whose calls this daemon refused or failed, until their deadlines.

    Timeouts of callers of one route may differ. If the time since the first
    request were derived from the remaining time, a caller with a short timeout
    would seem to have waited already. Its call would be late, and be refused
    even if there is capacity for it.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes an empty collection.

        Args:
            get_time: Returns the time in seconds.
        """
        self._get_time = get_time
        self._callers: dict[tuple[str, str], list[_RefusedCaller]] = {}
        self._order: collections.deque[_RefusedCaller] = collections.deque()

    def add(
        self,
        request_key: tuple[str, str],
        deadline: float,
        first_request_at: float,
    ) -> None:
        """Adds a caller whose call was refused or failed.

        Args:
            request_key: Route of its request, and the path with the query.
            deadline: Deadline of its request, in seconds.
            first_request_at: When its first request arrived, in seconds.
        """
        self._remove_oldest()
        caller = _RefusedCaller(request_key, deadline, first_request_at)
        self._order.append(caller)
        self._callers.setdefault(request_key, []).append(caller)

    def pop(
        self, request_key: tuple[str, str], deadline: float
    ) -> float | None:
        """Removes a caller and returns when its first request arrived.

        The caller is removed because each refusal or failure accounts for one
        retry.

        Args:
            request_key: Route of its request, and the path with the query.
            deadline: Deadline of its request, in seconds.

        Returns:
            The time in seconds; None if the request is not a retry.
        """
        for caller in self._callers.get(request_key, ()):
            if abs(caller.deadline - deadline) <= _DEADLINE_TOLERANCE_S:
                self._remove(caller)
                return caller.first_request_at
        return None

    def _remove_oldest(self) -> None:
        """Removes the oldest callers that have timed out or are too many."""
        now = self._get_time()
        order = self._order
        while order and (order[0].deadline < now or len(order) >= _MAX_CALLERS):
            self._remove(order.popleft())

    def _remove(self, caller: _RefusedCaller) -> None:
        callers = self._callers.get(caller.request_key)
        if callers is None or caller not in callers:
            return
        callers.remove(caller)
        if not callers:
            del self._callers[caller.request_key]
