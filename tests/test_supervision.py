"""Tests for `merlintrestle.supervision`."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import mode

from merlintrestle import supervision


class _Service(mode.Service):
    """A service whose task fails some times and then runs.

    Attributes:
        errors: Exceptions of the next calls.
        calls: Number of calls of the task.
    """

    def __init__(self, *errors: BaseException):
        super().__init__()
        self.errors = list(errors)
        self.calls = 0

    @mode.Service.task
    @supervision.restart_on_failure
    async def _work(self) -> None:
        self.calls += 1
        if self.errors:
            raise self.errors.pop(0)
        await asyncio.Event().wait()


class RestartTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.enterContext(
            mock.patch.object(supervision, "_FIRST_DELAY_S", 0.001)
        )

    async def start(self, *errors: BaseException) -> _Service:
        """Starts a service whose task fails; stopped after the test."""
        service = _Service(*errors)
        await service.start()
        self.addAsyncCleanup(service.stop)
        await asyncio.sleep(0.2)
        return service

    async def test_a_task_that_fails_is_started_again(self) -> None:
        """Guards against an odd value that ends the process, every time."""
        with self.assertLogs("merlintrestle.application", "ERROR") as logs:
            service = await self.start(ValueError("odd"), RecursionError())
        self.assertEqual(service.calls, 3)
        self.assertFalse(service.crashed)
        self.assertEqual(len(logs.output), 2)

    async def test_a_stop_ends_a_task_that_fails(self) -> None:
        """Guards against a stop that waits for a task without end."""
        with self.assertLogs("merlintrestle.application", "ERROR"):
            service = await self.start(*[ValueError()] * 1000)
        async with asyncio.timeout(10):
            await service.stop()

    async def test_a_lack_of_memory_ends_the_process(self) -> None:
        """Guards against a process that only seems to work."""
        service = await self.start(MemoryError())
        self.assertTrue(service.crashed)
        self.assertEqual(service.calls, 1)


if __name__ == "__main__":
    unittest.main()
