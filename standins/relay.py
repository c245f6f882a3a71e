"""Relays an HTTP call to an upstream, for the baseline proxies."""

from __future__ import annotations

import aiohttp
from aiohttp import hdrs
from aiohttp import web

_READ_CHUNK_BYTES = 64 * 1024
_NO_TIMEOUT = aiohttp.ClientTimeout()
# Hop-by-hop headers, and headers that are set anew for the next hop.
_UNRELAYED_HEADERS = frozenset(
    name.lower()
    for name in (
        hdrs.CONNECTION,
        hdrs.KEEP_ALIVE,
        hdrs.TRANSFER_ENCODING,
        hdrs.TE,
        hdrs.TRAILER,
        hdrs.UPGRADE,
        hdrs.HOST,
        hdrs.CONTENT_LENGTH,
    )
)


def create_session(
    timeout: aiohttp.ClientTimeout = _NO_TIMEOUT,
) -> aiohttp.ClientSession:
    """Creates a client that relays bodies and cookies unchanged.

    It opens any number of connections.

    Args:
        timeout: Timeouts of each request; by default, there are none.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
    )


async def relay_request(
    session: aiohttp.ClientSession,
    request: web.Request,
    body: bytes,
    url: str,
    raise_failures: bool = False,
) -> web.StreamResponse:
    """Sends a request to a URL and streams the answer to the caller.

    Args:
        session: Client to send the request with.
        request: Request of the caller.
        body: Body of the request.
        url: URL of the upstream.
        raise_failures: Whether to raise on a status of 500 or above too.

    Returns:
        The answer, which has been sent.

    Raises:
        aiohttp.ClientError: The upstream failed before its answer started; a
            later failure aborts the caller's connection instead.
        TimeoutError: The answer did not start before a timeout.
    """
    headers = [
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _UNRELAYED_HEADERS
    ]
    async with session.request(
        request.method, url, headers=headers, data=body or None
    ) as upstream_answer:
        if raise_failures and upstream_answer.status >= 500:
            upstream_answer.raise_for_status()
        answer = web.StreamResponse(status=upstream_answer.status)
        for name, value in upstream_answer.headers.items():
            if name.lower() not in _UNRELAYED_HEADERS:
                answer.headers.add(name, value)
        if upstream_answer.content_length is not None:
            answer.content_length = upstream_answer.content_length
        await answer.prepare(request)
        try:
            async for chunk in upstream_answer.content.iter_chunked(
                _READ_CHUNK_BYTES
            ):
                await answer.write(chunk)
        except (aiohttp.ClientError, TimeoutError):
            if request.transport is not None:
                request.transport.abort()
            return answer
        await answer.write_eof()
        return answer
