"""Handling of requests on the caller port."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from aiohttp import hdrs

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.load import refused_callers
from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.serving import drains
from merlintrestle.requests.serving import responses
from merlintrestle.requests.transport import pipelining
from merlintrestle.requests.workspaces import admission
from merlintrestle.requests.workspaces import credentials

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web

    from merlintrestle.documents import snapshot
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import routing
    from merlintrestle.requests.reports import latencies as latencies_
    from merlintrestle.requests.reports import outcome_counts as outcome_counts_
    from merlintrestle.requests.serving import dispatch
    from merlintrestle.requests.serving import serving_state as serving_states

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_ROUTE_UNDECIDED = outcomes.NotRun(
    "this daemon cannot use the newest version, which may have the route",
    elsewhere=True,
)


class CallerHandler:
    """Handles the requests of callers by sending their calls to upstreams.

    Attributes:
        drain_admission: Refuses calls while the daemon drains.
    """

    def __init__(
        self,
        state: serving_states.ServingState,
        dialect: object,
        dispatcher: dispatch.Dispatcher,
        outcome_counts: outcome_counts_.OutcomeCounts,
        latencies: latencies_.Latencies,
        list_running_calls: Callable[[], Collection[calls.Call]],
        workspace_admission: admission.WorkspaceAdmission,
    ):
        """Initializes the handler.

        Args:
            state: The serving state of this daemon.
            dialect: The dialect of the callers.
            dispatcher: Sends calls to upstreams.
            outcome_counts: Counts the outcomes of the calls of each class.
            latencies: Records how long callers waited for answers.
            list_running_calls: Returns the calls that run at the local backend
                server.
            workspace_admission: Admits requests while the active version has
                workspaces.
        """
        self._workspace_admission = workspace_admission
        self._workspace_header = dialects.get_workspace_header(dialect)
        self._state = state
        self.drain_admission = drains.DrainAdmission(
            state, dialect, list_running_calls
        )
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._outcome_counts = outcome_counts
        self._latencies = latencies
        self._get_time = asyncio.get_running_loop().time
        self._refused_callers = refused_callers.RefusedCallers(self._get_time)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request.

        Before a stop the answer closes its connection, unless requests behind
        it were sent on already: their answers would be lost.
        """
        response = await self._answer(request)
        return responses.force_close_if(
            self._state.caller_keep_alive_disabled
            and not pipelining.is_followed(request),
            response,
        )

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        started_at = pipelining.get_arrival(request, self._get_time())
        active_snapshot = self._state.get_active_snapshot()
        if isinstance(active_snapshot, outcomes.NotRun):
            return self._refuse(active_snapshot, request)
        match = self._match(request, active_snapshot, started_at)
        if isinstance(match, outcomes.NotRun):
            return self._refuse(match, request)
        if not self._may_run(request, match):
            await pipelining.wait_for_turn(request)
            # The version and the state of this daemon may have changed.
            return await self._answer(request)
        admitted: admission.Admitted | None = None
        dispatched = False
        self._state.begin_call()
        try:
            if active_snapshot.requires_api_keys:
                decision = await self._admit(active_snapshot, match, request)
                if isinstance(decision, outcomes.NotRun):
                    decision_logs.write_not_admitted(
                        dialects.read_metadata(
                            self._dialect, request
                        ).request_id,
                        admission.get_refusal_cause(decision),
                        decision,
                    )
                    return self._refuse(decision, request)
                admitted = decision
                match = match._replace(plan=admitted.plan)
            metadata = self._read_metadata(request, match, started_at)
            limits = active_snapshot.limits
            call = await parsing.read_call(
                request,
                match,
                metadata,
                started_at,
                limits and (limits.max_body_bytes or None),
            )
            if isinstance(call, outcomes.NotRun):
                return self._refuse(call, request)
            refusal = self.drain_admission.check_call(
                call, request, active_snapshot, started_at
            )
            if refusal is not None:
                return self._refuse(refusal, request)
            call.may_be_unframed = functools.partial(
                pipelining.may_end_connection, request
            )
            if admitted is not None:
                self._apply_workspace(call, admitted)
            call.decision_log.add(
                "routed",
                version=active_snapshot.version,
                service=match.service,
                work=match.plan.name,
                left_ms=round((call.deadline - started_at) * 1000),
                limit=_get_timeout_source(call, metadata),
                waited_ms=metadata.waited_ms,
            )
            dispatched = True
            return await self._serve(
                request, call, started_at, metadata, admitted
            )
        finally:
            if admitted is not None and not dispatched:
                self._workspace_admission.give_back(admitted)
            self._state.end_call()

    def _match(
        self,
        request: web.BaseRequest,
        active_snapshot: snapshot.Snapshot,
        started_at: float,
    ) -> routing.Match | outcomes.NotRun:
        """Returns the destination of a request, or a refusal.

        Once this daemon drains, it refuses what it could not answer in time.
        """
        match = dialects.match_caller_request(
            self._dialect, active_snapshot, request
        )
        if isinstance(match, outcomes.NotRun):
            return self._correct_unknown_route(match)
        refusal = self.drain_admission.check_request(
            request,
            active_snapshot,
            match.plan,
            drains.name_route(match.route, match.service, match.plan),
            started_at,
        )
        return refusal or match

    def _correct_unknown_route(
        self, refusal: outcomes.NotRun
    ) -> outcomes.NotRun:
        """Returns the refusal of a request without a destination.

        A newer version that this daemon cannot use may have its route, and
        callers don't retry after a 404.
        """
        is_unknown = refusal.status == _NOT_FOUND
        if is_unknown and self._workspace_admission.freshness.is_behind():
            return _ROUTE_UNDECIDED
        return refusal

    async def _admit(
        self,
        active_snapshot: snapshot.Snapshot,
        match: routing.Match,
        request: web.BaseRequest,
    ) -> admission.Admitted | outcomes.NotRun:
        """Decides on a request by its API key; may wait for its quota."""
        admitted = self._workspace_admission.admit(
            active_snapshot, match, request.headers
        )
        if isinstance(admitted, admission.QuotaWait):
            return await self._workspace_admission.wait(admitted)
        return admitted

    def _apply_workspace(
        self, call: calls.Call, admitted: admission.Admitted
    ) -> None:
        """Removes the credentials of a call and sets its workspace.

        The workspace of an anonymous call is empty.
        """
        credentials.remove_credentials(call.headers, self._workspace_header)
        call.workspace = admitted.workspace
        call.decision_log.add("admitted", workspace=admitted.workspace)

    def _may_run(self, request: web.BaseRequest, match: routing.Match) -> bool:
        """Returns whether a request may run now, else it waits for its turn.

        If it may and is repeatable, the request behind it may run as well.
        A request that is not repeatable runs when those in front have been
        answered. "100 Continue" must not appear among their answers either.
        """
        if not pipelining.has_turn(request) and (
            not match.plan.repeatable or hdrs.EXPECT in request.headers
        ):
            return False
        if match.plan.repeatable and not self._state.caller_keep_alive_disabled:
            pipelining.allow_next(request)
        return True

    def _read_metadata(
        self, request: web.BaseRequest, match: routing.Match, started_at: float
    ) -> parsing.CallMetadata:
        """Returns the metadata of a request, with the time waited so far.

        In some dialects a retry states the deadline of the first request, but
        not when that was sent. Such a retry is matched by route, path, query
        and deadline to an earlier request that failed at this daemon.
        """
        metadata = dialects.read_metadata(self._dialect, request)
        if metadata.timeout_ms is None or not metadata.retries_keep_deadline:
            return metadata
        first_request_at = self._refused_callers.pop(
            (match.route, request.raw_path),
            started_at + metadata.timeout_ms / 1000,
        )
        if first_request_at is None:
            return metadata
        return metadata._replace(
            waited_ms=round((started_at - first_request_at) * 1000)
        )

    def _remember_failed_request(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        started_at: float,
        metadata: parsing.CallMetadata,
    ) -> None:
        """Remembers a request that its caller may retry.

        Does nothing unless a retry would state the same deadline.
        """
        if metadata.timeout_ms is None or not metadata.retries_keep_deadline:
            return
        self._refused_callers.add(
            (call.route, request.raw_path),
            started_at + metadata.timeout_ms / 1000,
            started_at - metadata.waited_ms / 1000,
        )

    async def _serve(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        started_at: float,
        metadata: parsing.CallMetadata,
        admitted: admission.Admitted | None,
    ) -> web.StreamResponse:
        number = self.drain_admission.begin_call(call, started_at)
        answered = False
        try:
            outcome = await responses.catch_body_error(
                self._dispatcher.run(call)
            )
            duration_s = self._get_time() - started_at
            if admitted is not None and isinstance(outcome, outcomes.NotRun):
                self._workspace_admission.give_back(admitted)
            if not isinstance(outcome, outcomes.Answered):
                self._remember_failed_request(
                    request, call, started_at, metadata
                )
            try:
                outcome = await responses.hold_until_turn(request, outcome)
                response = await responses.respond(
                    request, outcome, self._dialect
                )
                answered = isinstance(outcome, outcomes.Answered)
            finally:
                self._outcome_counts.record(call.plan, outcome, duration_s)
                self._latencies.record(
                    call.plan, call.service, outcome, duration_s
                )
        except BaseException as error:
            decision_logs.write_cancellation(
                call.decision_log, error, self._get_time() - started_at
            )
            raise
        finally:
            self.drain_admission.end_call(call, number, answered)
        decision_logs.write_outcome(
            call.decision_log, outcome, self._get_time() - started_at
        )
        return response

    def _refuse(
        self, refusal: outcomes.NotRun, request: web.BaseRequest
    ) -> web.Response:
        response = dialects.render(self._dialect, refusal, request)
        if refusal.status == _UNAUTHORIZED:
            response.headers[hdrs.WWW_AUTHENTICATE] = "Bearer"
        return response


def _get_timeout_source(
    call: calls.Call, metadata: parsing.CallMetadata
) -> str:
    """Returns where the timeout that determines the deadline comes from."""
    timeout_ms = metadata.timeout_ms
    if timeout_ms is not None and timeout_ms / 1000 < call.plan.deadline_s:
        return "caller"
    return "class of work"
