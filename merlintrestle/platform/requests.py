"""Requests and answers in the platform's words."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from aiohttp import hdrs
import multidict

from merlintrestle.requests.calls import dialect as dialects
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

# Id of one attempt of a caller; a retry of its own has another one.
_ATTEMPT_ID = multidict.istr("X-Attempt-Id")
# Milliseconds that the caller waits.
_DEADLINE = multidict.istr("X-Deadline-Ms")
# Id of the backend server process that is to run the request.
_INSTANCE = multidict.istr("X-Target-Instance")
# Service of the instance at which the request began.
_ORIGIN = multidict.istr("X-Caller-Service")
# Digest by which callers know an answer of a backend server.
_SIGNATURE = multidict.istr("X-Response-Signature")
# Present in an answer to a request that the backend server did not run.
_NOT_RUN = multidict.istr("X-Not-Executed")
_RETRY_AFTER = "Retry-After"
_WRONG_INSTANCE = 421
_OVERLOADED = (429, 503)
_UNAVAILABLE = 503
# Statuses that tell callers that a request was not run and never will be.
_PROMISES = (408, 421, 429, 503)
# Answers that count only with a signature.
_SUCCESS = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDialect:
    """Routes by host and path, and the platform's headers.

    Attributes:
        service: Service of the instance on which this daemon runs.
    """

    service: str


@dialects.match_caller.register(PlatformDialect)
def _match_caller(
    dialect: PlatformDialect,
    running: snapshot.Snapshot,
    request: web.BaseRequest,
) -> routing.Match | outcomes.NotRun:
    return routing.match_host(
        running, request.headers.get(hdrs.HOST, ""), request.raw_path
    )


@dialects.read_metadata.register(PlatformDialect)
def _read_asked(
    dialect: PlatformDialect, request: web.BaseRequest
) -> parsing.CallMetadata:
    return parsing.CallMetadata(
        headers.read_number(request.headers, _DEADLINE),
        request.headers.get(_ATTEMPT_ID, ""),
        dialect.service,
        retries_keep_deadline=True,
    )


@dialects.may_be_nested.register(PlatformDialect)
def _may_be_nested(
    dialect: PlatformDialect, request: web.BaseRequest, working: bool
) -> bool:
    # Its backend servers don't tell; any request may be theirs while they work.
    return working


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
    """Returns the status; only those that promise "not run" say so.

    A call that did not run before its deadline is refused by 503: 504 would
    leave the caller of work that may not be repeated in doubt.
    """
    timed_out = outcome.status == outcomes.TIMEOUT_STATUS
    if isinstance(outcome, outcomes.NotRun) and timed_out:
        return _UNAVAILABLE
    return outcome.status


@dialects.build_backend_headers.register(PlatformDialect)
def _build_backend_headers(
    dialect: PlatformDialect, call: calls.Call, own: backends.LocalBackend
) -> multidict.CIMultiDict[str]:
    left_s = call.deadline - asyncio.get_running_loop().time()
    sent = call.headers.copy()
    sent[_ATTEMPT_ID] = call.request_id
    sent[_DEADLINE] = str(max(1, int(left_s * 1000)))
    sent[_ORIGIN] = call.origin
    sent.popall(_INSTANCE, None)
    if own.instance_id:
        sent[_INSTANCE] = own.instance_id
    return sent


@dialects.is_answer_to.register(PlatformDialect)
def _is_answer_to(
    dialect: PlatformDialect, answer: answers.Answer, call: calls.Call
) -> bool:
    sent = answer.headers
    if _ATTEMPT_ID in sent:
        return sent[_ATTEMPT_ID] == call.request_id
    # A second answer to an earlier request is one that was run. Without an id
    # only a refusal can be about this request.
    return not call.request_id or _is_refusal(answer)


@dialects.check_answer.register(PlatformDialect)
def _judge_answer(
    dialect: PlatformDialect, answer: answers.Answer
) -> outcomes.Failure | None:
    sent = answer.headers
    if _is_refusal(answer):
        return outcomes.NotRun(
            f"the backend server refused with {answer.status}",
            elsewhere=True,
            overloaded=answer.status in _OVERLOADED,
            reached=True,
        )
    if answer.status in _PROMISES:
        # Passed on, its status would promise that the request was not run.
        return outcomes.Ran(f"the backend server answered {answer.status}")
    if answer.status not in _SUCCESS:
        return None
    if _SIGNATURE not in sent or hdrs.CONTENT_ENCODING in sent:
        return outcomes.Ran("the answer is not the backend server's own")
    return None


def _is_refusal(answer: answers.Answer) -> bool:
    """Returns whether an answer proves that the request was not run."""
    return answer.status == _WRONG_INSTANCE or _NOT_RUN in answer.headers


@dialects.accepts_unframed_answers.register(PlatformDialect)
def _accepts_unframed(dialect: PlatformDialect) -> bool:
    return True
