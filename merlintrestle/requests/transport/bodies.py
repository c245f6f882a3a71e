"""Bodies of callers' requests: held whole, or passed on in pieces."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

# Bodies up to this size are held whole, so that they can be sent again.
MAX_BUFFERED_BYTES = 64 * 1024
# A sender or receiver that moves nothing for so long is given up.
STALL_TIMEOUT_S = 20.0


class BodyError(errors.MerlintrestleError):
    """The caller's body stopped half-way or came too slowly."""


class Body:
    """The body of a caller's request.

    Attributes:
        buffered: The whole body; None if it is passed on in pieces.
        length: Its length in bytes; None: not known before it ends.
        consumed: True once a piece of it was taken and it cannot be sent again.
        error: Why it could not be read; None: nothing wrong.
    """

    def __init__(
        self,
        held: bytes | None,
        length: int | None,
        content: aiohttp.StreamReader | None = None,
        begun: bytes = b"",
    ):
        self.buffered = held
        self.length = length
        self.consumed = False
        self.error: BodyError | None = None
        self._content = content
        self._begun = begun

    @property
    def replayable(self) -> bool:
        """True while the body can be sent from its beginning."""
        return self.buffered is not None or not self.consumed

    def make_payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what the HTTP client sends; None: no body."""
        if self.buffered is not None:
            return self.buffered or None
        return self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        assert self._content is not None
        self.consumed = True
        if self._begun:
            yield self._begun
        while True:
            try:
                piece = await asyncio.wait_for(
                    self._content.readany(), STALL_TIMEOUT_S
                )
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
    if length is not None and length > MAX_BUFFERED_BYTES:
        return Body(None, length, content)
    if content.is_eof():
        return _build_body(content.read_nowait(), content)
    try:
        async with (
            asyncio.timeout_at(deadline),
            asyncio.timeout(STALL_TIMEOUT_S),
        ):
            held = await _read_at_most(content, MAX_BUFFERED_BYTES)
    except (web.RequestPayloadError, OSError, TimeoutError) as error:
        raise BodyError("the request body stopped half-way") from error
    return _build_body(held, content)


def _build_body(begun: bytes, content: aiohttp.StreamReader) -> Body:
    """Returns the body that begins with what was read.

    More than may be held can arrive at once. Whether a body is held must not
    depend on that, for what the request is taken to be depends on it: sent
    again in pieces, the same payout would look like another.
    """
    if content.is_eof() and len(begun) <= MAX_BUFFERED_BYTES:
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
