"""Outcomes of calls and the HTTP responses that report them."""

from __future__ import annotations

import dataclasses
import functools
import json
import math
from typing import Any, TYPE_CHECKING

from aiohttp import web
import multidict

from merlintrestle import decoding
from merlintrestle import generics
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


# Status with which a backend server sheds load.
SHEDDING_STATUS = 503
# Lowest status that means a failure of the backend server.
MIN_SERVER_ERROR_STATUS = 500
# Status with which a daemon reports that there was no answer in time.
TIMEOUT_STATUS = 504
# Limits of a failure that another daemon reports.
_MAX_FAILURE_BYTES = 64 * 1024
_MAX_RETRY_AFTER_S = 1e6


@dataclasses.dataclass(slots=True)
class Answered:
    """A backend server answered the call, with a success or an error status.

    Attributes:
        response: The answer, whose headers have been read.
        body: The whole body of the answer; None if it is passed on in chunks.
        release_callbacks: Callbacks that free the resources of the call, in
            the order in which they are run.
        truncated: True if the body of the answer ended early.
    """

    response: answers.Answer
    body: bytes | None
    release_callbacks: list[Callable[[], None]]
    truncated: bool = False

    def add_release_callback(self, callback: Callable[[], None]) -> None:
        """Adds a callback that frees a resource once the body has ended."""
        self.release_callbacks.append(callback)

    def release(self) -> None:
        """Frees the resources of the call; called once its body has ended."""
        # The callbacks refer to this outcome. If they remained in the list, the
        # call would stay in memory until the garbage collector runs, and all
        # other calls pause while it runs.
        callbacks, self.release_callbacks = self.release_callbacks, []
        for callback in callbacks:
            callback()


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call certainly did not run and never will.

    Attributes:
        reason: Reason in one sentence, for the caller.
        status: HTTP status of the response to the caller.
        retry_after_s: Seconds until a retry is worthwhile; None if never.
        elsewhere: True if the call may be retried at another upstream at once.
        overloaded: True if the call was refused for lack of capacity.
        unreachable: True if no connection to the backend server or daemon could
            be opened, so that the call was not sent.
        reached: True if the call reached the backend server, which itself
            refused it.
        unqueued: True if the call was refused because it was not allowed to
            wait for a slot; the wait would have taken `retry_after_s`.
        rate_limited: True if the rate limit of the backend server allowed no
            call at that time.
    """

    reason: str
    status: int = 503
    retry_after_s: float | None = 1.0
    elsewhere: bool = False
    overloaded: bool = False
    unreachable: bool = False
    reached: bool = False
    unqueued: bool = False
    rate_limited: bool = False


TOO_LATE = NotRun("the deadline has passed", 504, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The call ran, but its answer is not available.

    Attributes:
        reason: Reason in one sentence, for the caller.
        status: HTTP status of the response to the caller.
        retry_after_s: Seconds until a retry is worthwhile; None if never.
        broken: True if the connection of the call broke, as in a crash of the
            backend server.
    """

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have run.

    Attributes:
        reason: Reason in one sentence, for the caller.
        status: HTTP status of the response to the caller.
        retry_after_s: Seconds until a retry with the same key may return the
            actual outcome; None if never.
        broken: True if the connection of the call broke, as in a crash of the
            backend server.
    """

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The stored answer of a call that ran before.

    Attributes:
        status: HTTP status of the answer.
        headers: End-to-end headers of the answer.
        body: The whole body of the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = Answered | Replayed | NotRun | Ran | Unknown
Failure = NotRun | Ran | Unknown
# Names of the failures in logs and metrics.
FAILURE_NAMES: dict[type, str] = {
    NotRun: "refused",
    Ran: "failed",
    Unknown: "unknown",
}


def was_sent(outcome: Outcome) -> bool:
    """Returns whether a call was, or may have been, sent to a backend server.

    Args:
        outcome: Outcome of the call at the daemon of that backend server.
    """
    return not isinstance(outcome, NotRun) or outcome.reached


def release_unused(task: asyncio.Future[Outcome]) -> None:
    """Releases the answer of a task whose result is no longer needed.

    Args:
        task: The task, which calls this function when it is done.
    """
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, Answered):
        outcome.release()


@generics.cache_dispatch
@functools.singledispatch
def render(outcome: object) -> web.Response:
    """Returns the response that reports an outcome other than `Answered`."""
    raise TypeError(f"cannot be rendered: {outcome!r}")


@render.register
def _render_replayed(outcome: Replayed) -> web.Response:
    return web.Response(
        body=outcome.body,
        status=outcome.status,
        headers=multidict.CIMultiDict(outcome.headers),
    )


@render.register
def _render_not_run(outcome: NotRun) -> web.Response:
    return _build_failure_response("not-run", outcome, outcome.retry_after_s)


@render.register
def _render_ran(outcome: Ran) -> web.Response:
    return _build_failure_response("ran", outcome, outcome.retry_after_s)


@render.register
def _render_unknown(outcome: Unknown) -> web.Response:
    return _build_failure_response("unknown", outcome, outcome.retry_after_s)


def read_failure(answered: Answered) -> Failure:
    """Returns the failure that another daemon reported.

    Releases the answer, whose body is already in memory.
    """
    response = answered.response
    answered.release()
    reported = _decode_failure(answered.body or b"")
    fields: dict[str, Any] = {
        "reason": reported["reason"],
        "retry_after_s": reported["retry_after_s"],
        "status": response.status,
    }
    outcome_name = response.headers[headers.OUTCOME]
    if outcome_name == "not-run":
        return NotRun(
            **fields,
            elsewhere=bool(reported.get("elsewhere")),
            overloaded=bool(reported.get("overloaded")),
            reached=bool(reported.get("reached")),
            unqueued=bool(reported.get("unqueued")),
            rate_limited=bool(reported.get("rate_limited")),
        )
    broken = bool(reported.get("broken"))
    if outcome_name == "ran":
        return Ran(**fields, broken=broken)
    return Unknown(**fields, broken=broken)


def _decode_failure(body: bytes) -> dict[str, Any]:
    """Returns the fields of a failure that another daemon reported."""
    try:
        reported = decoding.decode_json(body, _MAX_FAILURE_BYTES)
        if (
            isinstance(reported, dict)
            and isinstance(reported["reason"], str)
            and _is_delay(reported["retry_after_s"])
        ):
            return reported
    except (decoding.MalformedValueError, KeyError):
        pass
    decoding.report_refused("refusal", body[:_MAX_FAILURE_BYTES])
    return {
        "reason": "a daemon refused without a reason",
        "retry_after_s": None,
    }


def _is_delay(value: Any) -> bool:
    return value is None or decoding.is_number(value, _MAX_RETRY_AFTER_S)


def _build_failure_response(
    outcome_name: str, outcome: Failure, retry_after_s: float | None
) -> web.Response:
    # Not `dataclasses.asdict`, which copies each field as if it were a
    # container: under load, most responses to other daemons are refusals.
    fields: dict[str, object] = {"outcome": outcome_name}
    for field in outcome.__slots__:
        fields[field] = getattr(outcome, field)
    response = answers.ShortAnswer(
        outcome.status, "application/json", json.dumps(fields)
    )
    response.headers[headers.OUTCOME] = outcome_name
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    return response
