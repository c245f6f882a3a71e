"""Reading and forwarding of answers, so that truncated ones are detected."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol, TYPE_CHECKING

import aiohttp
from aiohttp import hdrs
from aiohttp import http
from aiohttp import web

from merlintrestle.requests.load import reservations
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes

if TYPE_CHECKING:
    from merlintrestle.requests.calls import outcomes

# Values of the socket option SO_LINGER (l_onoff and l_linger). With
# `_LINGER_RESET`, the close of a connection sends a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_DEFAULT = struct.pack("ii", 0, 0)
# Interval at which the write buffer is checked after an answer whose end is
# marked only by the close of its connection: the received answer is unframed,
# or it has no Content-Length and the caller uses HTTP/1.0.
_FLUSH_POLL_S = 0.02
# Maximum size of a surplus answer. Beyond it, a new connection costs less.
_MAX_SKIPPED_BYTES = 8 * 1024 * 1024
_BODILESS_STATUSES = frozenset((204, 304))


class BodySender(Protocol):
    """Sends the body of an answer to a caller or daemon."""

    async def __call__(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        answered: outcomes.Answered,
        progress: probes.AnswerProgress,
    ) -> None:
        """Sends the whole body.

        Args:
            request: The request.
            response: The response, whose headers have been sent.
            answered: The answer whose body is sent.
            progress: Counts the written bytes.
        """


async def read_answer(answer: answers.Answer, method: str) -> bytes | None:
    """Reads a small answer into memory; any other answer will be streamed.

    If a small answer is truncated, the call can still be retried or answered
    with its true outcome, as nothing has been sent to the caller yet. An
    unframed answer is never buffered: whether it is complete is unknown.

    Args:
        answer: The answer, whose headers have been read.
        method: HTTP method of the request.

    Returns:
        The whole body; None if it will be streamed.

    Raises:
        aiohttp.ClientError: The answer was truncated.
    """
    content = answer.content
    if not is_framed(answer, method):
        return None
    if content.is_eof():
        return content.read_nowait()
    length = answer.content_length
    if length is not None and length <= bodies.MAX_BUFFERED_BYTES:
        return await content.read()
    return None


async def skip_answer(answer: answers.Answer, method: str) -> None:
    """Reads the body of an answer that nobody gets, and drops it.

    It may be as large as any answer, or have no end: if it were kept, one of
    them would fill the memory of the instance.

    Args:
        answer: The answer, whose headers have been read.
        method: HTTP method of the request.

    Raises:
        aiohttp.ClientError: The answer was truncated, is too large, or ends
            only with its connection, so that no other one can follow.
    """
    if not is_framed(answer, method):
        raise aiohttp.ClientPayloadError("a surplus answer has no end")
    await bodies.read_short(answer.content, _MAX_SKIPPED_BYTES, keeps=False)


def is_framed(answer: answers.Answer, method: str) -> bool:
    """Returns whether a truncation of an answer can be detected.

    An answer that ends only with the close of its connection looks complete
    wherever it is truncated. "chunked" is the only transfer coding that marks
    the end.
    """
    if method == "HEAD" or answer.status in _BODILESS_STATUSES:
        return True
    codings = answer.headers.get(hdrs.TRANSFER_ENCODING)
    if codings is not None:
        return codings.lower().rpartition(",")[2].strip() == "chunked"
    return answer.content_length is not None


async def forward_answer(
    request: web.BaseRequest,
    answered: outcomes.Answered,
    progress: probes.AnswerProgress | None = None,
    extra_headers: tuple[tuple[str, str], ...] = (),
    send_body: BodySender | None = None,
) -> web.StreamResponse:
    """Forwards an answer; resets the caller's connection if it is truncated.

    A truncated body must not look complete: the caller would store half a
    document. The connection is reset instead of closed, which can be detected
    with every HTTP version, also if only the close marks the end.

    Args:
        request: The caller's request.
        answered: Outcome of the call, with the answer.
        progress: Counts the forwarded bytes of a streamed answer.
        extra_headers: Headers to add.
        send_body: Sends the body of a streamed answer, or of a buffered one
            larger than `reservations.CHUNK_BYTES`; None: each chunk is sent as
            it arrives.

    Returns:
        The response; the server writes it unless it has been sent.
    """
    answer = answered.response
    copied = headers.copy_end_to_end(answer.headers)
    copied.extend(extra_headers)
    bodiless = request.method == "HEAD" or answer.status in _BODILESS_STATUSES
    buffered = answered.body
    if (
        buffered is not None
        and not bodiless
        and (send_body is None or len(buffered) <= reservations.CHUNK_BYTES)
    ):
        return answers.build_buffered(request, answer, copied, buffered)
    framed = is_framed(answer, request.method)
    response = (web.StreamResponse if framed else _UnframedResponse)(
        status=answer.status, reason=answer.reason, headers=copied
    )
    if not framed:
        response.force_close()
    if bodiless:
        # Written by the server in turn: the caller would take a head that
        # comes before earlier answers for that of an earlier request.
        return response
    progress = progress or probes.AnswerProgress()
    watchdog = _ReceiverWatchdog(request, progress)
    # Whether only the close of the connection marks the end of the answer.
    ends_by_close = not framed or (
        request.version < http.HttpVersion11 and "Content-Length" not in copied
    )
    try:
        if ends_by_close:
            _set_linger(request, _LINGER_RESET)
        await response.prepare(request)
        await (send_body or _send_chunks)(request, response, answered, progress)
        await response.write_eof()
        if ends_by_close:
            await _flush_before_close(request)
    except BaseException:
        reset_connection(request)
        raise
    finally:
        watchdog.close()
    return response


class _UnframedResponse(web.StreamResponse):
    """A response whose end is marked only by the close of its connection.

    It is forwarded unframed: with a length or chunks, an answer that the
    backend server has truncated would look complete to the caller.
    """

    _length_check = False


class _ReceiverWatchdog:
    """Resets the connection of a receiver that has stopped reading.

    The host of the receiver may have failed without closing the connection. The
    call would occupy its slot forever, and a few such receivers would block a
    backend server. Connections of slow receivers are not reset, as some bytes
    are sent between two checks; nor are those of receivers that wait for more
    of the answer, as their write buffer is empty.
    """

    def __init__(
        self, request: web.BaseRequest, progress: probes.AnswerProgress
    ):
        """Starts the watchdog."""
        self._request = request
        self._progress = progress
        self._last_progress = (0, 0)
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(bodies.STALL_TIMEOUT_S, self._check)

    def close(self) -> None:
        """Stops the watchdog."""
        self._timer.cancel()

    def _check(self) -> None:
        transport = self._request.transport
        if transport is None:
            return
        buffered_bytes = transport.get_write_buffer_size()
        current = (self._progress.written, buffered_bytes)
        if buffered_bytes and current == self._last_progress:
            reset_connection(self._request)
            return
        self._last_progress = current
        self._timer = self._loop.call_later(bodies.STALL_TIMEOUT_S, self._check)


async def _send_chunks(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answered: outcomes.Answered,
    progress: probes.AnswerProgress,
) -> None:
    """Sends each chunk of a body as it arrives."""
    del request
    content = answered.response.content
    while chunk := await content.read(bodies.MAX_CHUNK_BYTES):
        progress.written += len(chunk)
        await response.write(chunk)


def reset_connection(request: web.BaseRequest) -> None:
    """Resets the caller's connection, which marks its answer as truncated."""
    transport = request.transport
    if transport is None:
        return
    _set_linger(request, _LINGER_RESET)
    transport.abort()


async def _flush_before_close(request: web.BaseRequest) -> None:
    """Waits until the write buffer is empty, and allows a normal close again.

    Until then, each close of the connection must reset it: if the daemon is
    killed, the operating system closes the connection, and without a reset a
    truncated answer would look complete.
    """
    transport = request.transport
    while transport is not None and transport.get_write_buffer_size():
        await asyncio.sleep(_FLUSH_POLL_S)
    _set_linger(request, _LINGER_DEFAULT)


def _set_linger(request: web.BaseRequest, linger: bytes) -> None:
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
