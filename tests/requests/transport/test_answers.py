"""Tests of responses that the daemon generates itself."""

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
    "keep-alive": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "HEAD": "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
    "body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
    "HTTP/1.0 keep-alive": (
        "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
    ),
}
_CLOSING = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_LAST_REQUESTS = {
    "close": _CLOSING,
    "HTTP/1.0": "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
}


def _build_short(status: int) -> web.Response:
    return answers.ShortAnswer(status, "text/plain", _TEXT)


def _build_standard(status: int) -> web.Response:
    return web.Response(status=status, text=_TEXT)


class ShortAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers have the same bytes as those of `web.Response`.

    Refusals are written by separate code. A difference, such as a length or the
    end of a connection, would break the sender's next request on it.
    """

    async def asyncSetUp(self) -> None:
        self.build = _build_standard
        self.status = 503
        self.draining = False
        self.server = server.Server(self._answer)
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        response = self.build(self.status)
        response.headers["Retry-After"] = "0.050"
        if self.draining:
            response.force_close()
        return response

    async def fetch(self, requests: str) -> bytes:
        """Sends requests, the last of which closes; returns all answers."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        writer.write(requests.encode())
        async with asyncio.timeout(10):
            received = await reader.read()
        writer.close()
        return _DATE.sub(b"Date: -", received)

    async def compare(self) -> None:
        """Compares the answers to each kind of request."""
        requests = {
            name: request * 2 + _CLOSING for name, request in _REQUESTS.items()
        }
        for name, request in (requests | _LAST_REQUESTS).items():
            with self.subTest(name):
                self.build = _build_standard
                expected = await self.fetch(request)
                self.build = _build_short
                self.assertEqual(await self.fetch(request), expected)
                self.assertIn(b"Retry-After: 0.050", expected)

    async def test_refusals(self) -> None:
        await self.compare()

    async def test_refusals_of_a_draining_daemon(self) -> None:
        self.draining = True
        await self.compare()

    async def test_answers_of_other_statuses(self) -> None:
        self.status = 404
        await self.compare()


if __name__ == "__main__":
    unittest.main()
