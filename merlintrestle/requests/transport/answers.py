"""Answers whose headers are read, and how those known whole are written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import helpers
from aiohttp import http
from aiohttp import web
import multidict

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp
    from aiohttp import abc

_UNKNOWN_TYPE = "application/octet-stream"


class Answer:
    """An answer whose headers are read.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Its headers.
        content: Its body, as it comes.
        close: Cuts what is still to come of it.
        is_paused: Returns whether this daemon itself reads no more of it for
            the time being.
    """

    __slots__ = (
        "close",
        "content",
        "headers",
        "is_paused",
        "reason",
        "status",
    )

    def __init__(
        self,
        message: http.RawResponseMessage,
        content: aiohttp.StreamReader,
        close: Callable[[], None],
        is_paused: Callable[[], bool],
    ):
        self.status = message.code
        self.reason = message.reason
        self.headers = message.headers
        self.content = content
        self.close = close
        self.is_paused = is_paused

    @property
    def content_length(self) -> int | None:
        """Stated length of the body in bytes; None: not stated."""
        text = self.headers.get(hdrs.CONTENT_LENGTH)
        return None if text is None else int(text)


def build_held(
    request: web.BaseRequest,
    answer: Answer,
    headers: multidict.CIMultiDict[str],
    body: bytes,
) -> web.StreamResponse:
    """Returns what writes a held answer to its caller.

    Args:
        request: What is answered.
        answer: The backend server's answer.
        headers: Its end-to-end headers.
        body: Its whole body.
    """
    if request.version == http.HttpVersion11 and request.keep_alive:
        _complete(headers, body)
        return _Whole(answer, headers, body)
    return web.Response(
        body=body, status=answer.status, reason=answer.reason, headers=headers
    )


class _Whole(web.StreamResponse):
    """An answer whose headers and body are known, written in one go.

    It leaves out what `web.Response` does for answers that are being made:
    content types, charsets, cookies, compression, missing headers.
    """

    def __init__(
        self,
        answer: Answer,
        headers: multidict.CIMultiDict[str],
        body: bytes,
    ):
        super().__init__(
            status=answer.status, reason=answer.reason, _real_headers=headers
        )
        self._held = body

    @property
    def keep_alive(self) -> bool:
        """False only after `force_close`, which a daemon that drains calls."""
        return self._keep_alive is not False

    async def prepare(
        self, request: web.BaseRequest
    ) -> abc.AbstractStreamWriter:
        """Writes the whole answer."""
        writer = request.writer
        line = f"HTTP/1.1 {self._status} {self._reason}"
        if not self.keep_alive:
            self._headers[hdrs.CONNECTION] = "close"
        await writer.write_headers(line, self._headers)
        await writer.write_eof(self._held)
        return writer

    async def write_eof(self, data: bytes = b"") -> None:
        """Does nothing: all is written."""


class ShortAnswer(web.Response):
    """A short answer that the daemon makes itself, mostly a refusal.

    Under load most answers are refusals. To a sender that reads on it is
    written in one go; what goes over the connection is the same either way.
    """

    def __init__(self, status: int, content_type: str, text: str):
        """Sets the answer; other headers may be added to it."""
        headers = multidict.CIMultiDict(
            {hdrs.CONTENT_TYPE: f"{content_type}; charset=utf-8"}
        )
        # `web.Response` would look through its arguments, which are known.
        web.StreamResponse.__init__(self, status=status, _real_headers=headers)
        self._body = text.encode()

    async def prepare(
        self, request: web.BaseRequest
    ) -> abc.AbstractStreamWriter | None:
        """Writes the whole answer, or its head where more is to be decided."""
        body = self._body
        if (
            self.prepared
            or self._keep_alive is not None
            or not request.keep_alive
            or request.version != http.HttpVersion11
            or request.method == hdrs.METH_HEAD
            or not isinstance(body, bytes)
        ):
            return await super().prepare(request)
        self._keep_alive = True
        headers = self._headers
        headers[hdrs.CONTENT_LENGTH] = str(len(body))
        headers[hdrs.DATE] = helpers.rfc822_formatted_time()
        headers[hdrs.SERVER] = http.SERVER_SOFTWARE
        writer = request.writer
        line = f"HTTP/1.1 {self._status} {self._reason}"
        await writer.write_headers(line, headers)
        await writer.write_eof(body)
        self._eof_sent = True
        return writer


def _complete(headers: multidict.CIMultiDict[str], body: bytes) -> None:
    """Adds what the headers of an answer lack, as `web.Response` would."""
    length = str(len(body))
    if headers.get(hdrs.CONTENT_LENGTH) != length:
        headers[hdrs.CONTENT_LENGTH] = length
    if body and hdrs.CONTENT_TYPE not in headers:
        headers[hdrs.CONTENT_TYPE] = _UNKNOWN_TYPE
    if hdrs.DATE not in headers:
        headers[hdrs.DATE] = helpers.rfc822_formatted_time()
