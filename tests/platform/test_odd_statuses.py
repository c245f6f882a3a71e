"""Daemons whose backend server answers the status check with odd headers."""

from __future__ import annotations

import unittest

from aiohttp import web

from merlintrestle import settings_reader
from merlintrestle.platform import health
from tests.platform import builders

_LOADS = (
    "0,0," + "9" * 5000,
    "0,0,1" + "0" * 30,
    f"0,0,{2**33}",
    "0,0,-1",
    "0,0,",
    "0,0,\u0661",
    "0,0,1_0",
    "0,0,0",
    "",
)


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.headers: dict[str, str] = {}
        server = web.Server(self.answer)
        runner = web.ServerRunner(server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        _, port = runner.addresses[0]
        self.settings = builders.build_settings(
            backend=settings_reader.Address("127.0.0.1", port)
        )

    async def answer(self, _: web.BaseRequest) -> web.Response:
        """Answers the status check with the headers of the test."""
        return web.Response(headers=self.headers)

    async def test_odd_loads_are_not_used(self) -> None:
        """Guards against slots that do not fit the field that takes them."""
        for load in _LOADS:
            self.headers = {"X-Served-By": "i-1", "X-Server-Load": load}
            with self.subTest(load=load[:20]):
                self.assertIsNone(await health.check_backend(self.settings))

    async def test_odd_ids_are_not_used(self) -> None:
        """Guards against an id that fits into no header and no record."""
        for instance_id in ("", "x" * 5000, "a b", "\u00fc"):
            self.headers = {
                "X-Served-By": instance_id,
                "X-Server-Load": "0,0,5",
            }
            with self.subTest(instance_id=instance_id[:20]):
                self.assertIsNone(await health.check_backend(self.settings))

    async def test_a_sound_status_is_used(self) -> None:
        """Guards against sound backend servers that are refused."""
        for load in ("3,0,8", "3, 0, 8", "3,0,8,100"):
            self.headers = {"X-Served-By": "i-1", "X-Server-Load": load}
            status = await health.check_backend(self.settings)
            assert status is not None
            self.assertEqual(status.slots, 8)


if __name__ == "__main__":
    unittest.main()
