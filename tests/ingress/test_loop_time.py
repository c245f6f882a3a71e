"""Tests of the event loop time that connections share."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.ingress import loop_time


class LoopTimeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 0.0
        self.loop_time = loop_time.LoopTime(
            asyncio.get_running_loop(), lambda: self.now
        )
        self.done: list[str] = []

    def fill(self) -> None:
        """Uses up the time of this iteration."""
        while self.loop_time.try_start(loop_time.Share(), 1000.0):
            pass

    def queue(self, share: loop_time.Share, cost: float, name: str) -> None:
        """Queues work that notes its name."""

        def run() -> bool:
            self.done.append(name)
            return True

        self.loop_time.queue(share, cost, run)

    async def wait_until_done(self, count: int) -> None:
        """Waits until so much work was done."""
        async with asyncio.timeout(10):
            while len(self.done) < count:
                await asyncio.sleep(0)

    async def test_work_starts_at_once_in_calm(self) -> None:
        """Guards against calls that wait although there is time."""
        self.assertTrue(self.loop_time.try_start(loop_time.Share(), 300.0))
        self.assertFalse(self.loop_time.is_contended)
        self.assertEqual(self.loop_time.waited, 0)

    async def test_one_request_goes_before_those_of_a_flood(self) -> None:
        """Guards against callers who wait behind all requests of another."""
        self.fill()
        flood = loop_time.Share()
        for number in range(200):
            self.queue(flood, 1000.0, f"flood {number}")
        self.queue(loop_time.Share(), 300.0, "caller")
        await self.wait_until_done(201)
        self.assertEqual(self.done[0], "caller")

    async def test_each_of_many_connections_gets_its_share(self) -> None:
        """Guards against work that is never done."""
        self.fill()
        shares = [loop_time.Share() for _ in range(5)]
        for round_number in range(3):
            for number, share in enumerate(shares):
                self.queue(share, 1000.0, f"{round_number}-{number}")
        await self.wait_until_done(15)
        rounds = [name[0] for name in self.done]
        self.assertEqual(rounds, sorted(rounds))

    async def test_use_in_calm_is_not_held_against_a_connection(self) -> None:
        """Guards against kept connections that wait behind new ones."""
        kept = loop_time.Share()
        for _ in range(50):
            self.loop_time.try_start(kept, 1000.0)
            self.now += 1.0
        self.fill()
        self.queue(kept, 300.0, "kept")
        self.queue(loop_time.Share(), 301.0, "new")
        await self.wait_until_done(2)
        self.assertEqual(self.done, ["kept", "new"])

    async def test_cancelled_wait_is_passed_over(self) -> None:
        """Guards against time that is given to callers who have left."""
        self.fill()
        waiting = asyncio.create_task(
            self.loop_time.wait(loop_time.Share(), 300.0)
        )
        await asyncio.sleep(0)
        waiting.cancel()
        self.queue(loop_time.Share(), 400.0, "next")
        await self.wait_until_done(1)
        self.assertTrue(waiting.cancelled())
        self.assertEqual(self.loop_time.waiting, 0)
