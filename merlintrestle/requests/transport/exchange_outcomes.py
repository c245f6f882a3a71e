"""Classification of the result of one exchange over a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.transport import answers

# If a connection is reset after it was idle for less than this, in seconds, the
# reset is taken for a crash of the server: the idle timeouts of servers are
# longer.
_MIN_IDLE_S = 0.5
# If a call is sent over a connection that the server has already closed, the
# server replies with a reset. The reset arrives within this time, in seconds,
# as both ends are on the same instance.
_MAX_RESET_S = 0.05
DEADLINE_EXCEEDED = outcomes.Unknown(
    "no answer before the deadline", outcomes.TIMEOUT_STATUS
)


def matches_call(
    answer: answers.Answer,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
    dialect: object,
) -> bool:
    """Returns whether an answer belongs to a call.

    Daemons state the id of the call in each answer. Without this check, the
    answer to another call, and every later answer on the connection, would go
    to the wrong caller.
    """
    call_id = sent_headers.get(headers.CALL_ID)
    if call_id is not None:
        return answer.headers.get(headers.CALL_ID, call_id) == call_id
    return dialects.is_answer_to(dialect, answer, call)


def broke_while_idle(
    outcome: outcomes.Outcome, idle_s: float, duration_s: float
) -> bool:
    """Returns whether a connection was lost before a call was sent over it.

    The server may close an idle connection without sending anything, sooner
    than it has announced, and answer the next call with an immediate reset. If
    that were reported as the outcome, it would look like a crash of the backend
    server.

    Args:
        outcome: Outcome of the call over the connection.
        idle_s: Time for which the connection was idle before the call, in
            seconds.
        duration_s: Duration of the call, in seconds.
    """
    broke = isinstance(outcome, outcomes.Unknown) and outcome.broken
    return broke and idle_s >= _MIN_IDLE_S and duration_s <= _MAX_RESET_S


def build_failure(
    answer: answers.Answer | None,
    reason: str,
    status: int,
    broken: bool,
) -> outcomes.Failure:
    """Builds the failure of a call whose answer is incomplete."""
    if answer is None:
        return outcomes.Unknown(reason, status, broken=broken)
    return outcomes.Ran(f"{reason} in the answer", status, broken=broken)
