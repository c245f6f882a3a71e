"""Decision which calls a draining daemon still starts.

At the end of the drain all connections are closed. A call that is running then
is cut: its caller does not know whether it ran. So a call is started only if it
ends before that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# Time that is reserved for writing the last answers, in seconds.
_FLUSH_S = 0.1
# Fraction of its latency target within which a call is expected to end.
_TYPICAL_LATENCY_FRACTION = 0.5


def may_start(
    plan: snapshot.ClassPlan,
    remaining_s: float,
    drain_left_s: float,
    owed: bool,
) -> bool:
    """Returns whether a call is started although the daemon drains.

    Args:
        plan: Class of work of the call.
        remaining_s: Time until the deadline of the call, in seconds.
        drain_left_s: Time until the drain ends, in seconds.
        owed: Whether a refusal would fail a call that was accepted before, as
            this one is nested in it or is that call. Any other call is new
            work: whether it is nested is unknown. If it may not be repeated, it
            is only started if its deadline is early enough.
    """
    left_s = drain_left_s - _FLUSH_S
    if remaining_s <= left_s:
        return True
    if owed:
        typical_s = plan.work_s or plan.latency_s * _TYPICAL_LATENCY_FRACTION
        return typical_s <= left_s
    return plan.repeatable and not plan.large and plan.latency_s <= left_s
