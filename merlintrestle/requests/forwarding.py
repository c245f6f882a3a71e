"""Forwarding: one attempt to send a call to one address."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TYPE_CHECKING

import aiohttp
import yarl

from merlintrestle.requests import headers
from merlintrestle.requests import outcomes
from merlintrestle.requests import pools
from merlintrestle.requests import retries
from merlintrestle.requests import streams
from merlintrestle.requests import watches

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests import backend
    from merlintrestle.requests import call as calls

logger = logging.getLogger(__name__)

_CONNECT_S = 1.0
# Shorter than servers keep idle connections: one closed by the other side just
# as a call is written to it would leave that call with an unknown outcome.
_KEEPALIVE_S = 15.0
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
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
        self._budget = retries.Budget()

    async def start(self) -> None:
        """Opens the pools."""
        self._pooled = _open_session(force_close=False)
        self._own = _open_session(force_close=False)
        self._single = _open_session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled.close()
        await self._own.close()
        await self._single.close()

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
            return await self._send_once(
                own.address, call.target, call, sent_headers
            )
        if not any(_get_idle(self._own).values()):
            # A new connection is not silent: the server itself is slow.
            return await self._send_once(
                own.address, call.target, call, sent_headers, self._own
            )
        self._budget.earn()
        scope = asyncio.timeout_at(call.deadline)
        watch = watches.BackendWatch(
            own.check, self._budget, call.plan.work_s, scope
        )
        outcome = await self._send_watched(
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
        second = await self._send_once(
            own.address, call.target, call, sent_headers
        )
        return retries.combine(outcome, second)

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
            return await self._send_once(address, target, call, sent_headers)
        scope = asyncio.timeout_at(call.deadline)
        watch = watches.PeerWatch(
            self._single, address, call_id, call.plan.work_s, scope
        )
        outcome = await self._send_watched(
            self._pooled, watch, scope, address, target, call, sent_headers
        )
        if _is_silent(watch, address, self._pooled, call):
            sent_headers[headers.CALL] = call_id = self._call_ids.take()
            second = await self._send_once(address, target, call, sent_headers)
            outcome = _combine(outcome, second)
        if isinstance(outcome, outcomes.Answered) and outcome.body is None:
            self._watch_transfer(address, call_id, outcome)
        return outcome

    async def _send_once(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        session: aiohttp.ClientSession | None = None,
    ) -> outcomes.Outcome:
        """Sends a call, over a connection of its own if not told otherwise."""
        session = session or self._single
        try:
            async with asyncio.timeout_at(call.deadline):
                return await _exchange(
                    session, address, target, call, sent_headers
                )
        except TimeoutError:
            return outcomes.Unknown("no answer before the deadline", 504)

    async def _send_watched(
        self,
        session: aiohttp.ClientSession,
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
                return await _exchange(
                    session, address, target, call, sent_headers
                )
        except TimeoutError:
            return outcomes.Unknown(_REASONS[watch.verdict], 504)
        finally:
            watch.close()

    def _watch_transfer(
        self, address: str, call_id: str, answered: outcomes.Answered
    ) -> None:
        task = asyncio.create_task(
            watches.watch_transfer(
                self._single, address, call_id, answered.response
            )
        )
        answered.hold(lambda: _cancel(task))


def _is_silent(
    watch: watches.PeerWatch | watches.BackendWatch,
    address: str,
    session: aiohttp.ClientSession,
    call: calls.Call,
) -> bool:
    """Returns whether a call is to be sent anew over a new connection."""
    if watch.verdict is not watches.Verdict.CONNECTION_SILENT:
        return False
    logger.info("requests: a connection to %s is silent.", address)
    drop_idle(session, address)
    return call.body.repeatable


def _combine(
    first: outcomes.Outcome, second: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns what is true of a call that was sent anew to a peer.

    The first sending may have run and its answer been lost. A peer that
    refuses the second one as not run says nothing of the first.
    """
    if isinstance(second, outcomes.Answered):
        stated = second.response.headers.get(headers.OUTCOME)
        if stated != "not-run":
            return second
        second = outcomes.read_failure(second)
    return retries.combine(first, second)


def drop_idle(session: aiohttp.ClientSession, address: str) -> None:
    """Closes the idle connections to an address.

    What made one of them silent was there for all of the same age. Those in
    use are left: their own watches find out.
    """
    host, _, port = address.rpartition(":")
    for key, idle in _get_idle(session).items():
        if key.host == host and key.port == int(port):
            for protocol, _ in idle:
                protocol.close()
            idle.clear()


def _get_idle(session: aiohttp.ClientSession) -> dict[Any, Any]:
    """Returns the idle connections of a pool; the library has no way to."""
    connector = session.connector
    assert connector is not None
    return connector._conns


async def _exchange(
    session: aiohttp.ClientSession,
    address: str,
    target: str,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
) -> outcomes.Outcome:
    url = yarl.URL(f"http://{address}{target}", encoded=True)
    response = None
    try:
        response = await session.request(
            call.method,
            url,
            headers=sent_headers,
            data=call.body.make_payload(),
            allow_redirects=False,
        )
        if not streams.has_clear_end(response, call.method):
            response.close()
            return outcomes.Ran("the answer does not say where it ends")
        body = await streams.read_answer(response)
        return outcomes.Answered(response, body, response.close)
    except aiohttp.ClientConnectorError:
        # Raised only while connecting: nothing was written.
        return _UNREACHABLE
    except aiohttp.ConnectionTimeoutError:
        return _UNREACHABLE
    except TimeoutError:
        raise
    except asyncio.CancelledError:
        if response is not None:
            response.close()
        raise
    except (aiohttp.ClientError, OSError) as error:
        if call.body.error is not None:
            raise call.body.error from error
        return _fail(response, "the connection broke", 502, broken=True)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _fail(
    response: aiohttp.ClientResponse | None,
    reason: str,
    status: int,
    broken: bool,
) -> outcomes.Failure:
    if response is None:
        return outcomes.Unknown(reason, status, broken=broken)
    response.close()
    return outcomes.Ran(f"{reason} in the answer", status, broken=broken)


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=pools.Connector(
            limit=0,
            force_close=force_close,
            keepalive_timeout=None if force_close else _KEEPALIVE_S,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
    )
    # The library sends idempotent methods again by itself. Retries are decided
    # in one place, by class of work; a hidden one would run a GET twice that
    # may run once, and would hide a crash from the strikes.
    session._retry_connection = False
    return session
