"""Responses to callers and other daemons, built from outcomes of calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import pipelining
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import streams

if TYPE_CHECKING:
    from collections.abc import Awaitable


def force_close_if(
    condition: bool, response: web.StreamResponse
) -> web.StreamResponse:
    """Closes the connection after this answer if the condition is true.

    A daemon that is about to stop closes connections in this way. If they were
    closed only at the end of the drain, another request could have just been
    sent over one of them, and its caller could not know whether that was run.
    """
    if condition:
        response.force_close()
    return response


async def catch_body_error(
    outcome: Awaitable[outcomes.Outcome],
) -> outcomes.Outcome:
    """Returns the outcome of a call, or `Unknown` for an incomplete body."""
    try:
        return await outcome
    except bodies.BodyError as error:
        return outcomes.Unknown(str(error), error.sent_status)


async def hold_until_turn(
    request: web.BaseRequest, outcome: outcomes.Outcome
) -> outcomes.Outcome:
    """Holds a streamed answer until it may be written to the connection.

    A streamed answer keeps its slot while it waits, and back-pressure pauses
    its reading. If it is short and ends before its turn, it is buffered and its
    slot is released. The number of slots bounds the memory of longer ones.

    Args:
        request: The request.
        outcome: The outcome of its call.

    Returns:
        The outcome to respond with.
    """
    if not isinstance(outcome, outcomes.Answered) or outcome.body is not None:
        return outcome
    framed = streams.is_framed(outcome.response, request.method)
    if not framed:
        pipelining.cancel_behind(request)
    if pipelining.has_turn(request):
        return outcome
    content = outcome.response.content
    turn = asyncio.ensure_future(pipelining.wait_for_turn(request))
    ended = asyncio.ensure_future(content.wait_eof())
    try:
        await asyncio.wait((turn, ended), return_when=asyncio.FIRST_COMPLETED)
        if (
            framed
            and content.is_eof()
            and content.exception() is None
            and content.total_bytes <= bodies.MAX_BUFFERED_BYTES
        ):
            outcome.body = content.read_nowait()
            return outcome
        await turn
    except BaseException:
        outcome.release()
        raise
    finally:
        turn.cancel()
        if not ended.cancel() and not ended.cancelled():
            # Otherwise asyncio logs the exception of a truncated answer.
            ended.exception()
    if content.exception() is None:
        return outcome
    # Nothing of it was written, so the caller can be told what happened.
    outcome.truncated = True
    outcome.release()
    return outcomes.Ran("the answer was cut")


async def respond(
    request: web.BaseRequest,
    outcome: outcomes.Outcome,
    dialect: object,
    progress: probes.AnswerProgress | None = None,
    extra_headers: tuple[tuple[str, str], ...] = (),
    send_body: streams.BodySender | None = None,
) -> web.StreamResponse:
    """Answers a request with the outcome of its call.

    Args:
        request: The request.
        outcome: The outcome of its call.
        dialect: The dialect of the sender of the request.
        progress: Counts the relayed bytes of a streamed answer.
        extra_headers: Headers to add to the answer.
        send_body: Sends the body of a streamed answer, or of a buffered one
            larger than `reservations.CHUNK_BYTES`; None: each chunk is sent as
            it arrives.
    """
    if isinstance(outcome, outcomes.Answered):
        return await _relay(
            request, outcome, progress, extra_headers, send_body
        )
    if isinstance(outcome, outcomes.Replayed):
        response = outcomes.render(outcome)
    else:
        response = dialects.render(dialect, outcome, request)
    response.headers.extend(extra_headers)
    if not request.content.is_eof():
        # The unread part of the body must not be parsed as the next request.
        response.force_close()
    return response


async def _relay(
    request: web.BaseRequest,
    answered: outcomes.Answered,
    progress: probes.AnswerProgress | None,
    extra_headers: tuple[tuple[str, str], ...],
    send_body: streams.BodySender | None,
) -> web.StreamResponse:
    try:
        return await streams.forward_answer(
            request, answered, progress, extra_headers, send_body
        )
    except (aiohttp.ClientError, OSError) as error:
        answered.truncated = isinstance(error, aiohttp.ClientError)
        raise ConnectionError("the answer was cut") from error
    finally:
        answered.release()
