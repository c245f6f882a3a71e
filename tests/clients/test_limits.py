"""Tests of the limits that the configuration states, by single requests."""

from __future__ import annotations

import asyncio
import itertools
import time
import unittest

from tests.clients import plays
from tests.clients import stage as stages

_TIMEOUT_S = 30.0
_MAX_BODY_BYTES = 64 * 1024 * 1024
_PIECE = b"x" * 65_536
_HEADER_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 2.0


class Client:
    """A connection to a daemon."""

    _numbers = itertools.count(1)

    async def open(self, host: str, port: int = 8629) -> Client:
        """Opens the connection."""
        self._reader, self._writer = await asyncio.open_connection(host, port)
        return self

    def close(self) -> None:
        """Closes the connection."""
        self._writer.transport.abort()

    async def send_head(
        self, method: str, path: str, *fields: str, timeout_ms: int = 25_000
    ) -> str:
        """Sends a head; returns the id of the attempt."""
        attempt_id = f"s{next(self._numbers)}"
        lines = (
            f"{method} {path} HTTP/1.1",
            "Host: desk.example",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Deadline-Ms: {timeout_ms}",
            *fields,
        )
        await self.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        return attempt_id

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def send_body(self, size: int, chunked: bool) -> None:
        """Sends a body; ends early if the daemon closes the connection."""
        try:
            while size:
                piece = _PIECE[:size]
                size -= len(piece)
                if chunked:
                    piece = b"%x\r\n%s\r\n" % (len(piece), piece)
                await self.send(piece)
            if chunked:
                await self.send(b"0\r\n\r\n")
        except ConnectionError:
            pass

    async def read_status(self) -> int:
        """Returns the status of the next answer; 0: the connection ended."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                head = await self._reader.readuntil(b"\r\n\r\n")
                _, _, rest = head.lower().partition(b"content-length:")
                length = int(rest.partition(b"\r\n")[0] or 0)
                await self._reader.readexactly(length)
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0
        return int(head[9:12])


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stage = stages.Stage()
        self.addAsyncCleanup(self.stage.aclose)
        await self.stage.start()
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": _MAX_BODY_BYTES,
            "headerTimeoutMs": _HEADER_TIMEOUT_S * 1000,
            "idleTimeoutMs": _IDLE_TIMEOUT_S * 1000,
        }
        await self.stage.configure(6, timeout_ms=25_000, limits=limits)
        self.daemon = self.stage.fleet.daemons[0]

    async def open(self) -> Client:
        """Returns a connection that is closed after the test."""
        client = await Client().open(self.daemon.address)
        self.addCleanup(client.close)
        return client

    def has_run(self, attempt_id: str) -> bool:
        """Returns whether a backend server ran an attempt."""
        return any(
            attempt_id in daemon.backend.executed_attempts
            for daemon in self.stage.fleet.daemons
        )

    async def send_body(
        self, path: str, size: int, chunked: bool
    ) -> tuple[int, str]:
        """Sends a request with a body; returns its status and its id."""
        client = await self.open()
        framing = (
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {size}"
        )
        attempt_id = await client.send_head("POST", path, framing)
        await client.send_body(size, chunked)
        return await client.read_status(), attempt_id

    async def test_body_as_large_as_the_limit_is_served(self) -> None:
        """Guards against proper uploads that are refused."""
        for path in (plays.ROUTE, plays.UNREPEATABLE, plays.NEIGHBOUR):
            with self.subTest(path):
                status, _ = await self.send_body(path, _MAX_BODY_BYTES, False)
                self.assertEqual(status, 200)

    async def test_larger_body_is_not_run(self) -> None:
        """Guards against bodies of any size that are passed on."""
        for path in (plays.ROUTE, plays.UNREPEATABLE, plays.NEIGHBOUR):
            with self.subTest(path):
                status, attempt_id = await self.send_body(
                    path, _MAX_BODY_BYTES + 1, False
                )
                self.assertIn(status, (413, 0))
                self.assertFalse(self.has_run(attempt_id))

    async def test_larger_body_in_chunks_is_not_served(self) -> None:
        """Guards against chunks without end."""
        for path in (plays.ROUTE, plays.UNREPEATABLE, plays.NEIGHBOUR):
            with self.subTest(path):
                status, _ = await self.send_body(
                    path, _MAX_BODY_BYTES + 1, True
                )
                self.assertIn(status, (413, 0))

    async def test_many_short_fields_within_the_limit(self) -> None:
        """Guards against proper requests refused for their number of fields."""
        fields = [f"{number:x}: y" for number in range(1000)]
        for path in (plays.ROUTE, plays.UNREPEATABLE, plays.NEIGHBOUR):
            with self.subTest(path):
                client = await self.open()
                await client.send_head("POST", path, *fields)
                self.assertEqual(await client.read_status(), 200)

    async def test_long_field_within_the_limit(self) -> None:
        """Guards against proper requests refused for a long field."""
        client = await self.open()
        await client.send_head("GET", plays.ROUTE, "a: " + "x" * 16_000)
        self.assertEqual(await client.read_status(), 200)

    async def test_headers_beyond_the_limit_are_refused(self) -> None:
        """Guards against headers of any size that arrive in pieces."""
        client = await self.open()
        await client.send(b"GET / HTTP/1.1\r\nHost: desk.example\r\n")
        with self.assertRaises(ConnectionError):
            for number in range(20):
                await client.send(b"a%d: %s\r\n" % (number, b"x" * 8000))
                await asyncio.sleep(0.05)

    async def test_each_head_has_a_time_limit(self) -> None:
        """Guards against connections that send the second head for ever."""
        client = await self.open()
        await client.send_head("GET", plays.ROUTE)
        self.assertEqual(await client.read_status(), 200)
        began_at = time.monotonic()
        await client.send(b"GET /tickets/1 HTTP/1.1\r\nHost: desk.exa")
        self.assertIn(await client.read_status(), (408, 0))
        self.assertGreaterEqual(
            time.monotonic() - began_at, _HEADER_TIMEOUT_S - 0.1
        )

    async def test_idle_connections_end(self) -> None:
        """Guards against idle connections kept for ever, or closed too soon."""
        for sends_body in (False, True):
            with self.subTest(sends_body=sends_body):
                client = await self.open()
                for pause_s in (0.0, _IDLE_TIMEOUT_S * 0.8):
                    await asyncio.sleep(pause_s)
                    if sends_body:
                        await client.send_head(
                            "POST", plays.ROUTE, "Content-Length: 1"
                        )
                        await client.send(b"x")
                    else:
                        await client.send_head("GET", plays.ROUTE)
                    self.assertEqual(await client.read_status(), 200)
                self.assertEqual(await client.read_status(), 0)
