"""Peers: the calls that other daemons send for the own backend server."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from aiohttp import web

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.load import loads
from merlintrestle.requests.reports import stories
from merlintrestle.requests.serving import responses
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import transfers

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import admission
    from merlintrestle.requests.load import links
    from merlintrestle.requests.load import reservations
    from merlintrestle.requests.serving import local_runner as besides
    from merlintrestle.requests.serving import serving_state as standings

# How much of answers may wait here for the link, in bytes: the smallest
# instances have some 200 MB. What is more waits in the backend server.
_MAX_AHEAD_BYTES = 8 * 1024 * 1024

# Status codes of answers that have no body, and of those that succeeded.
_BODILESS = (204, 304)
_SUCCESSFUL = range(200, 300)

_OWN_DIALECT = dialects.NativeDialect()
_MALFORMED = outcomes.NotRun("what is passed on is malformed", 400, None)


class PeerHandler:
    """Answers other daemons by way of the own backend server."""

    def __init__(
        self,
        standing: standings.ServingState,
        beside: besides.LocalRunner,
        slots: admission.Admission,
        link: links.OutgoingLink,
    ):
        """Sets the parts; the link is that to other daemons."""
        self._link = link
        self._transfers = transfers.Transfers(link)
        self._standing = standing
        self._beside = beside
        self._slots = slots
        self._registry = probes.Registry()
        self._get_time = asyncio.get_running_loop().time

    def close(self) -> None:
        """Ends the looks at what is on its way."""
        self._transfers.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request."""
        if probes.is_probe(request):
            status, text = self._registry.answer(request.raw_path)
            return web.Response(status=status, text=text)
        call_id = request.headers.get(headers.CALL, "")
        response = await self._answer(request, call_id)
        if not response.prepared:
            response.headers[headers.CALL] = call_id
        return responses.close_if(self._standing.leaving_peers, response)

    async def _answer(
        self, request: web.BaseRequest, call_id: str
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._standing.get_running()
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        match = parsing.match_peer(request)
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        asked = metadata.decode_metadata(request.headers.get(headers.PASSED))
        if asked is None:
            return outcomes.render(_MALFORMED)
        progress = self._registry.enter(call_id)
        self._standing.enter()
        try:
            call = await parsing.read_call(request, match, asked, began)
            if isinstance(call, outcomes.NotRun):
                return outcomes.render(call)
            call.story.add(
                "passed on",
                left_ms=asked.timeout_ms,
                way_back_ms=asked.return_trip_ms,
            )
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
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            stories.end_story(call.story, transfer, self._get_time() - began)
            return await responses.finish(
                request,
                transfer,
                _OWN_DIALECT,
                added=self._describe_answer(call_id, began),
            )
        try:
            outcome = await self._run(call, transfer, request.method)
            response = await responses.finish(
                request,
                outcome,
                _OWN_DIALECT,
                progress,
                self._describe_answer(call_id, began),
                functools.partial(self._transfers.send, transfer=transfer),
            )
        except BaseException as error:
            stories.end_cut(call.story, error, self._get_time() - began)
            raise
        finally:
            # What is still on its way is given back as it leaves.
            if not transfer.unsent:
                transfer.end()
        stories.end_story(call.story, outcome, self._get_time() - began)
        return response

    async def _run(
        self, call: calls.Call, transfer: reservations.Transfer, method: str
    ) -> outcomes.Outcome:
        """Runs a call; what it holds comes free once its answer is read.

        A slot held while an answer waits for the link is a slot that checks
        wait for, though the backend server has nothing left to do.
        """
        outcome = await responses.catch_body_error(self._beside.run(call))
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        response, held = outcome.response, outcome.body
        _note_answer(outcome, transfer, method)
        if held is None and self._link.reserved_bytes <= _MAX_AHEAD_BYTES:
            response.content.on_eof(functools.partial(_release_soon, outcome))
        return outcome

    def _describe_answer(
        self, call_id: str, began: float
    ) -> tuple[tuple[str, str], ...]:
        """Returns what tells a daemon which call is answered, and the load."""
        load = self._slots.get_load()._replace(
            link_backlog_s=self._link.get_backlog_s(),
            server_time_s=self._get_time() - began,
        )
        return (
            (headers.CALL, call_id),
            (headers.LOAD, loads.encode_load(load)),
        )


def _note_answer(
    answered: outcomes.Answered, transfer: reservations.Transfer, method: str
) -> None:
    """Tells a transfer what is known of its answer once that begins.

    Errors and answers without a body don't tell what its class is like. Taken
    for that, a burst of them would have downloads begun that the link can't
    carry.
    """
    response, held = answered.response, answered.body
    if method == "HEAD" or response.status in _BODILESS:
        transfer.set_size(0, typical=False)
        return
    size = response.content_length if held is None else len(held)
    typical = response.status in _SUCCESSFUL
    if size is None:
        transfer.record_head(typical)
    else:
        transfer.set_size(size, typical)


def _release_soon(answered: outcomes.Answered) -> None:
    """Frees what a call holds, after what is being read now.

    At its end, the connection of an answer is still being read from.
    """
    asyncio.get_running_loop().call_soon(answered.release)
