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
from merlintrestle.requests.serving import serving_state as serving_states
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import transfers
from merlintrestle.requests.workspaces import credentials

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import admission as admissions
    from merlintrestle.requests.load import links
    from merlintrestle.requests.load import reservations
    from merlintrestle.requests.serving import local_runner as local_runners

# Maximum reserved bytes of the outgoing link with which the slot of a call is
# released as soon as its answer is read from the backend server. With more, it
# is released only after the answer is sent, so that further answers stay in the
# backend server. This limits the memory for answers that wait for the link: the
# smallest instances have some 200 MB.
_MAX_RESERVED_BYTES_FOR_EARLY_RELEASE = 8 * 1024 * 1024

# Status codes of answers without a body, and of successful answers.
_BODILESS_STATUSES = (204, 304)
_SUCCESS_STATUSES = range(200, 300)

_NATIVE_DIALECT = dialects.NativeDialect()
_MALFORMED = outcomes.NotRun("what is passed on is malformed", 400, None)


class PeerHandler:
    """Handles calls of other daemons, which run on the local backend server."""

    def __init__(
        self,
        state: serving_states.ServingState,
        local_runner: local_runners.LocalRunner,
        admission: admissions.Admission,
        link: links.OutgoingLink,
        workspace_header: str,
    ):
        """Initializes the handler.

        Args:
            state: The serving state of this daemon.
            local_runner: Runs calls on the local backend server.
            admission: Admits calls to the slots of the backend server.
            link: The outgoing link to other daemons.
            workspace_header: Header in which the local backend server gets the
                workspace of a call.
        """
        self._link = link
        self._workspace_header = workspace_header
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
            return responses.force_close_if(
                self._state.peer_keep_alive_disabled,
                web.Response(status=status, text=text),
            )
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
        started_at = self._get_time()
        if self._state.draining:
            return outcomes.render(serving_states.STOPPING)
        active_snapshot = self._state.get_active_snapshot()
        if isinstance(active_snapshot, outcomes.NotRun):
            return outcomes.render(active_snapshot)
        match = parsing.match_peer_request(request)
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        call_metadata = metadata.decode_metadata(
            request.headers.get(headers.METADATA)
        )
        if call_metadata is None:
            return outcomes.render(_MALFORMED)
        workspace = request.headers.get(headers.WORKSPACE)
        if workspace is not None:
            call_metadata = call_metadata._replace(workspace=workspace)
        self._local_runner.notices.adopt(request.headers.get(headers.NOTICES))
        progress = self._registry.add(call_id)
        self._state.begin_call()
        try:
            call = await parsing.read_call(
                request, match, call_metadata, started_at
            )
            if isinstance(call, outcomes.NotRun):
                return outcomes.render(call)
            if active_snapshot.requires_api_keys:
                # The caller's daemon removes them, unless it still runs an
                # earlier version without workspaces.
                credentials.remove_credentials(
                    call.headers, self._workspace_header
                )
            call.decision_log.add(
                "passed on",
                left_ms=call_metadata.timeout_ms,
                way_back_ms=call_metadata.return_trip_ms,
            )
            return await self._serve(
                request, call, started_at, progress, call_id
            )
        finally:
            self._state.end_call()
            self._registry.mark_ended(call_id)

    async def _serve(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        started_at: float,
        progress: probes.AnswerProgress,
        call_id: str,
    ) -> web.StreamResponse:
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            decision_logs.write_outcome(
                call.decision_log, transfer, self._get_time() - started_at
            )
            return await responses.respond(
                request,
                transfer,
                _NATIVE_DIALECT,
                extra_headers=self._build_answer_headers(call_id, started_at),
            )
        try:
            outcome = await self._run(call, transfer, request.method)
            response = await responses.respond(
                request,
                outcome,
                _NATIVE_DIALECT,
                progress,
                self._build_answer_headers(call_id, started_at),
                functools.partial(self._transfers.send, transfer=transfer),
            )
        except BaseException as error:
            decision_logs.write_cancellation(
                call.decision_log, error, self._get_time() - started_at
            )
            raise
        finally:
            # If bytes are still queued, the transfer sender ends the
            # reservation once they are sent.
            if not transfer.unsent:
                transfer.end()
        decision_logs.write_outcome(
            call.decision_log, outcome, self._get_time() - started_at
        )
        return response

    async def _run(
        self, call: calls.Call, transfer: reservations.Transfer, method: str
    ) -> outcomes.Outcome:
        """Runs a call, and releases its slot once a streamed answer is read.

        If the slot were occupied until the answer is sent, other calls would
        have to wait while the answer waits for the link, although the backend
        server has finished the call. With more reserved bytes than
        `_MAX_RESERVED_BYTES_FOR_EARLY_RELEASE`, the slot is nevertheless
        released only after the answer is sent.
        """
        outcome = await responses.catch_body_error(self._local_runner.run(call))
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        response, buffered_body = outcome.response, outcome.body
        _record_answer_size(outcome, transfer, method)
        if (
            buffered_body is None
            and self._link.reserved_bytes
            <= _MAX_RESERVED_BYTES_FOR_EARLY_RELEASE
        ):
            response.content.on_eof(
                functools.partial(_schedule_release, outcome)
            )
        return outcome

    def _build_answer_headers(
        self, call_id: str, started_at: float
    ) -> tuple[tuple[str, str], ...]:
        """Returns headers with the call id, and the load of this daemon.

        The notices of its backend server are added if there ever were any.
        """
        load = self._admission.get_load()._replace(
            link_backlog_s=self._link.get_backlog_s(),
            server_time_s=self._get_time() - started_at,
        )
        answer_headers = (
            (headers.CALL_ID, call_id),
            (headers.LOAD, loads.encode_load(load)),
        )
        notices = self._local_runner.notices.get_header()
        if not notices:
            return answer_headers
        return (*answer_headers, (headers.NOTICES, notices))


def _record_answer_size(
    answered: outcomes.Answered, transfer: reservations.Transfer, method: str
) -> None:
    """Records the size of an answer in its transfer, if it is known.

    Errors and answers without a body are not typical of their class of work. If
    they counted as typical, a burst of them would lower the expected size, and
    more downloads would be admitted than the link can carry.
    """
    response, buffered_body = answered.response, answered.body
    if method == "HEAD" or response.status in _BODILESS_STATUSES:
        transfer.set_size(0, typical=False)
        return
    size = (
        response.content_length if buffered_body is None else len(buffered_body)
    )
    typical = response.status in _SUCCESS_STATUSES
    if size is None:
        transfer.record_head(typical)
    else:
        transfer.set_size(size, typical)


def _schedule_release(answered: outcomes.Answered) -> None:
    """Schedules the release of an answer for the next event loop iteration.

    This is called at the end of the answer while the data received on its
    connection is still being parsed. The connection must not be released before
    the parsing has ended.
    """
    asyncio.get_running_loop().call_soon(answered.release)
