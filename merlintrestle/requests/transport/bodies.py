"""Request bodies, buffered or streamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# Bytes of an answer that are sent at once. If all that is buffered were, as
# much would be received again while it waits to be sent.
MAX_CHUNK_BYTES = 128 * 1024
# Bodies up to this size are buffered, so that a retry can send them again.
MAX_BUFFERED_BYTES = 64 * 1024
# A sender or receiver that makes no progress for this time, in seconds, is
# disconnected.
STALL_TIMEOUT_S = 20.0


class BodyError(errors.MerlintrestleError):
    """The caller's body is incomplete or arrived too slowly.

    Attributes:
        status: HTTP status of the response if the call was not sent on.
        sent_status: The same if a part of the body was sent on.
        retry_after_s: Seconds until a retry is worthwhile; None if never.
    """

    status = 400
    sent_status = 400
    retry_after_s: float | None = None


class TooLargeError(BodyError):
    """The body is larger than the limit of the configuration."""

    status = 413
    sent_status = 413


class SlowBodyError(BodyError):
    """The body did not arrive in time."""

    status = 408


class NoRoomError(BodyError):
    """The body was given up as memory is short."""

    status = 503
    sent_status = 502
    retry_after_s = 1.0


class ShedError(web.RequestPayloadError):
    """Set on a body that is given up as memory is short."""


class Body:
    """The body of a caller's request.

    Attributes:
        buffered: The whole body; None if it is streamed.
        length: Length in bytes; None: unknown until the body ends.
        consumed: True once the stream was started; it cannot be sent again.
        error: The error that ended the stream; None: no error.
    """

    def __init__(
        self,
        buffered: bytes | None,
        length: int | None,
        content: aiohttp.StreamReader | None = None,
        prefix: bytes = b"",
        max_bytes: int | None = None,
    ):
        """Sets the body.

        Args:
            buffered: The whole body; None if it is streamed.
            length: Length in bytes; None: unknown until the body ends.
            content: Source of a streamed body.
            prefix: Bytes already read from `content`.
            max_bytes: Maximum size of a streamed body; None: no limit.
        """
        self._max_bytes = max_bytes
        self.buffered = buffered
        self.length = length
        self.consumed = False
        self.error: BodyError | None = None
        self._content = content
        self._prefix = prefix

    @property
    def replayable(self) -> bool:
        """True if the whole body can be sent, also for a retry or resend.

        It is buffered, or its stream has not been started.
        """
        return self.buffered is not None or not self.consumed

    def make_payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the payload for a connection; None: no body."""
        if self.buffered is not None:
            return self.buffered or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        assert self._content is not None
        self.consumed = True
        chunk, self._prefix = self._prefix, b""
        size = len(chunk)
        if chunk:
            yield chunk
        while True:
            try:
                chunk = await asyncio.wait_for(
                    self._content.readany(), STALL_TIMEOUT_S
                )
            except (web.RequestPayloadError, OSError, TimeoutError) as error:
                self.error = _build_error(error)
                raise self.error from error
            if not chunk:
                return
            size += len(chunk)
            if self._max_bytes is not None and size > self._max_bytes:
                self.error = TooLargeError("the request body is too large")
                raise self.error
            yield chunk


async def read_body(
    request: web.BaseRequest,
    deadline: float,
    max_bytes: int | None = None,
) -> Body:
    """Reads a small body into memory; any other body will be streamed.

    The first part of a long body, as much as that of a small one, is read as
    well: a call whose body stops before does not take a slot.

    Args:
        request: The request.
        deadline: Time by which the body must be read, in seconds of the event
            loop's clock.
        max_bytes: Maximum size of the body; None: no limit.

    Raises:
        BodyError: The body is incomplete, too large or did not arrive in time.
    """
    if not request.can_read_body:
        return Body(b"", 0)
    length = request.content_length
    content = request.content
    if max_bytes is not None and (length or 0) > max_bytes:
        raise TooLargeError("the request body is too large")
    if "Expect" in request.headers and not content.is_eof():
        _send_continue(request)
    is_long = length is not None and length > MAX_BUFFERED_BYTES
    if content.is_eof() and not is_long:
        return _build_body(content.read_nowait(), content, max_bytes)
    received = bytearray()
    try:
        async with (
            asyncio.timeout_at(deadline),
            asyncio.timeout(STALL_TIMEOUT_S),
        ):
            await _read_at_least(content, MAX_BUFFERED_BYTES, received)
    except (web.RequestPayloadError, OSError, TimeoutError) as error:
        raise _build_error(error) from None
    if is_long:
        return Body(None, length, content, bytes(received))
    return _build_body(bytes(received), content, max_bytes)


def _build_error(error: Exception) -> BodyError:
    # The future that was awaited holds the error. With a traceback, which
    # refers to the future, only the garbage collector would free the body.
    error.__traceback__ = None
    if isinstance(error, ShedError):
        return NoRoomError("memory is short")
    if isinstance(error, TimeoutError):
        return SlowBodyError("the request body stopped half-way")
    return BodyError("the request body stopped half-way")


def _build_body(
    received: bytes, content: aiohttp.StreamReader, max_bytes: int | None
) -> Body:
    """Builds a body from the bytes read so far and the rest of the stream.

    More than the maximum buffer size can arrive at once. Whether a body is
    buffered must not depend on that. The request digest, by which a retry of an
    unrepeatable call is recognised, includes only the length of a streamed
    body. If the first request were buffered and its retry streamed, the retry
    would look like a different call.

    Args:
        received: Bytes read so far.
        content: Stream with the rest of the body.
        max_bytes: Maximum size of the body; None: no limit.
    """
    if max_bytes is not None and len(received) > max_bytes:
        raise TooLargeError("the request body is too large")
    if content.is_eof() and len(received) <= MAX_BUFFERED_BYTES:
        return Body(received, len(received))
    return Body(None, None, content, received, max_bytes)


async def _read_at_least(
    content: aiohttp.StreamReader, min_bytes: int, received: bytearray
) -> None:
    """Reads chunks until they have a size, or until the end of the body.

    Args:
        content: Stream of the body.
        min_bytes: The size.
        received: Receives the chunks. One buffer, as a body in tiny pieces
            would take many objects.
    """
    while len(received) < min_bytes:
        chunk = await content.readany()
        if not chunk:
            return
        received += chunk


def _send_continue(request: web.BaseRequest) -> None:
    """Sends "100 Continue" if the caller expects it (RFC 9110, 10.1.1)."""
    expected = request.headers["Expect"].lower() == "100-continue"
    transport = request.transport
    if expected and transport is not None and request.version.minor >= 1:
        transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def read_short(
    content: aiohttp.StreamReader, max_bytes: int, keeps: bool = True
) -> bytes:
    """Reads a body of a bounded size; returns it if it is to be kept.

    Raises:
        aiohttp.ClientError: It is larger, or was truncated.
    """
    chunks = []
    size = 0
    while chunk := await content.readany():
        size += len(chunk)
        if size > max_bytes:
            raise aiohttp.ClientPayloadError(
                f"a body of more than {max_bytes} bytes"
            )
        if keeps:
            chunks.append(chunk)
    return b"".join(chunks)
