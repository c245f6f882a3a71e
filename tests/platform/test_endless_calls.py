"""Calls that the daemon makes by itself, answered by bytes without end."""

from __future__ import annotations

import asyncio
import itertools
import os
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

import uvloop

from merlintrestle import errors
from merlintrestle import settings_reader
from merlintrestle.platform import health
from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import fleets
from tests.requests import broken_servers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
# Bytes that may be in buffers when the daemon closes the connection.
_MAX_BUFFERED_BYTES = 16 * 1024 * 1024
_FLOODS = {
    **broken_servers.ENDLESS_HEADS,
    "chunks": broken_servers.Flood(broken_servers.CHUNKED, b"1\r\n \r\n"),
    "body": broken_servers.Flood(broken_servers.HEAD + b"\r\n", b" " * 1024),
    "stated body": broken_servers.Flood(
        broken_servers.HEAD + b"Content-Length: 999999999999\r\n\r\n",
        b" " * 1024,
    ),
    "stated digits": broken_servers.Flood(
        broken_servers.HEAD + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
        b" " * 1024,
    ),
    "compressed body": broken_servers.Flood(
        broken_servers.HEAD + b"Content-Encoding: deflate\r\n\r\n\x78\x9c",
        b"\x00" * 1024,
    ),
}


class EndlessCallTest(unittest.TestCase):
    def setUp(self) -> None:
        # As in a daemon.
        variables = {"UV_USE_IO_URING": "0"}
        self.enterContext(mock.patch.dict(os.environ, variables))

    def check_all(
        self, call: Callable[[settings_reader.Address], Awaitable[Any]]
    ) -> None:
        """Checks that a call ends and takes no more than some bytes."""
        for name, new_loop in itertools.product(_FLOODS, _LOOPS):
            with (
                self.subTest(name, new_loop=new_loop),
                asyncio.Runner(loop_factory=new_loop) as runner,
            ):
                runner.run(self.check(call, _FLOODS[name]))

    async def check(
        self,
        call: Callable[[settings_reader.Address], Awaitable[Any]],
        flood: broken_servers.Flood,
    ) -> None:
        """Checks one flood."""
        async with broken_servers.FloodServer(flood).run() as server:
            host, _, port = server.address.rpartition(":")
            async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
                await call(settings_reader.Address(host, int(port)))
        self.assertTrue(server.sent)
        self.assertFalse(server.blocked)
        self.assertLess(max(server.sent), _MAX_BUFFERED_BYTES)

    def test_a_status_check_ends(self) -> None:
        """Guards against a daemon that its backend server fills."""

        async def check_status(address: settings_reader.Address) -> None:
            settings = builders.build_settings(backend=address)
            self.assertIsNone(await health.check_backend(settings))

        self.check_all(check_status)

    def test_a_call_to_the_store_ends(self) -> None:
        """Guards against a store that fills the daemon in a read."""

        async def read(address: settings_reader.Address) -> None:
            store = stores.PlatformStore(str(address))
            await store.start()
            try:
                with self.assertRaises(errors.StoreError):
                    await store.read_newest("seeds/a")
            finally:
                await store.close()

        self.check_all(read)


if __name__ == "__main__":
    unittest.main()
