"""Tests of calls that arrive at a daemon that has just started."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.requests.load import startup
from tests.requests import builders
from tests.requests import fakes


class StartupWaitTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that has started and knows no upstream yet."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.table = fakes.FakeMemberTable()
        self.startup_wait = startup.StartupWait(self.table, self.clock.get_time)

    def wait(self) -> asyncio.Task[bool]:
        """Starts to wait with a call that has a latency target of 0.4 s."""
        plan = builders.build_plan("lookup", latency_s=0.4)
        return asyncio.create_task(
            self.startup_wait.wait(builders.build_call(plan=plan))
        )

    async def test_call_waits_for_the_first_upstream(self) -> None:
        """The caller gets an answer instead of a refusal.

        After a restart of all daemons, this daemon has a version and opens its
        port, and discovers the backend servers a moment later. If it refused
        the calls, the retries of the callers would miss their latency target.
        """
        self.startup_wait.begin()
        waiting = self.wait()
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.table.upstreams["kassa"] = (builders.build_upstream(1),)
        self.assertTrue(await waiting)

    async def test_call_does_not_wait_until_its_latency_deadline(self) -> None:
        """A call is refused in time for a retry to meet its latency target."""
        self.startup_wait.begin()
        waiting = self.wait()
        await asyncio.sleep(0)
        self.clock.now += 0.2
        self.assertFalse(await waiting)
        self.assertLess(self.startup_wait.retry_after_s, 0.4)

    async def test_call_is_refused_at_once_after_the_startup(self) -> None:
        """A call does not wait for an upstream that does not exist.

        The startup period is over, so a service without known upstreams has
        none.
        """
        self.startup_wait.begin()
        self.clock.now += startup.STARTUP_S
        self.assertFalse(await self.wait())
        self.assertEqual(self.startup_wait.retry_after_s, 1.0)
