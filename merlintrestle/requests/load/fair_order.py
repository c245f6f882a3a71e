"""Order of workspaces whose calls of one class wait for a slot.

Start-time fair queueing: each workspace has a virtual time at which its next
call starts, and the waiting call with the earliest one is served first. A call
advances the virtual time of its workspace by its hold time, in units of the
mean hold time of the class. A workspace that begins to wait starts at the
virtual time of the call that was served last, so that it neither saves up
unused capacity nor waits for the backlog of other workspaces.
"""

from __future__ import annotations

import bisect
import dataclasses
import math
import operator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.requests.load import queues

# Bounds of the charge for a call, as multiples of the mean hold time. With the
# upper bound, a workspace whose calls take long gets a slot at least a quarter
# as often as the mean of all that wait. With the lower one, a workspace whose
# calls end at once passes over others a bounded number of times.
_MIN_CHARGE = 0.25
_MAX_CHARGE = 4.0
# Maximum number of workspaces without waiting calls whose virtual time is kept.
# A workspace that is forgotten gets at most `_MAX_CHARGE` calls' worth of slots
# too early.
_MAX_IDLE = 256

_get_late = operator.attrgetter("late")


@dataclasses.dataclass(eq=False, slots=True)
class _Flow:
    """The calls of one workspace.

    Attributes:
        start: Virtual time at which its next call starts.
        waiting: Its waiting calls, in the order of service.
        unsettled: Number of its calls that were granted a slot and whose hold
            time is not known yet.
    """

    start: float
    waiting: list[queues.Waiter] = dataclasses.field(default_factory=list)
    unsettled: int = 0


class FairOrder:
    """Order of the waiting calls of one class among workspaces.

    Calls in time are served before late ones. Among these, workspaces get slots
    fairly; the calls of one workspace are served in the order of their latency
    deadlines. Calls without a workspace are treated as those of a workspace
    with a greater weight: together they get as many slots as all workspaces
    that wait, as many of them are nested calls whose parent calls hold slots of
    other backend servers.
    """

    __slots__ = ("_flows", "_idle", "_virtual_time")

    def __init__(self, waiting: Iterable[queues.Waiter] = ()):
        """Initializes the order with calls that wait already."""
        self._flows: dict[str, _Flow] = {}
        # Workspaces whose virtual time is ahead, without waiting calls.
        self._idle: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        for waiter in waiting:
            self.add(waiter)

    @property
    def workspace_count(self) -> int:
        """Number of workspaces with waiting calls."""
        return len(self._flows) - ("" in self._flows)

    def add(self, waiter: queues.Waiter) -> None:
        """Adds a waiting call."""
        workspace = waiter.workspace
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._idle.pop(workspace, None) or _Flow(self._virtual_time)
            flow.start = max(flow.start, self._virtual_time)
            self._flows[workspace] = flow
        bisect.insort(flow.waiting, waiter)

    def pop_next(self) -> queues.Waiter:
        """Removes and returns the call that is served next."""
        flow = min(self._flows.values(), key=_get_turn)
        waiter = flow.waiting.pop(0)
        # A cancelled call may still be waiting; it gets no slot.
        if not waiter.granted.done():
            self._virtual_time = max(self._virtual_time, flow.start)
            flow.start += 1 / self._get_weight(waiter.workspace)
            flow.unsettled += 1
        self._retire_if_empty(waiter.workspace, flow)
        return waiter

    def remove(self, waiter: queues.Waiter) -> None:
        """Removes a waiting call."""
        flow = self._flows[waiter.workspace]
        flow.waiting.remove(waiter)
        self._retire_if_empty(waiter.workspace, flow)

    def get_largest(self) -> tuple[float, queues.Waiter]:
        """Returns the last call of the workspace with the most waiting calls.

        Returns:
            The number of waiting calls of its workspace, divided by the weight,
            and the call.
        """
        workspace = max(self._flows, key=self.get_length)
        return self.get_length(workspace), self._flows[workspace].waiting[-1]

    def get_length(self, workspace: str) -> float:
        """Returns the number of waiting calls, divided by the weight."""
        flow = self._flows.get(workspace)
        if flow is None:
            return 0.0
        return len(flow.waiting) / self._get_weight(workspace)

    def settle(self, workspace: str, hold_ratio: float) -> None:
        """Corrects the charge for a call by its hold time.

        Args:
            workspace: Workspace of the call.
            hold_ratio: Hold time as a multiple of the mean.
        """
        flow = self._flows.get(workspace) or self._idle.get(workspace)
        if flow is None or not flow.unsettled:
            return
        flow.unsettled -= 1
        charge = min(_MAX_CHARGE, max(_MIN_CHARGE, hold_ratio))
        flow.start += (charge - 1) / self._get_weight(workspace)

    def get_position(self, waiter: queues.Waiter) -> int:
        """Returns the place of a new call in the order of service, from 1."""
        workspace = waiter.workspace
        weight = self._get_weight(workspace)
        flow = self._flows.get(workspace)
        own_ahead = 0
        start = self._virtual_time
        if flow is not None:
            own_ahead = bisect.bisect_right(flow.waiting, waiter)
            start = flow.start + own_ahead / weight
        elif idle := self._idle.get(workspace):
            start = max(start, idle.start)
        position = own_ahead + 1
        for other_workspace, other in self._flows.items():
            if other is not flow:
                distance = start - other.start
                if not other_workspace:
                    distance *= self._get_weight("")
                position += _count_ahead(other.waiting, distance, waiter)
        return position

    def _get_weight(self, workspace: str) -> float:
        return 1.0 if workspace else max(1.0, self.workspace_count)

    def _retire_if_empty(self, workspace: str, flow: _Flow) -> None:
        """Removes a workspace without waiting calls.

        Its virtual time is kept until the others have reached it.
        """
        if flow.waiting:
            return
        del self._flows[workspace]
        if flow.start <= self._virtual_time:
            return
        if len(self._idle) >= _MAX_IDLE:
            self._idle = {
                name: idle
                for name, idle in self._idle.items()
                if idle.start > self._virtual_time
            }
            if len(self._idle) >= _MAX_IDLE:
                del self._idle[next(iter(self._idle))]
        self._idle[workspace] = flow


def _get_turn(flow: _Flow) -> tuple[bool, float, float]:
    head = flow.waiting[0]
    return head.late, flow.start, head.latency_deadline


def _count_ahead(
    waiting: list[queues.Waiter], distance: float, waiter: queues.Waiter
) -> int:
    """Returns how many calls of another workspace are served before a call.

    Args:
        waiting: Waiting calls of the other workspace.
        distance: Number of its calls that start at an earlier virtual time.
        waiter: The call.
    """
    count = len(waiting)
    ahead = min(count, max(0, math.ceil(distance)))
    if ahead == distance and ahead < count and waiting[ahead] < waiter:
        ahead += 1
    if not waiting[-1].late:
        return count if waiter.late else ahead
    in_time = bisect.bisect_left(waiting, True, key=_get_late)
    return max(ahead, in_time) if waiter.late else min(ahead, in_time)
