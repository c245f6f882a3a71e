"""Calls that come to a daemon which has just started."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.requests.load import startup
from tests.requests import builders
from tests.requests import fakes


class JoiningTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = fakes.Clock()
        self.table = fakes.Table()
        self.joining = startup.StartupWait(self.table, self.clock.get_time)

    def ask(self) -> asyncio.Task[bool]:
        """Has a call with a latency target of 0.4 s ask for an upstream."""
        plan = builders.build_plan("lookup", latency_s=0.4)
        return asyncio.create_task(
            self.joining.wait(builders.build_call(plan=plan))
        )

    async def test_a_call_waits_for_the_first_upstream(self) -> None:
        """The caller gets an answer instead of a refusal.

        All daemons were started anew. One has a version and opens its port,
        and hears of the backend servers a moment later. Refused, its callers
        would come back too late for their target.
        """
        self.joining.begin()
        waiting = self.ask()
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.table.upstreams["kassa"] = (builders.build_upstream(1),)
        self.assertTrue(await waiting)

    async def test_a_call_does_not_wait_out_its_target(self) -> None:
        self.joining.begin()
        waiting = self.ask()
        await asyncio.sleep(0)
        self.clock.now += 0.2
        self.assertFalse(await waiting)
        self.assertLess(self.joining.retry_after_s, 0.4)

    async def test_a_service_without_upstreams_is_refused_at_once(self) -> None:
        """A caller is not kept waiting for what will not come.

        The daemon has long joined; that no upstream is known means that none
        is there.
        """
        self.joining.begin()
        self.clock.now += startup.STARTUP_S
        self.assertFalse(await self.ask())
        self.assertEqual(self.joining.retry_after_s, 1.0)
