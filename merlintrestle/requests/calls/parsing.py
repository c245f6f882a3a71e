"""Parsing of HTTP requests into calls, or into refusals."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.calls import routing
from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.documents import snapshot

# A call that is nested deeper is regarded as a loop between services.
MAX_DEPTH = 7
_MAX_KEY_CHARACTERS = 255


def match_caller_request(
    active_snapshot: snapshot.Snapshot, request: web.BaseRequest
) -> routing.Match | outcomes.NotRun:
    """Returns the destination of a caller's request, or a refusal.

    Refuses requests that are nested too deep or have no valid Idempotency-Key.
    """
    organisation = request.headers.get(headers.ORGANISATION, "")
    match = routing.match_service(
        active_snapshot, request.method, request.raw_path, organisation
    )
    if isinstance(match, outcomes.NotRun):
        return match
    if get_depth(request) > MAX_DEPTH:
        return outcomes.NotRun("the calls are nested too deep", 508, None)
    return _check_key(request, match.plan) or match


class CallMetadata(NamedTuple):
    """Metadata of a call, as stated in the headers of a request.

    Attributes:
        timeout_ms: Milliseconds for which the caller waits; None if not stated.
        request_id: Id that the caller gave to the request; empty if none.
        origin: Service of the instance at which the request began; empty if
            unknown.
        depth: Number of calls that the call is nested in.
        attempt_number: 0 if this daemon may retry the call. More than 0 if the
            call is a retry, or if another daemon may retry the call or one that
            it is nested in.
        waited_ms: Milliseconds that have elapsed since the caller's first
            attempt, during which the caller has waited.
        retries_keep_deadline: True if the caller does not mark retries, as in
            the platform's dialect: a retry has the deadline of the first
            attempt and states neither that it is a retry nor the time that has
            elapsed.
        suspect: True if a connection broke when the call was sent before, so
            that the call may have crashed a backend server.
        wait: How long the call may wait for a slot of the upstream's backend
            server.
        repeat: True if the call may have been sent to a backend server before.
        return_trip_ms: Estimated milliseconds that a refusal takes to reach the
            caller's daemon. They are part of `timeout_ms`.
        workspace: Name of the caller's workspace; empty if there is none.
    """

    timeout_ms: int | None
    request_id: str = ""
    origin: str = ""
    depth: int = 0
    attempt_number: int = 0
    waited_ms: int = 0
    retries_keep_deadline: bool = False
    suspect: bool = False
    wait: calls.Wait = calls.Wait.NORMAL
    repeat: bool = False
    return_trip_ms: int = 0
    workspace: str = ""


def match_peer_request(
    request: web.BaseRequest,
) -> routing.Match | outcomes.NotRun:
    """Returns the destination of another daemon's request, or a refusal.

    The other daemon has already chosen the service and the class of work.
    """
    path = request.raw_path
    service_end = path.find("/", 1)
    service = path[1:service_end]
    plan = plans.decode_plan(request.headers.get(headers.PLAN, ""))
    if plan is None:
        return outcomes.NotRun("the class of work is malformed", 400, None)
    return _check_key(request, plan) or routing.Match(
        service, plan, path[service_end:]
    )


def read_metadata(request: web.BaseRequest) -> CallMetadata:
    """Returns the metadata in the `Merlintrestle-` headers of a request."""
    request_headers = request.headers
    return CallMetadata(
        headers.read_number(request_headers, headers.DEADLINE),
        depth=get_depth(request),
        attempt_number=headers.read_number(request_headers, headers.ATTEMPT)
        or 0,
    )


def get_depth(request: web.BaseRequest) -> int:
    """Returns the number of calls that a request is nested in."""
    return headers.read_number(request.headers, headers.DEPTH) or 0


async def read_call(
    request: web.BaseRequest,
    match: routing.Match,
    metadata: CallMetadata,
    arrived_at: float,
    max_body_bytes: int | None = None,
) -> calls.Call | outcomes.NotRun:
    """Builds a call from a request, and reads the body if it is small.

    Args:
        request: The request.
        match: Destination of the request.
        metadata: Metadata of the call.
        arrived_at: Event loop time at which the request arrived, in seconds.
        max_body_bytes: Maximum size of the body; None: no limit.

    Returns:
        The call, or a refusal if the body is incomplete, too large or arrives
        too slowly.
    """
    plan = match.plan
    timeout_s = plan.deadline_s
    if metadata.timeout_ms is not None:
        timeout_s = min(timeout_s, metadata.timeout_ms / 1000)
    deadline = arrived_at + timeout_s
    try:
        body = await bodies.read_body(request, deadline, max_body_bytes)
    except bodies.BodyError as error:
        return outcomes.NotRun(str(error), error.status, error.retry_after_s)
    return calls.Call(
        service=match.service,
        plan=plan,
        method=request.method,
        target=match.target,
        organisation=plan.organisation,
        headers=headers.copy_end_to_end(request.headers),
        body=body,
        deadline=deadline,
        return_trip_s=metadata.return_trip_ms / 1000,
        latency_deadline=arrived_at
        - metadata.waited_ms / 1000
        + plan.latency_s,
        depth=metadata.depth,
        attempt_number=metadata.attempt_number,
        key=request.headers.get(headers.IDEMPOTENCY_KEY, ""),
        repeat=metadata.repeat,
        wait=metadata.wait,
        suspect=metadata.suspect,
        request_id=metadata.request_id,
        origin=metadata.origin,
        route=match.route,
        workspace=metadata.workspace,
        decision_log=decision_logs.DecisionLog(metadata.request_id),
    )


def _check_key(
    request: web.BaseRequest, plan: snapshot.ClassPlan
) -> outcomes.NotRun | None:
    if plan.repeatable:
        return None
    key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
    if not key and plan.key_required:
        return outcomes.NotRun("Idempotency-Key is missing", 400, None)
    if len(key) > _MAX_KEY_CHARACTERS:
        return outcomes.NotRun("Idempotency-Key is too long", 400, None)
    if not key.isascii():
        # The HTTP library drops bytes that are not UTF-8 when it forwards a
        # header, so the keys of two requests could become equal.
        return outcomes.NotRun("Idempotency-Key must be ASCII", 400, None)
    return None
