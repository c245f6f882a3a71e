"""Forwarding of calls to the local backend server and to other daemons."""

from __future__ import annotations

import asyncio
import functools
from typing import Any, NamedTuple, TYPE_CHECKING, TypeGuard

from aiohttp import hdrs

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import traffic as traffics_
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import exchange_outcomes
from merlintrestle.requests.transport import exchanges
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import overdue_answers
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import resends
from merlintrestle.requests.transport import watchdogs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Mapping

    import multidict

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import doubts
    from merlintrestle.requests.load import budgets as budgets_

events = event_logs.EventLog("requests")

# TCP_USER_TIMEOUT of connections to the local backend server: three times the
# minimum retransmission timeout of TCP (200 ms). Without this timeout, a call
# over a connection that has gone silent would wait until its deadline. Both
# ends are on the same instance, so no link delays acknowledgements, and a slow
# server also acknowledges data that fits into its buffers. Data that does not
# fit stays unacknowledged until the server reads it. So the timeout is set only
# for calls whose body is buffered, which always fits.
_UNACKNOWLEDGED_TIMEOUT_MS = 600


class BackendObserver(NamedTuple):
    """Callbacks for a call to the local backend server.

    Attributes:
        read_headers: Called with the headers of each answer to the call, also
            of a refusal.
        record_resend: Called before the call is sent once more.
    """

    read_headers: Callable[[Mapping[str, str]], None]
    record_resend: Callable[[], None]


