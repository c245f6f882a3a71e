"""Exchanges: one call sent once over one connection, and what came of it."""

from __future__ import annotations

import asyncio
import functools
from typing import NamedTuple, TYPE_CHECKING

import aiohttp
from aiohttp import http

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import results
from merlintrestle.requests.transport import streams
from merlintrestle.requests.transport import timeouts
from merlintrestle.requests.transport import watchdogs

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.reports import traffic as traffics_

events = event_logs.EventLog("requests")

# Longest wait for a connection, in seconds: regions are some 35 ms apart, and
# one lost packet is sent again only after a second; another upstream is there
# before that. Much shorter, calls to a backend server on a busy host that takes
# them would be given up.
_CONNECT_S = 0.5
_UNREACHABLE = outcomes.NotRun(
    "could not connect", elsewhere=True, unreachable=True
)


class Side(NamedTuple):
    """What holds for the connections to one kind of server.

    Attributes:
        dialect: How it speaks.
        unacknowledged_ms: Longest time for which what was sent may stay
            unacknowledged; 0: none.
    """

    dialect: object
    unacknowledged_ms: int


# Daemons pass on whole answers only, and each for its own call. Over a full
# link what was sent is acknowledged late; a connection broken for that looks
# like a crash, and its call is lost while the backend server runs it. That the
# peer is silent shows when it is asked about the call.
PEER = Side(dialects.NativeDialect(), 0)


class Exchanges:
    """Opens connections and sends calls over them."""

    def __init__(
        self,
        pool: pools.Pool,
        traffics: traffics_.Traffics,
        accepts_unframed: bool,
    ):
        """Sets the parts; for the last one see `forwarding.Forwarder`."""
        self._pool = pool
        self._traffics = traffics
        self._accepts_unframed = accepts_unframed
        self._loop = asyncio.get_running_loop()

    async def open(
        self, address: str, deadline: float, side: Side
    ) -> connections.Connection | outcomes.NotRun:
        """Opens a connection, or tells why there is none: nothing was sent."""
        left_s = deadline - self._loop.time()
        try:
            async with timeouts.bound(min(_CONNECT_S, left_s)):
                traffics = self._traffics
                connection = await self._pool.open(
                    address,
                    side.unacknowledged_ms,
                    traffics.peers if side is PEER else traffics.backend,
                )
        except TimeoutError:
            return _UNREACHABLE if left_s > _CONNECT_S else outcomes.TOO_LATE
        except OSError:
            return _UNREACHABLE
        if self._loop.time() >= deadline:
            connection.abort()
            return outcomes.TOO_LATE
        return connection

    async def run(
        self,
        connection: connections.Connection,
        watch: watchdogs.Watchdog,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        side: Side = PEER,
    ) -> outcomes.Outcome:
        """Sends a call once, whatever its method: retries are decided above."""
        answer = None
        ahead = 0 if side is PEER else connections.AHEAD_BYTES
        try:
            answer = await connection.call(
                call.method, target, sent_headers, call.body, ahead
            )
            while not results.belongs(answer, call, sent_headers, side.dialect):
                # A late answer to an earlier call of this connection.
                events.warn(
                    "foreign answer",
                    request=call.request_id,
                    address=connection.address,
                    status=answer.status,
                )
                await answer.content.read()
                answer = None
                answer = await connection.read_answer()
            failure = self._judge(connection, answer, call, side.dialect)
            if failure is not None:
                return failure
            body = await streams.read_answer(answer, call.method)
        except TimeoutError:
            connection.abort()
            return results.DEADLINE_EXCEEDED
        except (
            aiohttp.ClientError,
            http.HttpProcessingError,
            OSError,
        ) as error:
            connection.abort()
            if call.body.error is not None:
                raise call.body.error from error
            return results.fail(
                answer, "the connection broke", 502, broken=True
            )
        except BaseException:
            connection.abort()
            raise
        finally:
            watch.close()
        release = functools.partial(self._pool.give_back, connection)
        return outcomes.Answered(answer, body, [release])

    def _judge(
        self,
        connection: connections.Connection,
        answer: answers.Answer,
        call: calls.Call,
        dialect: object,
    ) -> outcomes.Failure | None:
        """Returns why an answer is not passed on; None: it is."""
        failure = dialects.check_answer(dialect, answer)
        if failure is None:
            clear = streams.has_clear_end(answer, call.method)
            if clear or self._accepts_unframed:
                return None
            failure = outcomes.Ran("the answer does not say where it ends")
        if answer.content.is_eof():
            self._pool.give_back(connection)
        else:
            connection.abort()
        return failure
