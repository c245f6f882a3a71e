"""Answers that the daemon makes itself, as they go over a connection."""

from __future__ import annotations

import asyncio
import re
import unittest

from aiohttp import web

from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import server

_TEXT = "no room für this\n"
_DATE = re.compile(rb"Date: [^\r]*")
_REQUESTS = {
    "reads on": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "wants the head": "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
    "sends a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
    "is old and reads on": (
        "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
    ),
}
_CLOSING = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_LAST_REQUESTS = {
    "closes": _CLOSING,
    "is old": "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
}


def _build_short(status: int) -> web.Response:
    return answers.ShortAnswer(status, "text/plain", _TEXT)


def _build_usual(status: int) -> web.Response:
    return web.Response(status=status, text=_TEXT)


class ShortTest(unittest.IsolatedAsyncioTestCase):
    """A sender sees the bytes that the library's own answer would have.

    Refusals are written by a way of their own. What differs from the usual
    way, such as a length or the end of a connection, would break the sender's
    next request on it.
    """

    async def asyncSetUp(self) -> None:
        self.build = _build_usual
        self.status = 503
        self.leaving = False
        self.server = server.Server(self._answer)
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        response = self.build(self.status)
        response.headers["Retry-After"] = "0.050"
        if self.leaving:
            response.force_close()
        return response

    async def fetch(self, request: str) -> bytes:
        """Sends what ends a connection; returns all that comes."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        writer.write(request.encode())
        async with asyncio.timeout(10):
            got = await reader.read()
        writer.close()
        return _DATE.sub(b"Date: -", got)

    async def compare(self) -> None:
        """Compares what comes of each kind of request."""
        requests = {
            name: request * 2 + _CLOSING for name, request in _REQUESTS.items()
        }
        for name, request in (requests | _LAST_REQUESTS).items():
            with self.subTest(name):
                self.build = _build_usual
                usual = await self.fetch(request)
                self.build = _build_short
                self.assertEqual(await self.fetch(request), usual)
                self.assertIn(b"Retry-After: 0.050", usual)

    async def test_refusals_are_the_same_in_bytes(self) -> None:
        await self.compare()

    async def test_refusals_of_a_daemon_that_leaves_are(self) -> None:
        self.leaving = True
        await self.compare()

    async def test_answers_of_other_statuses_are(self) -> None:
        self.status = 404
        await self.compare()


if __name__ == "__main__":
    unittest.main()
