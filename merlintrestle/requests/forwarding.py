"""Forwarding: one attempt to send a call to one address."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import aiohttp

from merlintrestle.requests import exchanges
from merlintrestle.requests import headers
from merlintrestle.requests import outcomes
from merlintrestle.requests import pools
from merlintrestle.requests import retries
from merlintrestle.requests import watches

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests import backend
    from merlintrestle.requests import call as calls

logger = logging.getLogger(__name__)

_REASONS = {
    watches.Verdict.NONE: "no answer before the deadline",
    watches.Verdict.CONNECTION_SILENT: "the connection went silent",
    watches.Verdict.PEER_SILENT: "the daemon does not answer",
}


class Forwarder:
    """Sends calls over pooled connections, or each over one of its own."""

    def __init__(self) -> None:
        self._call_ids = watches.CallIds()
        self._budget = retries.Budget()

    async def start(self) -> None:
        """Opens the pools."""
        self._peers = pools.Pool()
        self._own = pools.Pool()
        self._probes = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        self._peers.close()
        self._own.close()
        await self._probes.close()

    async def send_to_backend(
        self,
        own: backend.OwnBackend,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
    ) -> outcomes.Outcome:
        """Sends a call to the own backend server and waits for its answer.

        A small answer is waited for whole. Work that may not be repeated gets
        a new connection: a pooled one that the other side is closing, or that
        has gone silent, would leave it unknown whether the work ran.

        Raises:
            streams.BodyError: The caller's body stopped half-way.
        """
        if not call.plan.repeatable:
            return await _send_once(
                self._own, own.address, call.target, call, sent_headers
            )
        self._budget.earn()
        scope = asyncio.timeout_at(call.deadline)
        watch = watches.BackendWatch(
            own.check,
            self._budget,
            call.plan.work_s,
            scope,
            reused=self._own.has_idle(own.address),
        )
        outcome = await _send_watched(
            self._own,
            watch,
            scope,
            own.address,
            call.target,
            call,
            sent_headers,
        )
        if not _is_silent(watch, own.address, self._own, call):
            return outcome
        return await _send_once(
            self._own, own.address, call.target, call, sent_headers
        )

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
    ) -> outcomes.Outcome:
        """Sends a call to another daemon, again if its connection is silent.

        Raises:
            streams.BodyError: The caller's body stopped half-way.
        """
        call_id = self._call_ids.take()
        sent_headers[headers.CALL] = call_id
        if not call.plan.repeatable:
            return await _send_once(
                self._peers, address, target, call, sent_headers
            )
        scope = asyncio.timeout_at(call.deadline)
        watch = watches.PeerWatch(
            self._probes, address, call_id, call.plan.work_s, scope
        )
        outcome = await _send_watched(
            self._peers, watch, scope, address, target, call, sent_headers
        )
        if _is_silent(watch, address, self._peers, call):
            sent_headers[headers.CALL] = call_id = self._call_ids.take()
            outcome = await _send_once(
                self._peers, address, target, call, sent_headers
            )
        if isinstance(outcome, outcomes.Answered) and outcome.body is None:
            self._watch_transfer(address, call_id, outcome)
        return outcome

    def _watch_transfer(
        self, address: str, call_id: str, answered: outcomes.Answered
    ) -> None:
        task = asyncio.create_task(
            watches.watch_transfer(
                self._probes, address, call_id, answered.response
            )
        )
        answered.hold(lambda: _cancel(task))


async def _send_once(
    pool: pools.Pool,
    address: str,
    target: str,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
) -> outcomes.Outcome:
    """Sends a call over a connection of its own."""
    try:
        async with asyncio.timeout_at(call.deadline):
            return await exchanges.exchange(
                pool, address, target, call, sent_headers, single=True
            )
    except TimeoutError:
        return outcomes.Unknown("no answer before the deadline", 504)


async def _send_watched(
    pool: pools.Pool,
    watch: watches.PeerWatch | watches.BackendWatch,
    scope: asyncio.Timeout,
    address: str,
    target: str,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
) -> outcomes.Outcome:
    """Sends a call over a pooled connection while it is watched."""
    try:
        async with scope:
            return await exchanges.exchange(
                pool, address, target, call, sent_headers
            )
    except TimeoutError:
        return outcomes.Unknown(_REASONS[watch.verdict], 504)
    finally:
        watch.close()


def _is_silent(
    watch: watches.PeerWatch | watches.BackendWatch,
    address: str,
    pool: pools.Pool,
    call: calls.Call,
) -> bool:
    """Returns whether a call is to be sent anew over a new connection."""
    if watch.verdict is not watches.Verdict.CONNECTION_SILENT:
        return False
    logger.info("requests: a connection to %s is silent.", address)
    pool.drop_idle(address)
    return call.body.repeatable


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
