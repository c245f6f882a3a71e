"""Peers: the calls that other daemons send for the own backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import intake
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import loads
from merlintrestle.requests.reports import stories
from merlintrestle.requests.serving import answering
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import admission
    from merlintrestle.requests.serving import beside as besides
    from merlintrestle.requests.serving import standing as standings

_OWN_DIALECT = dialects.OwnDialect()


class Peers:
    """Answers other daemons by way of the own backend server."""

    def __init__(
        self,
        standing: standings.Standing,
        beside: besides.Beside,
        slots: admission.Admission,
    ):
        """Sets the parts."""
        self._standing = standing
        self._beside = beside
        self._slots = slots
        self._registry = probes.Registry()
        self._get_time = asyncio.get_running_loop().time

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request."""
        if probes.is_probe(request):
            status, text = self._registry.answer(request.raw_path)
            return web.Response(status=status, text=text)
        call_id = request.headers.get(headers.CALL, "")
        response = await self._answer(request, call_id)
        if not response.prepared:
            response.headers[headers.CALL] = call_id
        return answering.close_if(self._standing.leaving_peers, response)

    async def _answer(
        self, request: web.BaseRequest, call_id: str
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._standing.get_running()
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        match = intake.match_peer(request)
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        progress = self._registry.enter(call_id)
        self._standing.enter()
        try:
            asked = intake.read_asked(request)
            call = await intake.read_call(request, match, asked, began, True)
            if isinstance(call, outcomes.NotRun):
                return outcomes.render(call)
            call.story.add("passed on", left_ms=asked.limit_ms)
            return await self._serve(request, call, began, progress, call_id)
        finally:
            self._standing.leave()
            self._registry.leave(call_id)

    async def _serve(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        began: float,
        progress: probes.Progress,
        call_id: str,
    ) -> web.StreamResponse:
        try:
            outcome = await answering.catch_body_error(self._beside.run(call))
            response = await answering.finish(
                request,
                outcome,
                _OWN_DIALECT,
                progress,
                self._describe_answer(call_id),
            )
        except BaseException as error:
            stories.end_cut(call.story, error, self._get_time() - began)
            raise
        stories.end_story(call.story, outcome, self._get_time() - began)
        return response

    def _describe_answer(self, call_id: str) -> tuple[tuple[str, str], ...]:
        """Returns what tells a daemon which call is answered, and the load."""
        load = loads.encode_load(self._slots.get_load())
        return ((headers.CALL, call_id), (headers.LOAD, load))
