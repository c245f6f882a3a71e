"""Tests of request bodies, buffered or streamed."""

from __future__ import annotations

import asyncio
import types
from typing import Any
import unittest

import aiohttp
from aiohttp import base_protocol
from aiohttp import web

from merlintrestle.requests.transport import bodies

_LARGE = b"x" * (bodies.MAX_BUFFERED_BYTES + 1)


class ReadBodyTest(unittest.IsolatedAsyncioTestCase):
    """Bodies are buffered or streamed, depending on their length."""

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.deadline = loop.time() + 60
        protocol = base_protocol.BaseProtocol(loop)
        self.content = aiohttp.StreamReader(protocol, 2**20, loop=loop)

    async def read(self, length: int | None) -> bodies.Body:
        """Reads the body of a request with or without a Content-Length."""
        request: Any = types.SimpleNamespace(
            can_read_body=True,
            content_length=length,
            content=self.content,
            headers={},
        )
        return await bodies.read_body(request, self.deadline)

    async def collect(self, body: bodies.Body) -> bytes:
        """Returns all bytes that are forwarded."""
        payload = body.make_payload()
        assert payload is not None
        if isinstance(payload, bytes):
            return payload
        return b"".join([chunk async for chunk in payload])

    async def test_small_body_is_buffered(self) -> None:
        for length in (5, None):
            await self.asyncSetUp()
            self.content.feed_data(b"whole")
            self.content.feed_eof()
            body = await self.read(length)
            self.assertEqual(body.buffered, b"whole")
            self.assertTrue(body.replayable)

    async def test_unrepeatable_call_with_incomplete_body_is_not_started(
        self,
    ) -> None:
        """The call is refused as not run, although its length is unknown.

        If the body were streamed, the call would have started when the body was
        truncated, and its outcome would be "unknown" forever.
        """
        self.content.feed_data(b"half")
        self.content.set_exception(web.RequestPayloadError("broken"))
        with self.assertRaisesRegex(bodies.BodyError, "half-way"):
            await self.read(None)

    async def test_large_body_is_streamed_from_its_start(self) -> None:
        for length in (len(_LARGE) + 3, None):
            await self.asyncSetUp()
            self.content.feed_data(_LARGE)
            body = await self.read(length)
            self.assertIsNone(body.buffered)
            self.content.feed_data(b"end")
            self.content.feed_eof()
            collected = await self.collect(body)
            # assertEqual would print a huge difference.
            self.assertTrue(collected == _LARGE + b"end")
            self.assertFalse(body.replayable)
