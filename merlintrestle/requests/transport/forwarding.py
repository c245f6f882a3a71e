"""Forwarding: one attempt to send a call to one address."""

from __future__ import annotations

import asyncio
import functools
from typing import Any, TYPE_CHECKING

from aiohttp import hdrs

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import traffic as traffics_
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import exchanges
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import resends
from merlintrestle.requests.transport import results
from merlintrestle.requests.transport import watchdogs

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import multidict

    from merlintrestle.requests import backend
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import doubts
    from merlintrestle.requests.load import budgets as budgets_

events = event_logs.EventLog("requests")

# Three times the least time after which a lost packet is sent again (200 ms).
# A call over a connection that has gone silent would wait for its deadline. A
# server that is merely slow acknowledges what its buffers have room for, and
# there is no link between, as both ends are on one instance. What they have no
# room for stays unacknowledged for as long as it does not read, so the limit is
# for calls alone whose body is held, which buffers have room for.
_UNACKNOWLEDGED_MS = 600


class Forwarder:
    """Sends calls over pooled connections, or each over one of its own."""

    def __init__(
        self,
        budgets: budgets_.Budgets,
        accepts_unframed: bool = False,
        traffics: traffics_.Traffics | None = None,
    ) -> None:
        """Sets the parts.

        Args:
            budgets: What bounds calls that are sent anew to one upstream.
            accepts_unframed: An answer may end with its connection alone.
            traffics: Where the bytes of its connections are counted.
        """
        self._traffics = traffics or traffics_.build_traffics()
        self._budgets = budgets
        self._accepts_unframed = accepts_unframed
        self._call_ids = watchdogs.CallIds()

    async def start(self) -> None:
        """Opens the pool."""
        self._loop = asyncio.get_running_loop()
        self._pool = pools.Pool(self._loop)
        self._exchanges = exchanges.Exchanges(
            self._pool, self._traffics, self._accepts_unframed
        )

    async def close(self) -> None:
        """Closes the connections that are idle."""
        self._pool.close()

    def drop_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        self._pool.drop(address)

    async def send_to_backend(
        self,
        own: backend.LocalBackend,
        call: calls.Call,
        dialect: object,
    ) -> outcomes.Outcome:
        """Sends a call to the own backend server and waits for its answer.

        A small answer is waited for whole. Work that may not be repeated gets
        a new connection: a pooled one that the other side is closing, or that
        has gone silent, would leave it unknown whether the work ran. So does a
        body passed on in pieces, for which no limit shows such silence.

        Raises:
            bodies.BodyError: The caller's body stopped half-way.
        """
        address = own.address
        sent_headers = dialects.build_backend_headers(dialect, call, own)
        held = call.body.buffered is not None
        side = exchanges.Side(dialect, _UNACKNOWLEDGED_MS if held else 0)
        pooled = None
        if call.plan.repeatable and held:
            pooled = self._pool.take(address)
        call.story.add(
            "sent to the backend server",
            instance=own.instance_id,
            address=address,
            connection="new" if pooled is None else "kept",
        )
        if pooled is None:
            # A new connection is not silent: the server itself is slow.
            return await self._send_anew(
                address,
                call.target,
                call,
                sent_headers,
                call.plan.repeatable,
                side,
            )
        return await self._send_kept(own, pooled, call, sent_headers, side)

    async def _send_kept(
        self,
        own: backend.LocalBackend,
        pooled: connections.Connection,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        side: exchanges.Side,
    ) -> outcomes.Outcome:
        """Sends a call over a kept connection, and anew if that is doubtful."""
        budget = self._budgets.get(call.service)
        budget.record_call()
        second = resends.Second(
            pooled, lambda: self._send_second(own, call, side)
        )
        watch = watchdogs.Watchdog(
            pooled,
            call.plan.work_s,
            call.deadline,
            self._choose_look(own, call, budget, second),
        )
        began = self._loop.time()
        idle_s = began - pooled.idle_since
        try:
            outcome = await self._exchanges.run(
                pooled, watch, call.target, call, sent_headers, side
            )
            broke = results.broke_while_idle(
                outcome, idle_s, self._loop.time() - began
            )
            if broke and call.body.replayable and budget.try_spend():
                call.story.add(
                    "connection was gone", idle_ms=round(idle_s * 1000)
                )
                self._pool.drop(own.address)
                second.start()
            return await second.settle(outcome)
        finally:
            second.close()

    async def _send_second(
        self, own: backend.LocalBackend, call: calls.Call, side: exchanges.Side
    ) -> outcomes.Outcome:
        return await self._send_anew(
            own.address,
            call.target,
            call,
            dialects.build_backend_headers(side.dialect, call, own),
            side=side,
        )

    def _choose_look(
        self,
        own: backend.LocalBackend,
        call: calls.Call,
        budget: budgets_.Budget,
        second: resends.Second,
    ) -> Callable[[], Coroutine[Any, Any, None]] | None:
        """Returns what looks into a backend server that gives no sign.

        One that sends heartbeats lives and is slow. Taken for silent, it would
        run the call a second time just when it can least bear it; that the
        connection itself is dead shows the operating system.
        """
        if own.instance_id:
            return None
        return functools.partial(self._check_backend, own, call, budget, second)

    async def _check_backend(
        self,
        own: backend.LocalBackend,
        call: calls.Call,
        budget: budgets_.Budget,
        second: resends.Second,
    ) -> None:
        """Sends a call anew if the connection alone seems to be silent.

        A backend server cannot be asked about a call. That it takes new
        connections does not prove that the kept one is silent: it may be slow.
        So the first send goes on, and the second one is paid from a budget:
        otherwise it would only add to the load. A second run already is not
        followed by a third.
        """
        if (
            await own.check()
            and not call.attempt
            and call.body.buffered is not None
            and budget.try_spend()
        ):
            call.attempt += 1
            call.repeat = True
            events.note("connection silent", address=own.address)
            self._pool.drop(own.address)
            second.start()

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        report: Callable[[doubts.Doubt], None],
        anew: bool = False,
    ) -> outcomes.Outcome:
        """Sends a call to another daemon and waits for its answer.

        Args:
            address: Where the daemon takes calls.
            target: Path and query.
            call: The call.
            sent_headers: Its headers.
            report: Hears what makes it doubtful that an answer will come.
            anew: Not over a connection that was used before.

        Raises:
            bodies.BodyError: The caller's body stopped half-way.
        """
        call_id = self._call_ids.take()
        sent_headers[headers.CALL_ID] = call_id
        if anew or not call.plan.repeatable:
            outcome = await self._send_anew(address, target, call, sent_headers)
        else:
            outcome = await self._send_watched(
                address, target, call, sent_headers, report
            )
        if (
            call.plan.repeatable
            and isinstance(outcome, outcomes.Answered)
            and outcome.body is None
        ):
            self._watch_transfer(address, call_id, outcome)
        return outcome

    async def _send_watched(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        report: Callable[[doubts.Doubt], None],
    ) -> outcomes.Outcome:
        """Sends a call over a kept connection and asks the daemon about it."""
        connection: connections.Connection | outcomes.NotRun | None
        connection = self._pool.take(address)
        if connection is None:
            connection = await self._exchanges.open(
                address, call.refuse_by, exchanges.PEER
            )
            if isinstance(connection, outcomes.NotRun):
                return connection
        look = functools.partial(
            watchdogs.ask_peer,
            self._pool,
            connection,
            sent_headers[headers.CALL_ID],
            call.plan.work_s,
            self._pool.has_heard,
            functools.partial(self._report, address, report),
        )
        watch = watchdogs.Watchdog(
            connection, call.plan.work_s, call.deadline, look
        )
        return await self._exchanges.run(
            connection, watch, target, call, sent_headers
        )

    def _report(
        self,
        address: str,
        report: Callable[[doubts.Doubt], None],
        doubt: doubts.Doubt,
    ) -> None:
        """Passes on a doubt; idle connections as old may be silent as well."""
        if doubt.concerns_connection_only:
            events.note("connection silent", address=address)
            self._pool.drop(address)
        report(doubt)

    async def _send_anew(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        keep: bool = False,
        side: exchanges.Side = exchanges.PEER,
    ) -> outcomes.Outcome:
        """Sends a call over a new connection; `keep` it for other calls."""
        connection = await self._exchanges.open(address, call.refuse_by, side)
        if isinstance(connection, outcomes.NotRun):
            return connection
        if not keep:
            sent_headers[hdrs.CONNECTION] = "close"
            connection.force_close()
        elif call.body.buffered is None:
            # The server may answer before it has read the body: what is sent
            # next would wait behind that. It is not told so: one that closes
            # with a part of a body unread may have its answer lost.
            connection.force_close()
        watch = watchdogs.Watchdog(connection, 0.0, call.deadline, None)
        return await self._exchanges.run(
            connection, watch, target, call, sent_headers, side
        )

    def _watch_transfer(
        self, address: str, call_id: str, answered: outcomes.Answered
    ) -> None:
        task = asyncio.create_task(
            watchdogs.watch_transfer(
                self._pool, address, call_id, answered.response
            )
        )
        answered.add_release_callback(lambda: _cancel(task))


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
