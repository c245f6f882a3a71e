"""Forwarding: one attempt to send a call to one address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import yarl

from merlintrestle.requests import outcomes
from merlintrestle.requests import streams

if TYPE_CHECKING:
    import multidict

    from merlintrestle.requests import call as calls

_CONNECT_S = 1.0
# Shorter than servers keep idle connections: one closed by the other side just
# as a call is written to it would leave that call with an unknown outcome.
_KEEPALIVE_S = 15.0
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
_UNREACHABLE = outcomes.NotRun(
    "could not connect", elsewhere=True, unreachable=True
)


class Forwarder:
    """Sends calls over pooled connections, or each over one of its own."""

    def __init__(self) -> None:
        self._pooled: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the pools."""
        self._pooled = _open_session(force_close=False)
        self._single = _open_session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._pooled, self._single):
            if session is not None:
                await session.close()

    async def send(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
    ) -> outcomes.Outcome:
        """Sends a call and waits for its answer, whole if it is small.

        Work that may not be repeated gets a new connection: a pooled one that
        the other side is closing, or that has gone silent, would leave it
        unknown whether the work ran.

        Raises:
            streams.BodyError: The caller's body stopped half-way.
        """
        session = self._pooled if call.plan.repeatable else self._single
        assert session is not None
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        response = None
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await session.request(
                    call.method,
                    url,
                    headers=sent_headers,
                    data=call.body.make_payload(),
                    allow_redirects=False,
                )
                body = await streams.read_answer(response)
            return outcomes.Answered(response, body, response.close)
        except aiohttp.ClientConnectorError:
            # Raised only while connecting: nothing was written.
            return _UNREACHABLE
        except aiohttp.ConnectionTimeoutError:
            return _UNREACHABLE
        except TimeoutError:
            return _fail(response, "no answer before the deadline", 504)
        except (aiohttp.ClientError, OSError) as error:
            if call.body.error is not None:
                raise call.body.error from error
            return _fail(response, "the connection broke", 502, broken=True)


def _fail(
    response: aiohttp.ClientResponse | None,
    reason: str,
    status: int,
    broken: bool = False,
) -> outcomes.Failure:
    if response is None:
        return outcomes.Unknown(reason, status, broken=broken)
    response.close()
    return outcomes.Ran(f"{reason} in the answer", status, broken=broken)


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
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
