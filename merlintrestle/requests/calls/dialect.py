"""Dialects in which callers and backend servers talk to a daemon.

Daemons talk to each other in the same way whatever the dialect.
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
    """Paths that begin with a service name, and `Merlintrestle-` headers."""


@generics.remember_choices
@functools.singledispatch
def match_caller(
    dialect: object, running: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    """Returns the destination of a caller's request, or a refusal."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def read_metadata(
    dialect: object, request: web.BaseRequest
) -> parsing.CallMetadata:
    """Returns the metadata in the headers of a caller's request."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def may_be_nested(
    dialect: object, request: web.BaseRequest, working: bool
) -> bool:
    """Returns whether a request may come from work of this instance.

    Args:
        dialect: Dialect of the callers.
        request: The request.
        working: True if the local backend server is running calls.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def render(
    dialect: object, outcome: outcomes.Failure, request: web.BaseRequest
) -> web.Response:
    """Returns the response that reports a failure to a caller."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def build_backend_headers(
    dialect: object, call: calls.Call, backend: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    """Returns the headers with which a call is sent to the backend server."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def is_answer_to(
    dialect: object, answer: answers.Answer, call: calls.Call
) -> bool:
    """Returns whether an answer is for this call and not for another one."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def check_answer(
    dialect: object, answer: answers.Answer
) -> outcomes.Failure | None:
    """Returns the failure that an answer of the backend server stands for.

    Returns:
        None for an answer that is passed on to the caller.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.remember_choices
@functools.singledispatch
def accepts_unframed_answers(dialect: object) -> bool:
    """Returns whether closing the connection alone may end an answer."""
    raise TypeError(f"not a dialect: {dialect!r}")


@match_caller.register(NativeDialect)
def _match_caller(
    dialect: NativeDialect, running: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    return parsing.match_caller(running, request)


@read_metadata.register(NativeDialect)
def _read_metadata(
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
    dialect: NativeDialect, call: calls.Call, backend: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    remaining_s = call.deadline - asyncio.get_running_loop().time()
    sent_headers = call.headers.copy()
    sent_headers[headers.ORGANISATION] = call.organisation
    sent_headers[headers.DEADLINE] = str(max(1, int(remaining_s * 1000)))
    sent_headers[headers.DEPTH] = str(call.depth + 1)
    # Only the outermost repeatable call of a nest is retried; the calls nested
    # in it are sent as retries, so that they are not. Otherwise N nested
    # levels would run the lowest one N + 1 times, as each level has a retry.
    attempt = 1 if call.plan.repeatable else call.attempt
    sent_headers[headers.ATTEMPT] = str(attempt)
    return sent_headers


@is_answer_to.register(NativeDialect)
def _is_answer_to(
    dialect: NativeDialect, answer: answers.Answer, call: calls.Call
) -> bool:
    return True


@check_answer.register(NativeDialect)
def _check_answer(
    dialect: NativeDialect, answer: answers.Answer
) -> outcomes.Failure | None:
    return None


@accepts_unframed_answers.register(NativeDialect)
def _accepts_unframed_answers(dialect: NativeDialect) -> bool:
    return False
