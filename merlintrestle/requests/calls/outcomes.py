"""Outcomes of a call, and the answers that state them."""

from __future__ import annotations

import dataclasses
import functools
import json
import math
from typing import TYPE_CHECKING

from aiohttp import web
import multidict

from merlintrestle import generics
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


# Status by which a backend server sheds load.
SHEDDING_STATUS = 503
# Least status of a failure of the backend server.
MIN_SERVER_ERROR_STATUS = 500
# Status of an answer that did not come in time.
TIMEOUT_STATUS = 504


@dataclasses.dataclass(slots=True)
class Answered:
    """A backend server answered, well or badly.

    Attributes:
        response: The answer, its headers read.
        body: Its whole body; None: to be passed on in pieces.
        release_callbacks: What frees what the call holds, in this order.
        truncated: True if its body broke off.
    """

    response: answers.Answer
    body: bytes | None
    release_callbacks: list[Callable[[], None]]
    truncated: bool = False

    def add_release_callback(self, leave: Callable[[], None]) -> None:
        """Has something else freed as well once the body has ended."""
        self.release_callbacks.append(leave)

    def release(self) -> None:
        """Frees what the call holds; called once its body has ended."""
        # What is freed refers to this outcome. Left in the list, it would keep
        # the call in memory until the garbage collector stops all others.
        leaves, self.release_callbacks = self.release_callbacks, []
        for leave in leaves:
            leave()


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call truly did not run and never will.

    Attributes:
        reason: Why, in one sentence for the caller.
        status: HTTP status of the answer.
        retry_after_s: Seconds until it is worth coming back; None: not at all.
        elsewhere: True if another upstream may take the call at once.
        overloaded: True if it was refused for lack of capacity.
        unreachable: True if no connection could be made.
        reached: True if it was the backend server that refused it.
        unqueued: True if it was refused as it was not to wait for a slot; the
            wait would have lasted for `retry_after_s`.
    """

    reason: str
    status: int = 503
    retry_after_s: float | None = 1.0
    elsewhere: bool = False
    overloaded: bool = False
    unreachable: bool = False
    reached: bool = False
    unqueued: bool = False


TOO_LATE = NotRun("the deadline has passed", 504, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The call ran, and its answer is not to be had.

    Attributes:
        reason: Why, in one sentence for the caller.
        status: HTTP status of the answer.
        retry_after_s: Seconds until it is worth coming back; None: not at all.
        broken: True if the connection broke, as it does at a crash.
    """

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have run.

    Attributes:
        reason: Why, in one sentence for the caller.
        status: HTTP status of the answer.
        retry_after_s: Seconds until asking again with the same key may settle
            it; None: not at all.
        broken: True if the connection broke, as it does at a crash.
    """

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The kept answer of a call that ran before.

    Attributes:
        status: HTTP status of the answer.
        headers: Its end-to-end headers.
        body: Its whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = Answered | Replayed | NotRun | Ran | Unknown
Failure = NotRun | Ran | Unknown
# What logs and metrics call the failures.
FAILURE_NAMES: dict[type, str] = {
    NotRun: "refused",
    Ran: "failed",
    Unknown: "unknown",
}


def release_unused(task: asyncio.Future[Outcome]) -> None:
    """Frees what the answer of a send that has ended unneeded holds."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, Answered):
        outcome.release()


@generics.remember_choices
@functools.singledispatch
def render(outcome: object) -> web.Response:
    """Returns the answer to a caller that needs no body passed on."""
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
    return _build("not-run", outcome, outcome.retry_after_s)


@render.register
def _render_ran(outcome: Ran) -> web.Response:
    return _build("ran", outcome, outcome.retry_after_s)


@render.register
def _render_unknown(outcome: Unknown) -> web.Response:
    return _build("unknown", outcome, outcome.retry_after_s)


def read_failure(answered: Answered) -> Failure:
    """Returns the failure that another daemon stated in its answer."""
    response = answered.response
    answered.release()
    try:
        stated = json.loads(answered.body or b"")
        fields = {
            "reason": str(stated["reason"]),
            "retry_after_s": stated["retry_after_s"],
        }
    except (ValueError, KeyError, TypeError):
        stated = {}
        fields = {
            "reason": "a daemon refused without a reason",
            "retry_after_s": None,
        }
    fields["status"] = response.status
    name = response.headers[headers.OUTCOME]
    if name == "not-run":
        return NotRun(
            **fields,
            elsewhere=bool(stated.get("elsewhere")),
            overloaded=bool(stated.get("overloaded")),
            reached=bool(stated.get("reached")),
            unqueued=bool(stated.get("unqueued")),
        )
    broken = bool(stated.get("broken"))
    if name == "ran":
        return Ran(**fields, broken=broken)
    return Unknown(**fields, broken=broken)


def _build(
    name: str, outcome: Failure, retry_after_s: float | None
) -> web.Response:
    # Under load most answers to other daemons are refusals; the library's
    # `asdict` copies each field as if it held others.
    fields: dict[str, object] = {"outcome": name}
    for field in outcome.__slots__:
        fields[field] = getattr(outcome, field)
    response = answers.Short(
        outcome.status, "application/json", json.dumps(fields)
    )
    response.headers[headers.OUTCOME] = name
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    return response
