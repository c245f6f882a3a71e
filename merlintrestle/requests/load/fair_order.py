"""Order of workspaces whose calls of one class wait for a slot.

Start-time fair queueing: each workspace has a virtual time at which its next
call starts, and the waiting call with the earliest one is served first. A call
advances the virtual time of its workspace by its hold time, in units of the
mean hold time of the class, divided by the weight of the workspace. A workspace
that begins to wait starts at the virtual time of the call that was served last,
so that it neither saves up unused capacity nor waits for the backlog of other
workspaces.
"""

from __future__ import annotations

import bisect
import dataclasses
import math
import operator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.requests.load import usual_loads
    from merlintrestle.requests.load import waiters

# Bounds of the charge for a call, as multiples of the mean hold time. With the
# upper bound, a workspace whose calls take long gets a slot at least a quarter
# as often as the mean of all that wait. With the lower one, a workspace whose
# calls end at once passes over others a bounded number of times.
_MIN_CHARGE = 0.25
_MAX_CHARGE = 4.0
# Number of mean hold times by which a workspace that begins to wait is served
# earlier. Without it, calls of small workspaces that arrive unevenly are
# refused although the workspace uses less than its share.
_CREDIT = 0.5
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
        weight: Weight of the workspace.
        waiting: Its waiting calls, in the order of service.
        unsettled: Number of its calls that were granted a slot and whose hold
            time is not known yet.
    """

    start: float
    weight: float
    waiting: list[waiters.Waiter] = dataclasses.field(default_factory=list)
    unsettled: int = 0


class FairOrder:
    """Order of the waiting calls of one class among workspaces.

    Calls in time are served before late ones. Among these, workspaces get slots
    in proportion to their weights; the calls of one workspace are served in the
    order of their latency deadlines. Calls without a workspace are treated as
    those of a workspace with the weight of all others that wait together, as
    many of them are nested calls whose parent calls hold slots of other backend
    servers.
    """

    __slots__ = ("_flows", "_idle", "_usual_loads", "_virtual_time")

    def __init__(
        self,
        loads: usual_loads.UsualLoads,
        waiting: Iterable[waiters.Waiter] = (),
    ):
        """Initializes the order.

        Args:
            loads: Usual loads of the workspaces, for their weights.
            waiting: Calls that wait already.
        """
        self._usual_loads = loads
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

    def add(self, waiter: waiters.Waiter) -> None:
        """Adds a waiting call."""
        workspace = waiter.workspace
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._idle.pop(workspace, None) or _Flow(-math.inf, 1.0)
            flow.weight = self._compute_weight(workspace)
            flow.start = max(flow.start, self._get_first_start(flow.weight))
            self._flows[workspace] = flow
        bisect.insort(flow.waiting, waiter)

    def pop_next(self) -> waiters.Waiter:
        """Removes and returns the call that is served next."""
        flow = min(self._flows.values(), key=_get_turn)
        waiter = flow.waiting.pop(0)
        # A cancelled call may still be waiting; it gets no slot.
        if not waiter.granted.done():
            self._virtual_time = max(self._virtual_time, flow.start)
            flow.weight = self._compute_weight(waiter.workspace)
            flow.start += 1 / flow.weight
            flow.unsettled += 1
        self._retire_if_empty(waiter.workspace, flow)
        return waiter

    def remove(self, waiter: waiters.Waiter) -> None:
        """Removes a waiting call."""
        flow = self._flows[waiter.workspace]
        flow.waiting.remove(waiter)
        self._retire_if_empty(waiter.workspace, flow)

    def get_largest(self) -> tuple[float, waiters.Waiter]:
        """Returns the last call of the workspace with the most waiting calls.

        Returns:
            The number of waiting calls of its workspace, divided by the weight,
            and the call.
        """
        flow = max(self._flows.values(), key=_get_length)
        return _get_length(flow), flow.waiting[-1]

    def get_next_length(self, workspace: str) -> float:
        """Returns the weighted number of waiting calls with a new one."""
        flow = self._flows.get(workspace)
        if flow is None:
            return 1 / self._compute_weight(workspace)
        return (len(flow.waiting) + 1) / flow.weight

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
        flow.start = max(
            flow.start + (charge - 1) / flow.weight,
            self._get_first_start(flow.weight),
        )

    def get_position(self, waiter: waiters.Waiter) -> int:
        """Returns the place of a new call in the order of service, from 1."""
        workspace = waiter.workspace
        flow = self._flows.get(workspace)
        own_ahead = 0
        if flow is not None:
            own_ahead = bisect.bisect_right(flow.waiting, waiter)
            start = flow.start + own_ahead / flow.weight
        else:
            start = self._get_first_start(self._compute_weight(workspace))
            if idle := self._idle.get(workspace):
                start = max(start, idle.start)
        position = own_ahead + 1
        late = waiter.late
        for other in self._flows.values():
            # Most workspaces are skipped here, as a refusal must be cheap.
            if (late or other.start <= start) and other is not flow:
                distance = (start - other.start) * other.weight
                position += _count_ahead(other.waiting, distance, waiter)
        return position

    def _get_first_start(self, weight: float) -> float:
        """Returns the earliest start of a workspace that begins to wait."""
        return self._virtual_time - _CREDIT / weight

    def _compute_weight(self, workspace: str) -> float:
        if workspace:
            return self._usual_loads.get_weight(workspace)
        weights = (flow.weight for name, flow in self._flows.items() if name)
        return max(1.0, sum(weights))

    def _retire_if_empty(self, workspace: str, flow: _Flow) -> None:
        """Removes a workspace without waiting calls.

        Its virtual time is kept until the others have reached it, at most while
        calls of any workspace wait.
        """
        if flow.waiting:
            return
        del self._flows[workspace]
        if flow.start <= self._get_first_start(flow.weight):
            return
        if len(self._idle) >= _MAX_IDLE:
            self._idle = {
                name: idle
                for name, idle in self._idle.items()
                if idle.start > self._get_first_start(idle.weight)
            }
            if len(self._idle) >= _MAX_IDLE:
                del self._idle[next(iter(self._idle))]
        self._idle[workspace] = flow


def _get_turn(flow: _Flow) -> tuple[bool, float, float]:
    head = flow.waiting[0]
    return head.late, flow.start, head.latency_deadline


def _get_length(flow: _Flow) -> float:
    """Returns the number of waiting calls, divided by the weight."""
    return len(flow.waiting) / flow.weight


def _count_ahead(
    waiting: list[waiters.Waiter], distance: float, waiter: waiters.Waiter
) -> int:
    """Returns how many calls of another workspace are served before a call.

    Args:
        waiting: Waiting calls of the other workspace.
        distance: Difference of virtual start times as a number of its calls;
            negative if its first call starts later.
        waiter: The call.
    """
    count = len(waiting)
    if distance >= count:
        ahead = count
    else:
        ahead = max(0, math.ceil(distance))
        if ahead == distance and waiting[ahead] < waiter:
            ahead += 1
    if not waiting[-1].late:
        return count if waiter.late else ahead
    in_time = bisect.bisect_left(waiting, True, key=_get_late)
    return max(ahead, in_time) if waiter.late else min(ahead, in_time)
