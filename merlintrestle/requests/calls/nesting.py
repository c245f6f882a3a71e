"""Detection of calls that a backend server makes while it runs another call.

Such a nested call is served while the daemon drains, as the call that it is
nested in would fail otherwise.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.requests.calls import call as calls

# How much later the deadline of a nested call may be than that of the call that
# it is nested in, in seconds, for the time that the request needs to arrive.
# It may also be earlier by some milliseconds, as timeouts are rounded.
_DEADLINE_TOLERANCE_S = 0.1
_ROUNDING_S = 0.01


class Nesting(enum.Enum):
    """What a request itself states about being nested in another call."""

    # It is not nested.
    NONE = enum.auto()
    # It does not state whether it is nested.
    UNKNOWN = enum.auto()
    # It states that it is nested.
    NESTED = enum.auto()


def shares_deadline(
    running_calls: Iterable[calls.Call],
    arrived_at: float,
    timeout_ms: int | None,
) -> bool:
    """Returns whether a request has the deadline of a running call.

    A nested call ends with the call that it is nested in. Backend servers state
    the time that is left of that call, or pass on the timeout that they were
    given.

    Args:
        running_calls: The calls that run at the local backend server.
        arrived_at: Event loop time at which the request arrived, in seconds.
        timeout_ms: Timeout that the request states; None: it states none.
    """
    if timeout_ms is None:
        return False
    deadline = arrived_at + timeout_ms / 1000
    return any(
        timeout_ms == call.stated_timeout_ms
        or -_ROUNDING_S <= deadline - call.deadline <= _DEADLINE_TOLERANCE_S
        for call in running_calls
    )


def may_be_nested(
    running_calls: Iterable[calls.Call], timeout_ms: int | None
) -> bool:
    """Returns whether a request may be nested in a running call.

    A backend server has no more time than it was given, so a nested call states
    no more either. Callers, who begin anew, mostly do.

    Args:
        running_calls: The calls that run at the local backend server.
        timeout_ms: Timeout that the request states; None: it states none.
    """
    return timeout_ms is None or any(
        timeout_ms <= call.stated_timeout_ms for call in running_calls
    )
