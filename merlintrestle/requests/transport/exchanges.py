"""HTTP exchanges, each one request and its answer over one connection."""

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
from merlintrestle.requests.transport import exchange_outcomes
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import streams
from merlintrestle.requests.transport import timeouts
from merlintrestle.requests.transport import watchdogs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    import multidict

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.reports import traffic as traffics

events = event_logs.EventLog("requests")

# Timeout for opening a connection, in seconds. Regions are about 35 ms apart. A
# lost packet is retransmitted only after one second; trying another upstream is
# faster than that. With a much shorter timeout, calls to a backend server on a
# busy host would be abandoned although it accepts connections.
_CONNECT_TIMEOUT_S = 0.5
_UNREACHABLE = outcomes.NotRun(
    "could not connect", elsewhere=True, unreachable=True
)


def _ignore_headers(headers: Mapping[str, str]) -> None:
    del headers


class ConnectionOptions(NamedTuple):
    """Options of the connections to one kind of server.

    Attributes:
        dialect: Dialect of the server.
        unacknowledged_timeout_ms: Time for which sent data may stay
            unacknowledged before the operating system closes the connection, in
            milliseconds; 0: the default of the operating system.
        read_headers: Called with the headers of each answer to a call, also of
            a refusal, before its body is read.
    """

    dialect: object
    unacknowledged_timeout_ms: int
    read_headers: Callable[[Mapping[str, str]], None] = _ignore_headers


# No timeout for unacknowledged data, because a congested link delays
# acknowledgements. If the operating system closed the connection for that, it
# would look like a crash, and the call would be lost while the backend server
# still runs it. Silent peers are detected by probes instead. The native dialect
# does not check the answers of peers: the peer has already checked that they
# are complete and belong to their calls.
PEER = ConnectionOptions(dialects.NativeDialect(), 0)


class ExchangeRunner:
    """Opens connections and sends calls over them."""

    def __init__(
        self,
        pool: pools.Pool,
        counters: traffics.Traffics,
        accepts_unframed: bool,
    ):
        """Sets the dependencies.

        Args:
            pool: Pool of connections.
            counters: Counters of the bytes of connections.
            accepts_unframed: See `forwarding.Forwarder`.
        """
        self._pool = pool
        self._byte_counters = counters
        self._accepts_unframed = accepts_unframed
        self._loop = asyncio.get_running_loop()

    async def open(
        self, address: str, deadline: float, options: ConnectionOptions
    ) -> connections.Connection | outcomes.NotRun:
        """Opens a connection, or returns an outcome if that fails."""
        remaining_s = deadline - self._loop.time()
        try:
            async with timeouts.timeout(min(_CONNECT_TIMEOUT_S, remaining_s)):
                byte_counters = self._byte_counters
                connection = await self._pool.open(
                    address,
                    options.unacknowledged_timeout_ms,
                    byte_counters.peers
                    if options is PEER
                    else byte_counters.backend,
                )
        except TimeoutError:
            return (
                _UNREACHABLE
                if remaining_s > _CONNECT_TIMEOUT_S
                else outcomes.TOO_LATE
            )
        except OSError:
            return _UNREACHABLE
        if self._loop.time() >= deadline:
            connection.abort()
            return outcomes.TOO_LATE
        return connection

    async def run(
        self,
        connection: connections.Connection,
        watchdog: watchdogs.Watchdog,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        options: ConnectionOptions = PEER,
    ) -> outcomes.Outcome:
        """Sends a call once; retries are up to the caller of this method.

        Raises:
            bodies.BodyError: The caller's body could not be read.
        """
        answer = None
        read_ahead_bytes = (
            0 if options is PEER else connections.READ_AHEAD_BYTES
        )
        try:
            answer = await connection.call(
                call.method, target, sent_headers, call.body, read_ahead_bytes
            )
            while not exchange_outcomes.matches_call(
                answer, call, sent_headers, options.dialect
            ):
                # A late answer to an earlier call on this connection.
                events.warn(
                    "foreign answer",
                    request=call.request_id,
                    address=connection.address,
                    status=answer.status,
                )
                await streams.skip_answer(answer, call.method)
                answer = None
                answer = await connection.read_answer()
            options.read_headers(answer.headers)
            failure = self._check_answer(
                connection, answer, call, options.dialect
            )
            if failure is not None:
                return failure
            body = await streams.read_answer(answer, call.method)
        except TimeoutError:
            connection.abort()
            return exchange_outcomes.DEADLINE_EXCEEDED
        except (
            aiohttp.ClientError,
            http.HttpProcessingError,
            OSError,
        ) as error:
            connection.abort()
            if call.body.error is not None:
                raise call.body.error from error
            return exchange_outcomes.build_failure(
                answer, "the connection broke", 502, broken=True
            )
        except BaseException:
            connection.abort()
            raise
        finally:
            watchdog.close()
        release = functools.partial(self._pool.release, connection)
        return outcomes.Answered(answer, body, [release])

    def _check_answer(
        self,
        connection: connections.Connection,
        answer: answers.Answer,
        call: calls.Call,
        dialect: object,
    ) -> outcomes.Failure | None:
        """Returns why an answer must not be forwarded; None: it may be.

        If it must not, the connection is released or aborted.
        """
        failure = dialects.check_answer(dialect, answer)
        if failure is None:
            framed = streams.is_framed(answer, call.method)
            if framed or (self._accepts_unframed and call.may_be_unframed()):
                return None
            failure = outcomes.Ran("the answer does not say where it ends")
        if answer.content.is_eof():
            self._pool.release(connection)
        else:
            connection.abort()
        return failure
