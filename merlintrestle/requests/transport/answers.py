"""Answers whose headers are read, and how those held whole are written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp
    from aiohttp import abc
    import multidict


class Answer:
    """An answer whose headers are read.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Its headers.
        content: Its body, as it comes.
        close: Cuts what is still to come of it.
    """

    __slots__ = ("close", "content", "headers", "reason", "status")

    def __init__(
        self,
        message: http.RawResponseMessage,
        content: aiohttp.StreamReader,
        close: Callable[[], None],
    ):
        self.status = message.code
        self.reason = message.reason
        self.headers = message.headers
        self.content = content
        self.close = close

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
    if _is_complete(request, headers, body):
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


def _is_complete(
    request: web.BaseRequest,
    headers: multidict.CIMultiDict[str],
    body: bytes,
) -> bool:
    """Returns whether nothing has to be added to the headers or put right."""
    return (
        headers.get(hdrs.CONTENT_LENGTH) == str(len(body))
        and hdrs.CONTENT_TYPE in headers
        and hdrs.DATE in headers
        and request.version == http.HttpVersion11
        and bool(request.keep_alive)
    )
