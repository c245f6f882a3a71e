"""Passes one HTTP call on, as the plain proxies of the baselines do."""

from __future__ import annotations

import aiohttp
from aiohttp import hdrs
from aiohttp import web

_READ_BYTES = 64 * 1024
_NO_LIMIT = aiohttp.ClientTimeout()
_HOP_BY_HOP = frozenset(
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
    timeout: aiohttp.ClientTimeout = _NO_LIMIT,
) -> aiohttp.ClientSession:
    """Makes a client that changes nothing of what it passes on."""
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
    """Sends a call to a URL and streams the answer back.

    Args:
        session: Client to send by.
        request: The call.
        body: Its body.
        url: Where to send it.
        raise_failures: Raise on a status of 500 or above as well.

    Raises:
        aiohttp.ClientError: The upstream failed before its answer began; once
            it has begun, the caller's connection is cut instead.
    """
    headers = [
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _HOP_BY_HOP
    ]
    async with session.request(
        request.method, url, headers=headers, data=body or None
    ) as upstream:
        if raise_failures and upstream.status >= 500:
            upstream.raise_for_status()
        answer = web.StreamResponse(status=upstream.status)
        for name, value in upstream.headers.items():
            if name.lower() not in _HOP_BY_HOP:
                answer.headers.add(name, value)
        if upstream.content_length is not None:
            answer.content_length = upstream.content_length
        await answer.prepare(request)
        try:
            async for chunk in upstream.content.iter_chunked(_READ_BYTES):
                await answer.write(chunk)
        except (aiohttp.ClientError, TimeoutError):
            if request.transport is not None:
                request.transport.abort()
            return answer
        await answer.write_eof()
        return answer
