"""Usual load of each workspace in one class of work.

If all workspaces had the same weight, a large one would lose its slots to a
small one that sends ten times its usual load.
"""

from __future__ import annotations

import math

# Time after which a call counts e times less. Longer than a burst, so that a
# workspace does not gain weight by one.
_TIME_CONSTANT_S = 300.0
# With 1, a workspace that uses capacity that others leave unused for a while
# gains weight and takes from them later.
_PROPORTIONAL_FRACTION = 0.5
# Maximum number of workspaces whose load is known. Beyond it, the smaller half
# is forgotten; these have the least weight in any case.
_MAX_WORKSPACES = 1024
# Workspaces with a smaller fraction of the mean load are forgotten.
_MIN_LOAD_RATIO = 0.01


class UsualLoads:
    """Slot time that the calls of each workspace used, with decay.

    Only calls that held a slot count, so that callers that retry after refusals
    gain no weight.
    """

    __slots__ = ("_loads", "_since", "_total")

    def __init__(self) -> None:
        self._loads: dict[str, float] = {}
        self._total = 0.0
        # Time at which a recorded second weighs one second.
        self._since = 0.0

    def __len__(self) -> int:
        return len(self._loads)

    def record(self, workspace: str, held_s: float, now: float) -> None:
        """Records a call.

        Args:
            workspace: Name of its workspace.
            held_s: How long it held a slot, in seconds.
            now: Monotonic time in seconds.
        """
        # Recent calls weigh more instead of all older ones being reduced.
        if now - self._since > _TIME_CONSTANT_S:
            self._rescale(now)
        load = held_s * math.exp((now - self._since) / _TIME_CONSTANT_S)
        self._loads[workspace] = self._loads.get(workspace, 0.0) + load
        self._total += load
        if len(self._loads) > _MAX_WORKSPACES:
            self._keep_largest()

    def get_weight(self, workspace: str) -> float:
        """Returns the weight of a workspace, at least 1.

        It is half the load of the workspace as a multiple of the mean. The
        weights add up to at most 1.5 times the number of workspaces. Hence
        under overload each workspace gets at least a third of what it would get
        in proportion to its usual load, and at least two thirds of an equal
        share.
        """
        load = self._loads.get(workspace)
        if not load:
            return 1.0
        ratio = load * len(self._loads) / self._total
        return max(1.0, _PROPORTIONAL_FRACTION * ratio)

    def _rescale(self, now: float) -> None:
        factor = math.exp((self._since - now) / _TIME_CONSTANT_S)
        self._since = now
        least = _MIN_LOAD_RATIO * self._total / max(1, len(self._loads))
        self._set(
            {
                workspace: load * factor
                for workspace, load in self._loads.items()
                if load > least
            }
        )

    def _keep_largest(self) -> None:
        largest = sorted(
            self._loads.items(), key=lambda item: item[1], reverse=True
        )
        self._set(dict(largest[: _MAX_WORKSPACES // 2]))

    def _set(self, loads: dict[str, float]) -> None:
        self._loads = loads
        self._total = math.fsum(loads.values())
