"""Tests for notices of backend servers in their answers, on the platform."""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.platform import fleets

# Share by which a backend server may get more than its limit allows, and the
# number of requests that it may get in addition, in any span of time.
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_LOAD_S = 2.0


class RateLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)

    async def test_limited_server_gets_no_more_than_it_names(self) -> None:
        """Guards against a named rate limit that the daemons don't keep."""
        await self.fleet.start("balie", "balie", "kassa")
        limited = self.fleet.backends[0]
        limited.rate_limit = "8.5"
        await self._send_load(0.2)
        began_at = time.monotonic()
        statuses = await self._send_load(_LOAD_S)
        allowed = _LIMIT_FACTOR * 8.5 * (time.monotonic() - began_at)
        arrived = sum(at_s >= began_at for at_s, _ in limited.arrivals)
        self.assertLessEqual(arrived, allowed + _LIMIT_SLACK)
        self.assertGreater(arrived, 0)
        self.assertEqual(set(statuses), {200})

    async def _send_load(self, duration_s: float) -> list[int]:
        """Sends requests through all daemons; returns the statuses."""
        end = time.monotonic() + duration_s
        statuses: list[int] = []
        while time.monotonic() < end:
            responses = await asyncio.gather(
                *(self.fleet.send(index) for index in range(3))
            )
            statuses += [status for status, _, _ in responses]
        return statuses


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)

    async def test_server_that_says_it_leaves_gets_no_further_requests(
        self,
    ) -> None:
        """Guards against requests to a server that left by its answers alone.

        Its heartbeats go on to report that it is ready.
        """
        await self.fleet.start("balie", "balie")
        leaving = self.fleet.backends[0]
        leaving.leaving = True
        status, headers, _ = await self.fleet.send(0)
        self.assertEqual((status, headers["Server-Leaving"]), (200, "1"))
        await leaving.send_heartbeat(self.fleet.daemons[0].heartbeat_address)
        for index in (0, 1) * 10:
            status, _, _ = await self.fleet.send(index)
            self.assertEqual(status, 200)
        self.assertEqual(len(leaving.arrivals), 1)
