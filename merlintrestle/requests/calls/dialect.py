"""HTTP conventions between a daemon and its callers and backend server.

A dialect determines the paths and headers that callers and backend servers use.
Requests between daemons do not depend on it.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from merlintrestle import generics
from merlintrestle.requests.calls import nesting
from merlintrestle.requests.calls import notices
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


@generics.cache_dispatch
@functools.singledispatch
def match_caller_request(
    dialect: object,
    active_snapshot: snapshot.Snapshot,
    request: web.BaseRequest,
) -> routing.Match | outcomes.NotRun:
    """Returns the destination of a caller's request, or a refusal."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def read_metadata(
    dialect: object, request: web.BaseRequest
) -> parsing.CallMetadata:
    """Returns the metadata in the headers of a caller's request."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def classify_nesting(
    dialect: object, request: web.BaseRequest, uses_api_keys: bool
) -> nesting.Nesting:
    """Returns what a request states about being nested in another call.

    Args:
        dialect: Dialect of the callers.
        request: The request.
        uses_api_keys: Whether the active version identifies callers by API
            keys.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def render(
    dialect: object, outcome: outcomes.Failure, request: web.BaseRequest
) -> web.Response:
    """Returns the response that reports a failure to a caller."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def build_backend_headers(
    dialect: object, call: calls.Call, backend: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    """Returns the headers with which a call is sent to the backend server."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def is_answer_to(
    dialect: object, answer: answers.Answer, call: calls.Call
) -> bool:
    """Returns whether an answer of the backend server is for this call.

    It may be for an earlier call over the same connection, if the backend
    server answered that call twice. A dialect can detect this only if answers
    state the id of their request; otherwise all answers are accepted.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def check_answer(
    dialect: object, answer: answers.Answer
) -> outcomes.Failure | None:
    """Returns the failure that an answer of the backend server reports.

    For example, a status or header may state that the request was not run.

    Returns:
        None if the answer is to be passed on to the caller.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def accepts_unframed_answers(dialect: object) -> bool:
    """Returns whether the end of an answer may be unmarked.

    The answer then ends when the backend server closes the connection.
    """
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def get_notice_headers(dialect: object) -> notices.NoticeHeaders:
    """Returns the headers in which a backend server states its notices."""
    raise TypeError(f"not a dialect: {dialect!r}")


@generics.cache_dispatch
@functools.singledispatch
def get_workspace_header(dialect: object) -> multidict.istr:
    """Returns the header in which a backend server gets the workspace."""
    raise TypeError(f"not a dialect: {dialect!r}")


@match_caller_request.register(NativeDialect)
def _match_caller_request(
    dialect: NativeDialect,
    active_snapshot: snapshot.Snapshot,
    request: web.BaseRequest,
) -> routing.Match | outcomes.NotRun:
    return parsing.match_caller_request(active_snapshot, request)


@read_metadata.register(NativeDialect)
def _read_metadata(
    dialect: NativeDialect, request: web.BaseRequest
) -> parsing.CallMetadata:
    return parsing.read_metadata(request)


@classify_nesting.register(NativeDialect)
def _classify_nesting(
    dialect: NativeDialect, request: web.BaseRequest, uses_api_keys: bool
) -> nesting.Nesting:
    if parsing.get_depth(request):
        return nesting.Nesting.NESTED
    return nesting.Nesting.NONE


@render.register(NativeDialect)
def _render(
    dialect: NativeDialect, outcome: outcomes.Failure, request: web.BaseRequest
) -> web.Response:
    return outcomes.render(outcome)


@build_backend_headers.register(NativeDialect)
def _build_backend_headers(
    dialect: NativeDialect, call: calls.Call, backend: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    sent_headers = call.headers.copy()
    sent_headers[headers.ORGANISATION] = call.organisation
    sent_headers[headers.DEADLINE] = call.state_timeout()
    sent_headers[headers.DEPTH] = str(call.depth + 1)
    # Only the outermost repeatable call is retried. The calls nested in it are
    # marked as retries (attempt 1), because daemons do not retry such calls.
    # Otherwise each of N levels would have a retry, and the innermost call
    # would run up to N + 1 times.
    attempt = 1 if call.plan.repeatable else call.attempt_number
    sent_headers[headers.ATTEMPT] = str(attempt)
    if call.workspace:
        sent_headers[headers.WORKSPACE] = call.workspace
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


@get_notice_headers.register(NativeDialect)
def _get_notice_headers(dialect: NativeDialect) -> notices.NoticeHeaders:
    return notices.NoticeHeaders(headers.RATE_LIMIT, headers.LEAVING)


@get_workspace_header.register(NativeDialect)
def _get_workspace_header(dialect: NativeDialect) -> multidict.istr:
    return headers.WORKSPACE
