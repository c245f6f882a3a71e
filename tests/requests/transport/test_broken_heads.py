"""Tests of answers whose server stops within their head."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from unittest import mock

from aiohttp import client_proto
from aiohttp import http_parser

from merlintrestle.requests.calls import dialect as dialects
from tests.requests import broken_servers

_PARSERS = {
    "compiled": client_proto.HttpResponseParser,
    "python": http_parser.HttpResponseParserPy,
}
_INTERIM = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
)
# Each is followed by the end of the connection.
_BROKEN = (
    b"",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
    b"HTTP/1.1 200 OK\r\nX-A: b\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 304 Not Modified\r\nETag: 1\r\n",
)
# With a whole head, the body is missing unless the method has none.
_BROKEN_BODIES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
)


class BrokenHeadTest(unittest.TestCase):
    """A server that closes the connection before its answer is whole."""

    def check(self, method: str, answers: tuple[bytes, ...]) -> None:
        """Checks that no call gets a success, with either parser."""
        for (name, parser), interim, answer in itertools.product(
            _PARSERS.items(), _INTERIM, answers
        ):
            with (
                self.subTest(answer, interim=interim, parser=name),
                mock.patch.object(client_proto, "HttpResponseParser", parser),
                # As on the platform, where an answer may end by its close.
                mock.patch.object(
                    dialects, "accepts_unframed_answers", lambda _: True
                ),
            ):
                call = broken_servers.call_once(interim + answer, method)
                self.assertIsNone(asyncio.run(call))

    def test_head_that_breaks_off_is_no_success(self) -> None:
        """Guards against an empty success of half a head."""
        for method in ("GET", "HEAD", "POST"):
            self.check(method, _BROKEN)

    def test_missing_body_is_no_success(self) -> None:
        """Guards against an empty success of a head alone."""
        self.check("GET", _BROKEN_BODIES)