class Forwarder:
    """Sends calls over pooled or new connections."""

    def __init__(
        self,
        resend_budgets: budgets_.Budgets,
        accepts_unframed: bool = False,
        traffics: traffics_.Traffics | None = None,
    ) -> None:
        """Sets the dependencies.

        Args:
            resend_budgets: Budgets that limit resends to the local backend
                server.
            accepts_unframed: Accept answers whose end is marked only by the
                close of the connection.
            traffics: Counters of the bytes of connections.
        """
        self._byte_counters = traffics or traffics_.build_traffics()
        self._resend_budgets = resend_budgets
        self._accepts_unframed = accepts_unframed
        self._call_ids = watchdogs.CallIds()

    async def start(self) -> None:
        """Opens the pool."""
        self._loop = asyncio.get_running_loop()
        # Connections of probes are reused for calls to the same peer.
        self._pool = pools.Pool(self._loop, self._byte_counters.peers)
        self._runner = exchanges.ExchangeRunner(
            self._pool, self._byte_counters, self._accepts_unframed
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def drop_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        self._pool.close_idle(address)

    async def send_to_backend(
        self,
        backend: backends.LocalBackend,
        call: calls.Call,
        dialect: object,
        observer: BackendObserver,
    ) -> outcomes.Outcome:
        """Sends a call to the local backend server and waits for its answer.

        Waits for the whole of a small answer. An unrepeatable call is sent over
        a new connection: if a pooled connection were being closed by the server
        or had gone silent, it would be unknown whether the call ran. A call
        with a streamed body is sent over a new connection as well, as no
        timeout detects that a pooled connection has gone silent.

        Args:
            backend: The local backend server.
            call: The call.
            dialect: Dialect of the backend server.
            observer: Told of answers and of resends.

        Raises:
            bodies.BodyError: The caller's body could not be read.
        """
        address = backend.address
        sent_headers = dialects.build_backend_headers(dialect, call, backend)
        buffered = call.body.buffered is not None
        options = exchanges.ConnectionOptions(
            dialect,
            _UNACKNOWLEDGED_TIMEOUT_MS if buffered else 0,
            observer.read_headers,
        )
        pooled = None
        if call.plan.repeatable and buffered:
            pooled = self._pool.acquire(address)
        call.decision_log.add(
            "sent to the backend server",
            instance=backend.instance_id,
            address=address,
            connection="new" if pooled is None else "kept",
        )
        if pooled is None:
            # A new connection has not gone silent; if no answer arrives, the
            # server is slow.
            outcome = await self._send_over_new(
                address,
                call.target,
                call,
                sent_headers,
                call.plan.repeatable,
                options,
            )
        else:
            outcome = await self._send_over_pooled(
                backend, pooled, call, sent_headers, options, observer
            )
        if _is_streamed(outcome):
            self._watch_deadline(
                address, call, outcome, overdue_answers.is_never_waiting
            )
        return outcome

    async def _send_over_pooled(
        self,
        backend: backends.LocalBackend,
        pooled: connections.Connection,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        options: exchanges.ConnectionOptions,
        observer: BackendObserver,
    ) -> outcomes.Outcome:
        """Sends a call over a pooled connection.

        It is resent over a new connection if the pooled one may be silent or
        broke while it was idle.
        """
        budget = self._resend_budgets.get(call.service)
        budget.record_call()
        resend = resends.Resend(
            pooled, lambda: self._resend(backend, call, options, observer)
        )
        watchdog = watchdogs.Watchdog(
            pooled,
            call.plan.work_s,
            call.deadline,
            self._choose_slow_call_handler(backend, call, budget, resend),
        )
        started_at = self._loop.time()
        idle_s = started_at - pooled.idle_since
        try:
            outcome = await self._runner.run(
                pooled, watchdog, call.target, call, sent_headers, options
            )
            broke = exchange_outcomes.broke_while_idle(
                outcome, idle_s, self._loop.time() - started_at
            )
            if broke and call.body.replayable and budget.try_spend():
                call.decision_log.add(
                    "connection was gone", idle_ms=round(idle_s * 1000)
                )
                self._pool.close_idle(backend.address)
                resend.start()
            return await resend.resolve(outcome)
        finally:
            resend.close()

    async def _resend(
        self,
        backend: backends.LocalBackend,
        call: calls.Call,
        options: exchanges.ConnectionOptions,
        observer: BackendObserver,
    ) -> outcomes.Outcome:
        observer.record_resend()
        return await self._send_over_new(
            backend.address,
            call.target,
            call,
            dialects.build_backend_headers(options.dialect, call, backend),
            options=options,
        )

    def _choose_slow_call_handler(
        self,
        backend: backends.LocalBackend,
        call: calls.Call,
        budget: budgets_.Budget,
        resend: resends.Resend,
    ) -> Callable[[], Coroutine[Any, Any, None]] | None:
        """Returns the handler of a slow call; None if it is not resent.

        A backend server that sends heartbeats is alive, so a slow call means
        that the server is slow. If its connection were considered silent, the
        server would run the call twice when it is most loaded. A broken
        connection to it is detected by the operating system.
        """
        # Backend servers that send heartbeats state an id.
        if backend.instance_id:
            return None
        return functools.partial(
            self._resend_if_silent, backend, call, budget, resend
        )

    async def _resend_if_silent(
        self,
        backend: backends.LocalBackend,
        call: calls.Call,
        budget: budgets_.Budget,
        resend: resends.Resend,
    ) -> None:
        """Resends a slow call if its connection may have gone silent.

        A backend server cannot be probed about a call. If it accepts new
        connections, either the pooled connection is silent or the server is
        slow. So the first send continues, and a budget limits resends, which
        would otherwise add to the load of a slow server. A call that is already
        a retry is not resent.
        """
        if (
            await backend.check_reachable()
            and not call.attempt_number
            and call.body.buffered is not None
            and budget.try_spend()
        ):
            call.attempt_number += 1
            call.repeat = True
            events.note("connection silent", address=backend.address)
            self._pool.close_idle(backend.address)
            resend.start()

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        report: Callable[[doubts.Doubt], None],
        new_connection: bool = False,
    ) -> outcomes.Outcome:
        """Sends a call to another daemon and waits for its answer.

        Args:
            address: Address of the daemon's peer port, "ip:port".
            target: Path and query.
            call: The call.
            sent_headers: Headers to send.
            report: Called with each reason to doubt that an answer will come.
            new_connection: Do not use a pooled connection.

        Raises:
            bodies.BodyError: The caller's body could not be read.
        """
        call_id = self._call_ids.create()
        sent_headers[headers.CALL_ID] = call_id
        if new_connection or not call.plan.repeatable:
            outcome = await self._send_over_new(
                address, target, call, sent_headers
            )
        else:
            outcome = await self._send_with_probes(
                address, target, call, sent_headers, report
            )
        if not _is_streamed(outcome):
            return outcome
        if call.plan.repeatable:
            self._watch_answer_body(address, call_id, outcome)
        may_continue = functools.partial(
            overdue_answers.is_waiting_at_peer,
            self._pool,
            address,
            call_id,
            outcome.response,
        )
        self._watch_deadline(address, call, outcome, may_continue)
        return outcome

    async def _send_with_probes(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        """Sends a call over a pooled or new connection.

        Once the call is slow, the daemon is probed about it.
        """
        connection: connections.Connection | outcomes.NotRun | None
        connection = self._pool.acquire(address)
        if connection is None:
            connection = await self._runner.open(
                address, call.refuse_by, exchanges.PEER
            )
            if isinstance(connection, outcomes.NotRun):
                return connection
        probe = functools.partial(
            watchdogs.probe_peer,
            self._pool,
            connection,
            sent_headers[headers.CALL_ID],
            call.plan.work_s,
            self._pool.has_received_since,
            functools.partial(self._report, address, report),
        )
        watchdog = watchdogs.Watchdog(
            connection, call.plan.work_s, call.deadline, probe
        )
        return await self._runner.run(
            connection, watchdog, target, call, sent_headers
        )

    def _report(
        self,
        address: str,
        report: Callable[[doubts.Doubt], None],
        doubt: doubts.Doubt,
    ) -> None:
        """Reports a doubt; closes idle connections that may be silent too."""
        if doubt.concerns_connection_only:
            events.note("connection silent", address=address)
            self._pool.close_idle(address)
        report(doubt)

    async def _send_over_new(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        keep: bool = False,
        options: exchanges.ConnectionOptions = exchanges.PEER,
    ) -> outcomes.Outcome:
        """Sends a call over a new connection.

        Args:
            address: Address of the server, "ip:port".
            target: Path and query.
            call: The call.
            sent_headers: Headers to send.
            keep: Keep the connection for other calls.
            options: Options of the connection.
        """
        connection = await self._runner.open(address, call.refuse_by, options)
        if isinstance(connection, outcomes.NotRun):
            return connection
        if not keep:
            sent_headers[hdrs.CONNECTION] = "close"
            connection.force_close()
        elif call.body.buffered is None:
            # The server may answer before it has read the body, and the next
            # call would wait until the rest is read. The server isn't asked to
            # close: if it closes before it has read the whole body, its answer
            # may be lost.
            connection.force_close()
        watchdog = watchdogs.Watchdog(connection, 0.0, call.deadline, None)
        return await self._runner.run(
            connection, watchdog, target, call, sent_headers, options
        )

    def _watch_answer_body(
        self, address: str, call_id: str, answered: outcomes.Answered
    ) -> None:
        task = asyncio.create_task(
            watchdogs.watch_answer_body(
                self._pool, address, call_id, answered.response
            )
        )
        answered.add_release_callback(lambda: _cancel(task))

    def _watch_deadline(
        self,
        address: str,
        call: calls.Call,
        answered: outcomes.Answered,
        may_continue: Callable[[], Awaitable[bool]],
    ) -> None:
        """Ends a streamed answer that is silent once its deadline has passed.

        Its slot is released at once, as the forwarding of the answer may be
        waiting for its receiver.
        """

        def end(silence: overdue_answers.Silence) -> None:
            events.warn(
                "silent answer ended",
                request=call.request_id,
                address=address,
                status=answered.response.status,
                received=silence.received,
                late_ms=round(silence.late_s * 1000),
            )
            answered.truncated = True
            answered.response.abort()
            answered.release()

        watch = overdue_answers.OverdueWatch(
            answered.response, call.caller_deadline, may_continue, end
        )
        watch.start()
        answered.add_release_callback(watch.close)


def _is_streamed(
    outcome: outcomes.Outcome,
) -> TypeGuard[outcomes.Answered]:
    """Returns whether a call has an answer that is passed on in chunks."""
    return isinstance(outcome, outcomes.Answered) and outcome.body is None


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
