"""Results: what one send over a connection says about its call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.transport import answers

# A connection that was used so recently has not been forgotten, in seconds: no
# server closes connections sooner.
_IDLE_S = 0.5
# A reset of a connection that is gone comes within this time, in seconds: both
# ends are on one instance.
_GONE_S = 0.05
DEADLINE_EXCEEDED = outcomes.Unknown(
    "no answer before the deadline", outcomes.TIMEOUT_STATUS
)


def belongs(
    answer: answers.Answer,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
    dialect: object,
) -> bool:
    """Returns whether an answer is to what was sent, and not to another call.

    Daemons name the call in each answer. Taken for this call's, another one's
    answer would go to the wrong caller, and so would all that follow it on
    the connection.
    """
    call_id = sent_headers.get(headers.CALL_ID)
    if call_id is not None:
        return answer.headers.get(headers.CALL_ID, call_id) == call_id
    return dialects.is_answer_to(dialect, answer, call)


def broke_while_idle(
    outcome: outcomes.Outcome, idle_s: float, took_s: float
) -> bool:
    """Returns whether a connection was gone before a call was sent over it.

    The other side may forget a connection that is idle, sooner than it said
    and without a word; what is sent next is answered by a reset, at once.
    Passed up, that would look like a crash of the backend server.
    """
    broke = isinstance(outcome, outcomes.Unknown) and outcome.broken
    return broke and idle_s >= _IDLE_S and took_s <= _GONE_S


def fail(
    answer: answers.Answer | None,
    reason: str,
    status: int,
    broken: bool,
) -> outcomes.Failure:
    """Returns the failure of a call whose answer did not come whole."""
    if answer is None:
        return outcomes.Unknown(reason, status, broken=broken)
    return outcomes.Ran(f"{reason} in the answer", status, broken=broken)
