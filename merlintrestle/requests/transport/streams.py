"""Answers: read, passed on in pieces, and cut without looking complete."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol, TYPE_CHECKING

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

# l_onoff and l_linger: close at once with a reset.
_RESET = struct.pack("ii", 1, 0)
_NO_RESET = struct.pack("ii", 0, 0)
# Time between two looks at what is held back of an answer to an old caller.
_FLUSH_S = 0.02
_BODILESS = frozenset((204, 304))


class BodySender(Protocol):
    """Sends the body of an answer whose head is sent."""

    async def __call__(
        self,
        request: web.BaseRequest,
        answer: web.StreamResponse,
        answered: outcomes.Answered,
        progress: probes.AnswerProgress,
    ) -> None:
        """Sends the whole body, and counts it."""


async def read_answer(response: answers.Answer, method: str) -> bytes | None:
    """Reads a small answer whole; leaves another to be passed on.

    A small answer that is cut can then still be tried again or be refused with
    an honest outcome: the caller has seen nothing of it yet. One without a
    clear end is never held: nobody knows whether it is whole.

    Raises:
        aiohttp.ClientError: It was cut.
    """
    content = response.content
    if not has_clear_end(response, method):
        return None
    if content.is_eof():
        return content.read_nowait()
    length = response.content_length
    if length is not None and length <= bodies.MAX_BUFFERED_BYTES:
        return await content.read()
    return None


def has_clear_end(response: answers.Answer, method: str) -> bool:
    """Returns whether the end of an answer differs from a cut.

    An answer whose end is marked by the close of its connection alone looks
    whole wherever it is cut. Of the transfer encodings only chunks mark one.
    """
    if method == "HEAD" or response.status in _BODILESS:
        return True
    codings = response.headers.get(hdrs.TRANSFER_ENCODING)
    if codings is not None:
        return codings.lower().rpartition(",")[2].strip() == "chunked"
    return response.content_length is not None


async def relay(
    request: web.BaseRequest,
    answered: outcomes.Answered,
    progress: probes.AnswerProgress | None = None,
    added: tuple[tuple[str, str], ...] = (),
    send: BodySender | None = None,
) -> web.StreamResponse:
    """Passes an answer on, and cuts the caller off if it is cut.

    A body that ends early must not look whole: the caller would file half a
    document. The connection is reset instead of closed, which shows with every
    HTTP version, also where only the close marks the end.

    Args:
        request: What is answered.
        answered: The answer.
        progress: Counts what is passed on of a long answer.
        added: Headers to add.
        send: Sends the body of a long answer; None: as its pieces come.
    """
    response = answered.response
    copied = headers.copy_end_to_end(response.headers)
    copied.extend(added)
    bodiless = request.method == "HEAD" or response.status in _BODILESS
    held = answered.body
    if (
        held is not None
        and not bodiless
        and (send is None or len(held) <= reservations.CHUNK_BYTES)
    ):
        return answers.build_held(request, response, copied, held)
    framed = has_clear_end(response, request.method)
    answer = (web.StreamResponse if framed else _Unframed)(
        status=response.status, reason=response.reason, headers=copied
    )
    if not framed:
        answer.force_close()
    progress = progress or probes.AnswerProgress()
    watch = _ReceiverWatch(request, progress)
    # The close of the connection is all that marks the end of such an answer.
    unmarked = not framed or (
        request.version < http.HttpVersion11
        and not bodiless
        and "Content-Length" not in copied
    )
    try:
        if unmarked:
            _set_linger(request, _RESET)
        await answer.prepare(request)
        if not bodiless:
            await (send or _send)(request, answer, answered, progress)
        await answer.write_eof()
        if unmarked:
            await _end_unmarked(request)
    except BaseException:
        reset_connection(request)
        raise
    finally:
        watch.close()
    return answer


class _Unframed(web.StreamResponse):
    """An answer whose end only the close of its connection marks.

    It stays so on its way: given a length or chunks here, an answer that its
    backend server broke off would look whole to the caller.
    """

    _length_check = False


class _ReceiverWatch:
    """Cuts off a receiver that takes nothing of what waits to be sent.

    Its host may be gone without a word. The call would hold its slot for good,
    and a few such receivers would stop a backend server. A receiver that is
    slow moves something, and for one that waits nothing is held back.
    """

    def __init__(
        self, request: web.BaseRequest, progress: probes.AnswerProgress
    ):
        """Starts the watch."""
        self._request = request
        self._progress = progress
        self._seen = (0, 0)
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(bodies.STALL_TIMEOUT_S, self._look)

    def close(self) -> None:
        """Ends the watch."""
        self._timer.cancel()

    def _look(self) -> None:
        transport = self._request.transport
        if transport is None:
            return
        held_back = transport.get_write_buffer_size()
        seen = (self._progress.written, held_back)
        if held_back and seen == self._seen:
            reset_connection(self._request)
            return
        self._seen = seen
        self._timer = self._loop.call_later(bodies.STALL_TIMEOUT_S, self._look)


async def _send(
    request: web.BaseRequest,
    answer: web.StreamResponse,
    answered: outcomes.Answered,
    progress: probes.AnswerProgress,
) -> None:
    """Sends a body in pieces, as it comes."""
    del request
    content = answered.response.content
    while piece := await content.readany():
        progress.written += len(piece)
        await answer.write(piece)


def reset_connection(request: web.BaseRequest) -> None:
    """Resets the caller's connection, so that its answer shows as broken."""
    transport = request.transport
    if transport is None:
        return
    _set_linger(request, _RESET)
    transport.abort()


async def _end_unmarked(request: web.BaseRequest) -> None:
    """Has the connection end as usual, once nothing more is held back.

    Until then it is to be reset whoever closes it: if the daemon is killed,
    the operating system does, and half an answer would look whole.
    """
    transport = request.transport
    while transport is not None and transport.get_write_buffer_size():
        await asyncio.sleep(_FLUSH_S)
    _set_linger(request, _NO_RESET)


def _set_linger(request: web.BaseRequest, linger: bytes) -> None:
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
