"""Planned stops of daemons on the platform, with calls in flight."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from tests.platform import builders
from tests.platform import fleets


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()

    async def nest(self, request: web.Request) -> web.StreamResponse:
        """Waits, and then makes a call of its own, as the platform's do."""
        self.begun.set()
        await self.go_on.wait()
        sent = {
            "Host": "desk.example",
            "X-Attempt-Id": "n1",
            "X-Deadline-Ms": request.headers["X-Deadline-Ms"],
        }
        url = self.fleet.daemons[0].url + "/checks/1"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=sent) as answer,
        ):
            self.nested = answer.status
        status = 200 if self.nested == 200 else 500
        return web.Response(
            status=status, headers=self.fleet.backends[0].sign(request)
        )

    async def test_call_that_work_in_flight_makes_while_its_daemon_drains(
        self,
    ) -> None:
        """Guards against work in flight that fails by a stop of its daemon."""
        await self.fleet.start(
            "balie",
            "kassa",
            configuration=builders.build_configuration(
                5,
                builders.build_route("tickets", timeoutMs=5000),
                builders.build_route("checks", service="kassa"),
            ),
        )
        self.fleet.backends[0].handler = self.nest
        call = asyncio.create_task(self.fleet.send(1, deadline_ms=5000))
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            await self.begun.wait()
            stopping = asyncio.create_task(self.fleet.daemons[0].stop())
            while not self.fleet.daemons[0]._proxy._state.draining:
                await asyncio.sleep(0.01)
            self.go_on.set()
            status, _, _ = await call
            await stopping
        self.assertEqual((status, self.nested), (200, 200))
