"""Exchanges: one request and its answer over one connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import http_exceptions
from aiohttp import http_writer

from merlintrestle.requests import outcomes
from merlintrestle.requests import pools
from merlintrestle.requests import streams

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import client_proto
    from aiohttp import http_parser
    import multidict

    from merlintrestle.requests import call as calls

_UNREACHABLE = outcomes.NotRun(
    "could not connect", elsewhere=True, unreachable=True
)
_LAST_INTERIM = 199


async def exchange(
    pool: pools.Pool,
    address: str,
    target: str,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
    single: bool = False,
) -> outcomes.Outcome:
    """Sends a call and waits for its answer, whole if it is small.

    Args:
        pool: Where the connection comes from.
        address: Where it is sent, "ip:port".
        target: Path and query.
        call: The call.
        sent_headers: All headers but those that frame the body.
        single: Uses a connection of its own.

    Raises:
        streams.BodyError: The caller's body stopped half-way.
    """
    protocol = None if single else pool.take(address)
    if protocol is None:
        try:
            protocol = await pool.open(address)
        except pools.ConnectError:
            # Nothing was written.
            return _UNREACHABLE
    response = None
    try:
        writing = await _send(protocol, target, call, sent_headers, single)
        message, content = await _receive(protocol)
        response = pools.Response(
            message, content, protocol, pool, address, not single, writing
        )
        if not streams.has_clear_end(response, call.method):
            response.close()
            return outcomes.Ran("the answer does not say where it ends")
        body = await streams.read_answer(response)
        return outcomes.Answered(response, body, response.close)
    except http_exceptions.HttpProcessingError:
        _give_up(pool, address, protocol, response)
        return outcomes.Ran("the answer is malformed")
    except (aiohttp.ClientError, OSError) as error:
        _give_up(pool, address, protocol, response)
        if call.body.error is not None:
            raise call.body.error from error
        if response is None:
            return outcomes.Unknown("the connection broke", broken=True)
        return outcomes.Ran("the connection broke in the answer", broken=True)
    except BaseException:
        _give_up(pool, address, protocol, response)
        raise


async def _send(
    protocol: client_proto.ResponseHandler,
    target: str,
    call: calls.Call,
    sent_headers: multidict.CIMultiDict[str],
    single: bool,
) -> asyncio.Task[None] | None:
    """Sends a request; returns the task that goes on sending its body."""
    loop = asyncio.get_running_loop()
    protocol.set_response_params(
        skip_payload=call.method == "HEAD",
        read_until_eof=True,
        auto_decompress=False,
    )
    writer = http_writer.StreamWriter(protocol, loop)
    body = call.body
    if single:
        sent_headers["Connection"] = "close"
    if body.length:
        sent_headers["Content-Length"] = str(body.length)
    elif body.length is None:
        sent_headers["Transfer-Encoding"] = "chunked"
        writer.enable_chunking()
    await writer.write_headers(f"{call.method} {target} HTTP/1.1", sent_headers)
    payload = body.make_payload()
    if payload is None:
        writer.set_eof()
        return None
    if isinstance(payload, bytes):
        await writer.write_eof(payload)
        return None
    body.sending = asyncio.create_task(_send_pieces(writer, payload, protocol))
    return body.sending


async def _send_pieces(
    writer: http_writer.StreamWriter,
    pieces: AsyncIterator[bytes],
    protocol: client_proto.ResponseHandler,
) -> None:
    """Passes a body on; breaks the connection if it stops half-way.

    Ended cleanly, half a body would be taken for the whole of it.
    """
    try:
        async for piece in pieces:
            await writer.write(piece)
        await writer.write_eof()
    except asyncio.CancelledError:
        raise
    except Exception as error:
        transport = protocol.transport
        if transport is not None:
            transport.abort()
        broken = aiohttp.ClientConnectionError("the request body broke off")
        protocol.set_exception(broken, error)


async def _receive(
    protocol: client_proto.ResponseHandler,
) -> tuple[http_parser.RawResponseMessage, aiohttp.StreamReader]:
    while True:
        message, content = await protocol.read()
        if message.code > _LAST_INTERIM:
            return message, content


def _give_up(
    pool: pools.Pool,
    address: str,
    protocol: client_proto.ResponseHandler,
    response: pools.Response | None,
) -> None:
    if response is not None:
        response.close()
    else:
        pool.give_back(address, protocol, False)
