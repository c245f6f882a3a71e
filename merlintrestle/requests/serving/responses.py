"""Answering: from the outcome of a call to what its sender gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import streams

if TYPE_CHECKING:
    from collections.abc import Awaitable


def close_if(leaving: bool, response: web.StreamResponse) -> web.StreamResponse:
    """Has the connection close after this answer if the daemon stops.

    Cut at the end of the drain, it may just have got another request, and
    its caller could not tell whether that ran.
    """
    if leaving:
        response.force_close()
    return response


async def catch_body_error(
    run: Awaitable[outcomes.Outcome],
) -> outcomes.Outcome:
    """Returns the outcome of a call, also where the caller's body stopped."""
    try:
        return await run
    except bodies.BodyError as error:
        return outcomes.Unknown(str(error), 400)


async def finish(
    request: web.BaseRequest,
    outcome: outcomes.Outcome,
    dialect: object,
    progress: probes.Progress | None = None,
    added: tuple[tuple[str, str], ...] = (),
    send: streams.Sender | None = None,
) -> web.StreamResponse:
    """Answers a request by the outcome of its call.

    Args:
        request: The request.
        outcome: What became of its call.
        dialect: How its sender speaks.
        progress: Counts what is passed on of a long answer.
        added: Headers to add.
        send: Sends the body of a long answer; None: as its pieces come.
    """
    if isinstance(outcome, outcomes.Answered):
        return await _relay(request, outcome, progress, added, send)
    if isinstance(outcome, outcomes.Replayed):
        response = outcomes.render(outcome)
    else:
        response = dialects.render(dialect, outcome, request)
    response.headers.extend(added)
    if not request.content.is_eof():
        # What is left of the body must not be taken for the next request.
        response.force_close()
    return response


async def _relay(
    request: web.BaseRequest,
    answered: outcomes.Answered,
    progress: probes.Progress | None,
    added: tuple[tuple[str, str], ...],
    send: streams.Sender | None,
) -> web.StreamResponse:
    try:
        return await streams.relay(request, answered, progress, added, send)
    except (aiohttp.ClientError, OSError) as error:
        answered.truncated = isinstance(error, aiohttp.ClientError)
        raise ConnectionError("the answer was cut") from error
    finally:
        answered.release()
