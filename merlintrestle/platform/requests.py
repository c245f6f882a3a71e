"""Dialect of the platform's callers and backend servers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from aiohttp import hdrs
import multidict

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import nesting
from merlintrestle.requests.calls import notices
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.calls import routing
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.documents import snapshot
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.calls import call as calls

# Id of one attempt of a caller; each retry by the caller has a new one.
_ATTEMPT_ID = multidict.istr("X-Attempt-Id")
# Caller's remaining time, in ms.
_DEADLINE = multidict.istr("X-Deadline-Ms")
# Id of the backend server process (platform: instance) to run the request.
_TARGET_INSTANCE = multidict.istr("X-Target-Instance")
# Service of the instance whose daemon received the request from the caller.
_ORIGIN = multidict.istr("X-Caller-Service")
# Digest by which callers recognize the answer of a backend server.
_SIGNATURE = multidict.istr("X-Response-Signature")
# Present in an answer to a request that the backend server did not run.
_NOT_EXECUTED = multidict.istr("X-Not-Executed")
# Requests per second that the backend server accepts from all daemons together.
_RATE_LIMIT = multidict.istr("Server-Limit")
# Workspace of the caller (platform: tenant).
_WORKSPACE = multidict.istr("X-Tenant-Id")
# "1" in the answers of a backend server that leaves.
_LEAVING = multidict.istr("Server-Leaving")
_RETRY_AFTER = "Retry-After"
_MISDIRECTED = 421
_OVERLOAD_STATUSES = (429, 503)
_UNAVAILABLE = 503
# Statuses that promise callers that the request was not run and never will be.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses whose answers require a signature.
_SUCCESS_STATUSES = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDialect:
    """Routes by host and path, and the platform's headers.

    Attributes:
        service: Service of the local instance.
    """

    service: str


@dialects.match_caller_request.register(PlatformDialect)
def _match_caller_request(
    dialect: PlatformDialect,
    active_snapshot: snapshot.Snapshot,
    request: web.BaseRequest,
) -> routing.Match | outcomes.NotRun:
    return routing.match_host(
        active_snapshot, request.headers.get(hdrs.HOST, ""), request.raw_path
    )


@dialects.read_metadata.register(PlatformDialect)
def _read_metadata(
    dialect: PlatformDialect, request: web.BaseRequest
) -> parsing.CallMetadata:
    return parsing.CallMetadata(
        headers.read_number(request.headers, _DEADLINE),
        request.headers.get(_ATTEMPT_ID, ""),
        dialect.service,
        retries_keep_deadline=True,
    )


@dialects.classify_nesting.register(PlatformDialect)
def _classify_nesting(
    dialect: PlatformDialect, request: web.BaseRequest, uses_api_keys: bool
) -> nesting.Nesting:
    # Nested calls are not marked, but only callers have keys.
    has_key = uses_api_keys and hdrs.AUTHORIZATION in request.headers
    return nesting.Nesting.NONE if has_key else nesting.Nesting.UNKNOWN


@dialects.render.register(PlatformDialect)
def _render(
    dialect: PlatformDialect,
    outcome: outcomes.Failure,
    request: web.BaseRequest,
) -> web.Response:
    response = answers.ShortAnswer(
        _choose_status(outcome), "text/plain", outcome.reason + "\n"
    )
    attempt_id = request.headers.get(_ATTEMPT_ID)
    if attempt_id is not None:
        response.headers[_ATTEMPT_ID] = attempt_id
    if isinstance(outcome, outcomes.NotRun) and outcome.retry_after_s:
        response.headers[_RETRY_AFTER] = f"{outcome.retry_after_s:.3f}"
    return response


def _choose_status(outcome: outcomes.Failure) -> int:
    """Returns the status to send to the caller.

    A call that did not run before its deadline is refused with 503: with 504,
    a caller could not tell whether work that must not be repeated had run.
    """
    timed_out = outcome.status == outcomes.TIMEOUT_STATUS
    if isinstance(outcome, outcomes.NotRun) and timed_out:
        return _UNAVAILABLE
    return outcome.status


@dialects.build_backend_headers.register(PlatformDialect)
def _build_backend_headers(
    dialect: PlatformDialect, call: calls.Call, backend: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    sent_headers = call.headers.copy()
    sent_headers[_ATTEMPT_ID] = call.request_id
    sent_headers[_DEADLINE] = call.state_timeout()
    sent_headers[_ORIGIN] = call.origin
    sent_headers.popall(_TARGET_INSTANCE, None)
    if backend.instance_id:
        sent_headers[_TARGET_INSTANCE] = backend.instance_id
    if call.workspace:
        sent_headers[_WORKSPACE] = call.workspace
    return sent_headers


@dialects.is_answer_to.register(PlatformDialect)
def _is_answer_to(
    dialect: PlatformDialect, answer: answers.Answer, call: calls.Call
) -> bool:
    received = answer.headers
    if _ATTEMPT_ID in received:
        return received[_ATTEMPT_ID] == call.request_id
    # An answer without an id may be a second one to an earlier request. That
    # request was run, so a refusal is certain to be the answer to this one.
    return not call.request_id or _is_refusal(answer)


@dialects.check_answer.register(PlatformDialect)
def _check_answer(
    dialect: PlatformDialect, answer: answers.Answer
) -> outcomes.Failure | None:
    received = answer.headers
    if _is_refusal(answer):
        return outcomes.NotRun(
            f"the backend server refused with {answer.status}",
            elsewhere=True,
            overloaded=answer.status in _OVERLOAD_STATUSES,
            reached=True,
        )
    if answer.status in _NOT_RUN_STATUSES:
        # If passed on, its status would promise that the request was not run.
        return outcomes.Ran(f"the backend server answered {answer.status}")
    if answer.status not in _SUCCESS_STATUSES:
        return None
    if _SIGNATURE not in received or hdrs.CONTENT_ENCODING in received:
        return outcomes.Ran("the answer is not the backend server's own")
    return None


def _is_refusal(answer: answers.Answer) -> bool:
    """Returns whether an answer proves that the request was not run."""
    return answer.status == _MISDIRECTED or _NOT_EXECUTED in answer.headers


@dialects.accepts_unframed_answers.register(PlatformDialect)
def _accepts_unframed_answers(dialect: PlatformDialect) -> bool:
    return True


@dialects.get_notice_headers.register(PlatformDialect)
def _get_notice_headers(dialect: PlatformDialect) -> notices.NoticeHeaders:
    return notices.NoticeHeaders(_RATE_LIMIT, _LEAVING)


@dialects.get_workspace_header.register(PlatformDialect)
def _get_workspace_header(dialect: PlatformDialect) -> multidict.istr:
    return _WORKSPACE
