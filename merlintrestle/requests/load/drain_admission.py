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
# How much longer than the longest recent one a call may take.
_DURATION_MARGIN = 3.0


def estimate_duration(
    plan: snapshot.ClassPlan, longest_s: float | None
) -> float:
    """Returns the time within which a call is expected to end, in seconds.

    Args:
        plan: Class of work of the call.
        longest_s: Duration of the longest recent call of its route, in seconds;
            None: there was none.
    """
    if longest_s is not None:
        return _DURATION_MARGIN * longest_s
    return plan.work_s or plan.latency_s * _TYPICAL_LATENCY_FRACTION


def may_start(
    remaining_s: float, drain_left_s: float, expected_s: float, owed: bool
) -> bool:
    """Returns whether a call is started although the daemon drains.

    Args:
        remaining_s: Time until the deadline of the call, in seconds.
        drain_left_s: Time until the drain ends, in seconds.
        expected_s: Result of `estimate_duration`.
        owed: Whether a refusal would fail a call that was accepted before, as
            this one is nested in it. Any other call is new work, or that is not
            known: it is only started if its deadline is early enough, as it can
            be sent again elsewhere.
    """
    left_s = drain_left_s - _FLUSH_S
    if remaining_s <= left_s or not owed:
        return remaining_s <= left_s
    return expected_s <= left_s
