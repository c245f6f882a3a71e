"""Bodies: read, passed on in pieces, and cut without looking complete."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http
from aiohttp import web

from merlintrestle import errors
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from merlintrestle.requests import outcomes
    from merlintrestle.requests.transport import connections

# Bodies up to this size are held whole, so that they can be sent again.
MAX_HELD_BYTES = 64 * 1024
# A sender or receiver that moves nothing for so long is given up.
STALL_S = 20.0
# l_onoff and l_linger: close at once with a reset.
_RESET = struct.pack("ii", 1, 0)
_NO_RESET = struct.pack("ii", 0, 0)
# Time between two looks at what is held back of an answer to an old caller.
_FLUSH_S = 0.02
_BODILESS = frozenset((204, 304))


class BodyError(errors.MerlintrestleError):
    """The caller's body stopped half-way or came too slowly."""


class Body:
    """The body of a caller's request.

    Attributes:
        held: The whole body; None if it is passed on in pieces.
        length: Its length in bytes; None: not known before it ends.
        taken: True once a piece of it was taken and it cannot be sent again.
        error: Why it could not be read; None: nothing wrong.
    """

    def __init__(
        self,
        held: bytes | None,
        length: int | None,
        content: aiohttp.StreamReader | None = None,
        begun: bytes = b"",
    ):
        self.held = held
        self.length = length
        self.taken = False
        self.error: BodyError | None = None
        self._content = content
        self._begun = begun

    @property
    def repeatable(self) -> bool:
        """True while the body can be sent from its beginning."""
        return self.held is not None or not self.taken

    def make_payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what the HTTP client sends; None: no body."""
        if self.held is not None:
            return self.held or None
        return self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        assert self._content is not None
        self.taken = True
        if self._begun:
            yield self._begun
        while True:
            try:
                piece = await asyncio.wait_for(self._content.readany(), STALL_S)
            except (web.RequestPayloadError, OSError, TimeoutError) as error:
                self.error = BodyError("the request body stopped half-way")
                raise self.error from error
            if not piece:
                return
            yield piece


async def read_body(
    request: web.BaseRequest, deadline: float, hold_chunks: bool
) -> Body:
    """Reads a small body whole; leaves another to be passed on.

    Args:
        request: The request.
        deadline: Time of the event loop by which it must be read, in seconds.
        hold_chunks: Also reads a body of unknown length as far as it may be
            held, so that a payout that stops half-way has not begun to run.

    Raises:
        BodyError: The body stopped half-way or did not come in time.
    """
    if not request.can_read_body:
        return Body(b"", 0)
    length = request.content_length
    content = request.content
    if "Expect" in request.headers and not content.is_eof():
        _tell_to_continue(request)
    if length is None and not hold_chunks:
        return Body(None, None, content)
    if length is not None and length > MAX_HELD_BYTES:
        return Body(None, length, content)
    if content.is_eof():
        return _build_body(content.read_nowait(), content)
    try:
        async with asyncio.timeout_at(deadline), asyncio.timeout(STALL_S):
            held = await _read_at_most(content, MAX_HELD_BYTES)
    except (web.RequestPayloadError, OSError, TimeoutError) as error:
        raise BodyError("the request body stopped half-way") from error
    return _build_body(held, content)


def _build_body(begun: bytes, content: aiohttp.StreamReader) -> Body:
    """Returns the body that begins with what was read.

    More than may be held can arrive at once. Whether a body is held must not
    depend on that, for what the request is taken to be depends on it: sent
    again in pieces, the same payout would look like another.
    """
    if content.is_eof() and len(begun) <= MAX_HELD_BYTES:
        return Body(begun, len(begun))
    return Body(None, None, content, begun)


async def _read_at_most(content: aiohttp.StreamReader, limit: int) -> bytes:
    pieces = []
    left = limit
    while left > 0:
        piece = await content.readany()
        if not piece:
            break
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)


def _tell_to_continue(request: web.BaseRequest) -> None:
    """Has a caller send its body that waits to be told (RFC 9110, 10.1.1)."""
    expected = request.headers["Expect"].lower() == "100-continue"
    transport = request.transport
    if expected and transport is not None and request.version.minor >= 1:
        transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def read_answer(
    response: connections.Answer, method: str
) -> bytes | None:
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
    if length is not None and length <= MAX_HELD_BYTES:
        return await content.read()
    return None


def has_clear_end(response: connections.Answer, method: str) -> bool:
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
    progress: probes.Progress | None = None,
    added: tuple[tuple[str, str], ...] = (),
) -> web.StreamResponse:
    """Passes an answer on, and cuts the caller off if it is cut.

    A body that ends early must not look whole: the caller would file half a
    document. The connection is reset instead of closed, which shows with every
    HTTP version, also where only the close marks the end.
    """
    response = answered.response
    copied = headers.copy_end_to_end(response.headers)
    copied.extend(added)
    bodiless = request.method == "HEAD" or response.status in _BODILESS
    if answered.body is not None and not bodiless:
        return answers.build_held(request, response, copied, answered.body)
    framed = has_clear_end(response, request.method)
    answer = (web.StreamResponse if framed else _Unframed)(
        status=response.status, reason=response.reason, headers=copied
    )
    if not framed:
        answer.force_close()
    progress = progress or probes.Progress()
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
            await _relay_pieces(response.content, answer, progress)
        await answer.write_eof()
        if unmarked:
            await _end_unmarked(request)
    except BaseException:
        cut(request)
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

    def __init__(self, request: web.BaseRequest, progress: probes.Progress):
        """Starts the watch."""
        self._request = request
        self._progress = progress
        self._seen = (0, 0)
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(STALL_S, self._look)

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
            cut(self._request)
            return
        self._seen = seen
        self._timer = self._loop.call_later(STALL_S, self._look)


async def _relay_pieces(
    content: aiohttp.StreamReader,
    answer: web.StreamResponse,
    progress: probes.Progress,
) -> None:
    while True:
        piece = await content.readany()
        if not piece:
            return
        progress.written += len(piece)
        await answer.write(piece)


def cut(request: web.BaseRequest) -> None:
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
