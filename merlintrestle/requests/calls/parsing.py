"""Intake: from an HTTP request to a call, or to why it is refused."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.calls import routing
from merlintrestle.requests.reports import stories
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.documents import snapshot

# Calls may be nested this deep; a deeper one is a loop between services.
MAX_DEPTH = 7
_MAX_KEY_CHARACTERS = 255


def match_caller(
    running: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    """Returns where a caller's request goes."""
    organisation = request.headers.get(headers.ORGANISATION, "")
    match = routing.find_class(
        running, request.method, request.raw_path, organisation
    )
    if isinstance(match, outcomes.NotRun):
        return match
    if get_depth(request) > MAX_DEPTH:
        return outcomes.NotRun("the calls are nested too deep", 508, None)
    return _check_key(request, match.plan) or match


class CallMetadata(NamedTuple):
    """What the headers of a request ask for.

    Attributes:
        timeout_ms: Milliseconds that the caller waits; None: not stated.
        request_id: Id that the caller gave the request; empty: none.
        origin: Service of the instance at which it began; empty: not known.
        depth: Calls above it.
        attempt: More than 0 if it is a retry, or will be retried from above.
        waited_ms: Milliseconds since the caller's first attempt.
        retries_keep_deadline: True if a caller that comes back says nothing of
            its first attempt, and states the end of its wait as before.
        suspect: True if the call broke a connection before.
        wait: How long it may wait for a slot of the backend server.
        repeat: True if a backend server may have been sent it before.
        return_trip_ms: Milliseconds of the limit that a refusal needs to be
            back in time.
    """

    timeout_ms: int | None
    request_id: str = ""
    origin: str = ""
    depth: int = 0
    attempt: int = 0
    waited_ms: int = 0
    retries_keep_deadline: bool = False
    suspect: bool = False
    wait: calls.Wait = calls.Wait.NORMAL
    repeat: bool = False
    return_trip_ms: int = 0


def match_peer(request: web.BaseRequest) -> routing.Match | outcomes.NotRun:
    """Returns what a request from another daemon is for."""
    path = request.raw_path
    end = path.find("/", 1)
    service = path[1:end]
    plan = plans.decode_plan(request.headers.get(headers.PLAN, ""))
    if plan is None:
        return outcomes.NotRun("the class of work is malformed", 400, None)
    return _check_key(request, plan) or routing.Match(service, plan, path[end:])


def read_metadata(request: web.BaseRequest) -> CallMetadata:
    """Returns what the product's own headers ask for."""
    sent = request.headers
    return CallMetadata(
        headers.read_number(sent, headers.DEADLINE),
        depth=get_depth(request),
        attempt=headers.read_number(sent, headers.ATTEMPT) or 0,
    )


def get_depth(request: web.BaseRequest) -> int:
    """Returns how many calls are above a request."""
    return headers.read_number(request.headers, headers.DEPTH) or 0


async def read_call(
    request: web.BaseRequest,
    match: routing.Match,
    asked: CallMetadata,
    began: float,
) -> calls.Call | outcomes.NotRun:
    """Reads a request, its body too if it is small.

    Args:
        request: The request.
        match: Where it goes.
        asked: What its headers ask for.
        began: Time of the event loop at which it came, in seconds.
    """
    plan = match.plan
    limit_s = plan.deadline_s
    if asked.timeout_ms is not None:
        limit_s = min(limit_s, asked.timeout_ms / 1000)
    deadline = began + limit_s
    try:
        body = await bodies.read_body(
            request, deadline, hold_chunks=not plan.repeatable
        )
    except bodies.BodyError as error:
        return outcomes.NotRun(str(error), 400, None)
    return calls.Call(
        service=match.service,
        plan=plan,
        method=request.method,
        target=match.target,
        organisation=plan.organisation,
        headers=headers.copy_end_to_end(request.headers),
        body=body,
        deadline=deadline,
        return_trip_s=asked.return_trip_ms / 1000,
        latency_deadline=began - asked.waited_ms / 1000 + plan.latency_s,
        depth=asked.depth,
        attempt=asked.attempt,
        key=request.headers.get(headers.KEY, ""),
        repeat=asked.repeat,
        wait=asked.wait,
        suspect=asked.suspect,
        request_id=asked.request_id,
        origin=asked.origin,
        route=match.route,
        story=stories.Story(asked.request_id),
    )


def _check_key(
    request: web.BaseRequest, plan: snapshot.ClassPlan
) -> outcomes.NotRun | None:
    if plan.repeatable:
        return None
    key = request.headers.get(headers.KEY, "")
    if not key and plan.key_required:
        return outcomes.NotRun("Idempotency-Key is missing", 400, None)
    if len(key) > _MAX_KEY_CHARACTERS:
        return outcomes.NotRun("Idempotency-Key is too long", 400, None)
    if not key.isascii():
        # The library drops what is not UTF-8 when it passes a header on, so
        # that the keys of two requests could become the same.
        return outcomes.NotRun("Idempotency-Key must be ASCII", 400, None)
    return None
