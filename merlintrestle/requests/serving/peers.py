"""Handling of requests of other daemons on the peer port."""

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
from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.serving import responses
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import transfers

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import admission as admissions
    from merlintrestle.requests.load import links
    from merlintrestle.requests.load import reservations
    from merlintrestle.requests.serving import local_runner as local_runners
    from merlintrestle.requests.serving import serving_state as serving_states

# Maximum bytes of answers that are buffered here for the link; the rest stays
# in the backend server. The smallest instances have some 200 MB of memory.
_MAX_BUFFERED_BYTES = 8 * 1024 * 1024

# Status codes of answers without a body, and of successful answers.
_BODILESS_STATUSES = (204, 304)
_SUCCESS_STATUSES = range(200, 300)

_NATIVE_DIALECT = dialects.NativeDialect()
_MALFORMED = outcomes.NotRun("what is passed on is malformed", 400, None)


class PeerHandler:
    """Answers other daemons by running calls on the local backend server."""

    def __init__(
        self,
        state: serving_states.ServingState,
        local_runner: local_runners.LocalRunner,
        admission: admissions.Admission,
        link: links.OutgoingLink,
    ):
        """Initializes the handler.

        Args:
            state: The serving state of this daemon.
            local_runner: Runs calls on the local backend server.
            admission: Admits calls to the slots of the backend server.
            link: The outgoing link to other daemons.
        """
        self._link = link
        self._transfers = transfers.TransferSender(link)
        self._state = state
        self._local_runner = local_runner
        self._admission = admission
        self._registry = probes.CallRegistry()
        self._get_time = asyncio.get_running_loop().time

    def close(self) -> None:
        """Stops the monitoring of transfers."""
        self._transfers.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request."""
        if probes.is_probe(request):
            status, text = self._registry.answer_probe(request.raw_path)
            return web.Response(status=status, text=text)
        call_id = request.headers.get(headers.CALL_ID, "")
        response = await self._answer(request, call_id)
        if not response.prepared:
            response.headers[headers.CALL_ID] = call_id
        return responses.force_close_if(
            self._state.peer_keep_alive_disabled, response
        )

    async def _answer(
        self, request: web.BaseRequest, call_id: str
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._state.get_running()
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        match = parsing.match_peer(request)
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        call_metadata = metadata.decode_metadata(
            request.headers.get(headers.METADATA)
        )
        if call_metadata is None:
            return outcomes.render(_MALFORMED)
        progress = self._registry.add(call_id)
        self._state.begin_call()
        try:
            call = await parsing.read_call(request, match, call_metadata, began)
            if isinstance(call, outcomes.NotRun):
                return outcomes.render(call)
            call.decision_log.add(
                "passed on",
                left_ms=call_metadata.timeout_ms,
                way_back_ms=call_metadata.return_trip_ms,
            )
            return await self._serve(request, call, began, progress, call_id)
        finally:
            self._state.end_call()
            self._registry.mark_ended(call_id)

    async def _serve(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        began: float,
        progress: probes.AnswerProgress,
        call_id: str,
    ) -> web.StreamResponse:
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            decision_logs.write_outcome(
                call.decision_log, transfer, self._get_time() - began
            )
            return await responses.respond(
                request,
                transfer,
                _NATIVE_DIALECT,
                extra_headers=self._build_answer_headers(call_id, began),
            )
        try:
            outcome = await self._run(call, transfer, request.method)
            response = await responses.respond(
                request,
                outcome,
                _NATIVE_DIALECT,
                progress,
                self._build_answer_headers(call_id, began),
                functools.partial(self._transfers.send, transfer=transfer),
            )
        except BaseException as error:
            decision_logs.write_cancellation(
                call.decision_log, error, self._get_time() - began
            )
            raise
        finally:
            # The reservation of bytes that are still unsent ends once they are
            # sent.
            if not transfer.unsent:
                transfer.end()
        decision_logs.write_outcome(
            call.decision_log, outcome, self._get_time() - began
        )
        return response

    async def _run(
        self, call: calls.Call, transfer: reservations.Transfer, method: str
    ) -> outcomes.Outcome:
        """Runs a call; its slot is released once its answer is read.

        A slot that is held until the answer is sent would keep other calls
        waiting while the answer waits for the link, although the backend
        server is done with the call.
        """
        outcome = await responses.catch_body_error(self._local_runner.run(call))
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        response, held = outcome.response, outcome.body
        _record_answer(outcome, transfer, method)
        if held is None and self._link.reserved_bytes <= _MAX_BUFFERED_BYTES:
            response.content.on_eof(functools.partial(_release_soon, outcome))
        return outcome

    def _build_answer_headers(
        self, call_id: str, began: float
    ) -> tuple[tuple[str, str], ...]:
        """Returns headers with the id of the call and the current load."""
        load = self._admission.get_load()._replace(
            link_backlog_s=self._link.get_backlog_s(),
            server_time_s=self._get_time() - began,
        )
        return (
            (headers.CALL_ID, call_id),
            (headers.LOAD, loads.encode_load(load)),
        )


def _record_answer(
    answered: outcomes.Answered, transfer: reservations.Transfer, method: str
) -> None:
    """Records the size of an answer, as far as its head states it.

    Errors and answers without a body are not typical of the answers of their
    class of work. Counted as typical, a burst of them would lower the expected
    size, and more downloads would be admitted than the link can carry.
    """
    response, held = answered.response, answered.body
    if method == "HEAD" or response.status in _BODILESS_STATUSES:
        transfer.set_size(0, typical=False)
        return
    size = response.content_length if held is None else len(held)
    typical = response.status in _SUCCESS_STATUSES
    if size is None:
        transfer.record_head(typical)
    else:
        transfer.set_size(size, typical)


def _release_soon(answered: outcomes.Answered) -> None:
    """Releases what a call holds in the next iteration of the event loop.

    When the end of the answer is seen, its connection is still being read.
    """
    asyncio.get_running_loop().call_soon(answered.release)
