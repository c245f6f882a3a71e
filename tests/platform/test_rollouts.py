"""Tests for roll-outs on the platform, with real daemons."""

from __future__ import annotations

import asyncio
import collections
import json
import unittest

from aiohttp import web

from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import fleets

_ORDER_KEY = "op/rollout/balie"
_STATE_KEY = "status/rollout/balie"
_CONCURRENT_REQUESTS = 6


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        self.statuses: collections.Counter[int] = collections.Counter()

    async def start(self, duration_s: float = 6) -> None:
        """Starts a fleet, orders a roll-out and adds servers with version v2.

        Args:
            duration_s: Time within which the roll-out must end, in seconds.
        """
        await self.fleet.start("kassa", "balie", "balie")
        order = {
            "service": "balie",
            "targetVersion": "v2",
            "durationS": duration_s,
        }
        await self.fleet.store.write(_ORDER_KEY, json.dumps(order).encode())
        for _ in range(2):
            await self.fleet.add_daemon("balie", version="v2")
        await self.fleet.wait_until_discovered(("balie",) * 4)

    def count_requests(self, version: str) -> int:
        """Returns the number of requests sent to the servers of a version."""
        return sum(
            len(backend.received_headers)
            for backend in self.fleet.backends
            if backend.version == version
        )

    async def send_until(self, states: str) -> str:
        """Sends requests until the roll-out has one of some states.

        Args:
            states: The states, separated by spaces.

        Returns:
            The state that the roll-out has.
        """
        async with asyncio.timeout(3 * fleets.TEST_TIMEOUT_S):
            state = ""
            while state not in states.split():
                requests = [
                    self.fleet.send() for _ in range(_CONCURRENT_REQUESTS)
                ]
                for status, _, _ in await asyncio.gather(*requests):
                    self.statuses[status] += 1
                state = await self.read_state()
        return state

    async def read_state(self) -> str:
        """Returns the state in the store; empty if there is none."""
        client = stores.PlatformStore(self.fleet.store.address)
        await client.start()
        entry = await client.get(_STATE_KEY)
        await client.close()
        if entry is None:
            return ""
        fields = json.loads(entry.value)
        self.assertEqual(fields["targetVersion"], "v2")
        return fields["state"]

    async def test_a_good_version_is_completed(self):
        """Guards against a good version that never replaces the old one.

        The servers of the new version answer all calls as the old ones do. In
        the end they must get all calls, none of which may have failed.
        """
        await self.start(duration_s=20)
        final_states = "complete rolled_back"
        self.assertEqual(await self.send_until(states=final_states), "complete")
        self.assertEqual(set(self.statuses), {200})
        count_before = self.count_requests("v1")
        await asyncio.gather(*[self.fleet.send() for _ in range(20)])
        self.assertEqual(self.count_requests("v1"), count_before)

    async def test_a_bad_version_is_rolled_back(self):
        """Guards against a bad version that continues to get calls.

        The servers of the new version answer most calls with status 500. They
        must get few calls, and none after the roll-out has ended.
        """
        await self.start()
        for backend in self.fleet.backends:
            if backend.version == "v2":
                backend.handler = _fail
        final_states = "complete rolled_back"
        self.assertEqual(
            await self.send_until(states=final_states), "rolled_back"
        )
        count_before = self.count_requests("v2")
        self.assertLess(count_before, 40)
        await asyncio.gather(*[self.fleet.send() for _ in range(50)])
        self.assertEqual(self.count_requests("v2"), count_before)

    async def test_a_version_without_calls_is_rolled_back(self):
        """Guards against a roll-out that never ends for lack of calls.

        No caller sends a call, so the time of the order elapses.
        """
        await self.start(duration_s=2)
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while await self.read_state() != "rolled_back":
                await asyncio.sleep(0.1)

    async def test_an_ended_roll_out_does_not_restart(self):
        """Guards against a new trial of a bad version after a fleet restart.

        The order is still in the store, together with its final state. The
        daemons that start know of it only from there.
        """
        await self.fleet.store.start()
        self.fleet.push_async_callback(self.fleet.store.close)
        order = b'{"service":"balie","targetVersion":"v2","durationS":60}'
        await self.fleet.store.write(_ORDER_KEY, order)
        await self.fleet.store.write(
            _STATE_KEY, b'{"state":"rolled_back","targetVersion":"v2"}'
        )
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(5)
        )
        await self.fleet.start_daemons("kassa", "balie")
        await self.fleet.add_daemon("balie", version="v2")
        await self.fleet.wait_until_discovered(("balie",) * 2)
        for _ in range(60):
            await self.fleet.send()
        self.assertEqual(self.count_requests("v2"), 0)


async def _fail(request: web.Request) -> web.StreamResponse:
    """Answers two of three requests with status 500."""
    attempt_number = int(request.headers["X-Attempt-Id"].removeprefix("a"))
    status = 500 if attempt_number % 3 else 200
    return web.Response(
        status=status,
        body=b"whole",
        headers={
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": "sig",
        },
    )
