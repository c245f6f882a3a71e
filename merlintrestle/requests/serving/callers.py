"""Callers: the requests that come from outside, on the port for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.load import refused_callers
from merlintrestle.requests.reports import stories
from merlintrestle.requests.serving import responses

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import routing
    from merlintrestle.requests.reports import latencies as latencies_
    from merlintrestle.requests.reports import statistics as statistics_
    from merlintrestle.requests.serving import dispatch as dispatches
    from merlintrestle.requests.serving import serving_state as standings


class CallerHandler:
    """Answers callers by way of an upstream."""

    def __init__(
        self,
        standing: standings.ServingState,
        dialect: object,
        dispatch: dispatches.Dispatcher,
        statistics: statistics_.Statistics,
        latencies: latencies_.Latencies,
        is_working: Callable[[], bool],
    ):
        """Sets the parts.

        Args:
            standing: Whether requests are taken.
            dialect: How the callers speak.
            dispatch: Sends calls to upstreams.
            statistics: What became of the calls of each class.
            latencies: How long callers waited.
            is_working: Returns whether the own backend server is at work.
        """
        self._is_working = is_working
        self._standing = standing
        self._dialect = dialect
        self._dispatch = dispatch
        self._statistics = statistics
        self._latencies = latencies
        self._get_time = asyncio.get_running_loop().time
        self._returns = refused_callers.RefusedCallers(self._get_time)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request."""
        response = await self._answer(request)
        return responses.close_if(self._standing.leaving, response)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        began = self._get_time()
        running = self._standing.get_running(
            dialects.may_be_nested(self._dialect, request, self._is_working())
        )
        if isinstance(running, outcomes.NotRun):
            return self._refuse(running, request)
        match = dialects.match_caller(self._dialect, running, request)
        if isinstance(match, outcomes.NotRun):
            return self._refuse(match, request)
        self._standing.enter()
        try:
            asked = self._read_asked(request, match, began)
            call = await parsing.read_call(request, match, asked, began)
            if isinstance(call, outcomes.NotRun):
                return self._refuse(call, request)
            call.story.add(
                "routed",
                version=running.version,
                service=match.service,
                work=match.plan.name,
                left_ms=round((call.deadline - began) * 1000),
                limit=_name_limit(call, asked),
                waited_ms=asked.waited_ms,
            )
            return await self._serve(request, call, began, asked)
        finally:
            self._standing.leave()

    def _read_asked(
        self, request: web.BaseRequest, match: routing.Match, began: float
    ) -> parsing.CallMetadata:
        """Returns what a caller asks for, and since when."""
        asked = dialects.read_metadata(self._dialect, request)
        if asked.timeout_ms is None or not asked.retries_keep_deadline:
            return asked
        since = self._returns.pop(
            (match.route, request.raw_path), began + asked.timeout_ms / 1000
        )
        if since is None:
            return asked
        return asked._replace(waited_ms=round((began - since) * 1000))

    def _note_return(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        began: float,
        asked: parsing.CallMetadata,
    ) -> None:
        """Remembers a caller that got no answer, as it may come back."""
        if asked.timeout_ms is None or not asked.retries_keep_deadline:
            return
        self._returns.add(
            (call.route, request.raw_path),
            began + asked.timeout_ms / 1000,
            began - asked.waited_ms / 1000,
        )

    async def _serve(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        began: float,
        asked: parsing.CallMetadata,
    ) -> web.StreamResponse:
        try:
            outcome = await responses.catch_body_error(self._dispatch.run(call))
            took_s = self._get_time() - began
            if not isinstance(outcome, outcomes.Answered):
                self._note_return(request, call, began, asked)
            try:
                response = await responses.finish(
                    request, outcome, self._dialect
                )
            finally:
                self._statistics.note(call.plan, outcome, took_s)
                self._latencies.note(call.plan, call.service, outcome, took_s)
        except BaseException as error:
            stories.end_cut(call.story, error, self._get_time() - began)
            raise
        stories.end_story(call.story, outcome, self._get_time() - began)
        return response

    def _refuse(
        self, refusal: outcomes.NotRun, request: web.BaseRequest
    ) -> web.Response:
        return dialects.render(self._dialect, refusal, request)


def _name_limit(call: calls.Call, asked: parsing.CallMetadata) -> str:
    """Returns whose limit ends the time of a call."""
    limit_ms = asked.timeout_ms
    if limit_ms is not None and limit_ms / 1000 < call.plan.deadline_s:
        return "caller"
    return "class of work"
