"""Forwarding: one attempt to send a call to one address."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import http

from merlintrestle.requests import connections
from merlintrestle.requests import headers
from merlintrestle.requests import outcomes
from merlintrestle.requests import streams
from merlintrestle.requests import watches

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests import call as calls

logger = logging.getLogger(__name__)

_CONNECT_S = 1.0
_UNREACHABLE = outcomes.NotRun(
    "could not connect", elsewhere=True, unreachable=True
)
_REASONS = {
    watches.Verdict.NONE: "no answer before the deadline",
    watches.Verdict.CONNECTION_SILENT: "the connection went silent",
    watches.Verdict.PEER_SILENT: "the daemon does not answer",
}


class Forwarder:
    """Sends calls over pooled connections, or each over one of its own."""

    def __init__(self) -> None:
        self._call_ids = watches.CallIds()

    async def start(self) -> None:
        """Opens the pool."""
        self._loop = asyncio.get_running_loop()
        self._pool = connections.Pool(self._loop)
        self._probes = _open_probes()

    async def close(self) -> None:
        """Closes the connections that are idle."""
        self._pool.close()
        await self._probes.close()

    async def send(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
    ) -> outcomes.Outcome:
        """Sends a call to a backend server and waits for its answer.

        A small answer is waited for whole. Work that may not be repeated gets
        a new connection: a pooled one that the other side is closing, or that
        has gone silent, would leave it unknown whether the work ran.

        Raises:
            streams.BodyError: The caller's body stopped half-way.
        """
        pooled = call.plan.repeatable
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._exchange(
                    address, target, call, sent_headers, pooled
                )
        except TimeoutError:
            return outcomes.Unknown("no answer before the deadline", 504)

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
        if not call.plan.repeatable:
            return await self.send(address, target, call, sent_headers)
        outcome, verdict = await self._send_watched(
            address, target, call, sent_headers, pooled=True
        )
        if verdict is not watches.Verdict.CONNECTION_SILENT:
            return outcome
        logger.info("requests: a connection to %s is silent.", address)
        self._drop_idle(address)
        if not call.body.repeatable:
            return outcome
        outcome, _ = await self._send_watched(
            address, target, call, sent_headers, pooled=False
        )
        return outcome

    async def _send_watched(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        pooled: bool,
    ) -> tuple[outcomes.Outcome, watches.Verdict]:
        call_id = self._call_ids.take()
        sent_headers[headers.CALL] = call_id
        scope = asyncio.timeout_at(call.deadline)
        watch = watches.FirstByteWatch(
            self._probes, address, call_id, call.plan.work_s, scope
        )
        try:
            async with scope:
                outcome = await self._exchange(
                    address, target, call, sent_headers, pooled
                )
        except TimeoutError:
            reason = _REASONS[watch.verdict]
            return outcomes.Unknown(reason, 504), watch.verdict
        finally:
            watch.close()
        if isinstance(outcome, outcomes.Answered) and outcome.body is None:
            self._watch_transfer(address, call_id, outcome)
        return outcome, watch.verdict

    def _watch_transfer(
        self, address: str, call_id: str, answered: outcomes.Answered
    ) -> None:
        task = asyncio.create_task(
            watches.watch_transfer(
                self._probes, address, call_id, answered.response
            )
        )
        answered.hold(lambda: _cancel(task))

    def _drop_idle(self, address: str) -> None:
        self._pool.drop(address)

    async def _exchange(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        pooled: bool,
    ) -> outcomes.Outcome:
        """Sends a call once, whatever its method: retries are decided above."""
        try:
            connection = await self._connect(address, pooled)
        except (TimeoutError, OSError):
            # Nothing was written.
            return _UNREACHABLE
        if not pooled:
            sent_headers["Connection"] = "close"
            connection.force_close()
        answer = None
        try:
            answer = await connection.call(
                call.method, target, sent_headers, call.body
            )
            if not streams.has_clear_end(answer, call.method):
                connection.abort()
                return outcomes.Ran("the answer does not say where it ends")
            body = await streams.read_answer(answer)
        except (
            aiohttp.ClientError,
            http.HttpProcessingError,
            OSError,
        ) as error:
            connection.abort()
            if call.body.error is not None:
                raise call.body.error from error
            return _fail(answer, "the connection broke", 502, broken=True)
        except BaseException:
            connection.abort()
            raise
        release = functools.partial(self._pool.give_back, connection)
        return outcomes.Answered(answer, body, release)

    async def _connect(
        self, address: str, pooled: bool
    ) -> connections.Connection:
        if pooled:
            connection = self._pool.take(address)
            if connection is not None:
                return connection
        async with asyncio.timeout(_CONNECT_S):
            return await self._pool.open(address)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _fail(
    answer: connections.Answer | None,
    reason: str,
    status: int,
    broken: bool,
) -> outcomes.Failure:
    if answer is None:
        return outcomes.Unknown(reason, status, broken=broken)
    return outcomes.Ran(f"{reason} in the answer", status, broken=broken)


def _open_probes() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            force_close=True,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
    )
