"""Dialects: how callers and backend servers speak to a daemon.

What daemons say to each other is the same in every dialect.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TYPE_CHECKING

from merlintrestle import generics
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from aiohttp import web
    import multidict

    from merlintrestle.documents import snapshot
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import routing
    from merlintrestle.requests.transport import answers


@dataclasses.dataclass(frozen=True, slots=True)
class NativeDialect:
    """Paths that begin with a service, and `Merlintrestle-` headers."""


@generics.remember_choices
@functools.singledispatch
def match_caller(
    dialect: object, running: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    """Returns where a caller's request goes."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def read_metadata(
    dialect: object, request: web.BaseRequest
) -> parsing.CallMetadata:
    """Returns what a caller's headers ask for."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def may_be_nested(
    dialect: object, request: web.BaseRequest, working: bool
) -> bool:
    """Returns whether a request may be made by work of this instance.

    Args:
        dialect: How callers speak.
        request: The request.
        working: The own backend server is at work.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def render(
    dialect: object, outcome: outcomes.Failure, request: web.BaseRequest
) -> web.Response:
    """Returns the answer that tells a caller of a failure."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def build_backend_headers(
    dialect: object, call: calls.Call, own: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    """Returns the headers under which the backend server gets a call."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def is_answer_to(
    dialect: object, answer: answers.Answer, call: calls.Call
) -> bool:
    """Returns whether an answer belongs to a call and not to another one."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def check_answer(
    dialect: object, answer: answers.Answer
) -> outcomes.Failure | None:
    """Returns what an answer of the backend server says beside itself.

    Returns:
        None for an answer that is to be passed on.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def accepts_unframed_answers(dialect: object) -> bool:
    """Returns whether an answer may end with its connection alone."""
    raise TypeError(f"not a dialect: {dialect!r}")


@match_caller.register(NativeDialect)
def _match_caller(
    dialect: NativeDialect, running: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    return parsing.match_caller(running, request)


@read_metadata.register(NativeDialect)
def _read_asked(
    dialect: NativeDialect, request: web.BaseRequest
) -> parsing.CallMetadata:
    return parsing.read_metadata(request)


@may_be_nested.register(NativeDialect)
def _may_be_nested(
    dialect: NativeDialect, request: web.BaseRequest, working: bool
) -> bool:
    return parsing.get_depth(request) > 0


@render.register(NativeDialect)
def _render(
    dialect: NativeDialect, outcome: outcomes.Failure, request: web.BaseRequest
) -> web.Response:
    return outcomes.render(outcome)


@build_backend_headers.register(NativeDialect)
def _build_backend_headers(
    dialect: NativeDialect, call: calls.Call, own: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    left_s = call.deadline - asyncio.get_running_loop().time()
    sent = call.headers.copy()
    sent[headers.ORGANISATION] = call.organisation
    sent[headers.DEADLINE] = str(max(1, int(left_s * 1000)))
    sent[headers.DEPTH] = str(call.depth + 1)
    # The outermost repeatable call of a nest is the one that is tried again;
    # calls below it are told not to. Else N nested levels run the lowest one
    # N + 1 times, each level having its own second try.
    above = 1 if call.plan.repeatable else call.attempt
    sent[headers.ATTEMPT] = str(above)
    return sent


@is_answer_to.register(NativeDialect)
def _is_answer_to(
    dialect: NativeDialect, answer: answers.Answer, call: calls.Call
) -> bool:
    return True


@check_answer.register(NativeDialect)
def _judge_answer(
    dialect: NativeDialect, answer: answers.Answer
) -> outcomes.Failure | None:
    return None


@accepts_unframed_answers.register(NativeDialect)
def _accepts_unframed(dialect: NativeDialect) -> bool:
    return False
