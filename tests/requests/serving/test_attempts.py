"""Tests of the concurrent attempts of one call."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

from merlintrestle.requests.calls import doubts
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.serving import attempts as attempts_
from merlintrestle.requests.transport import bodies
from tests.requests import builders

_REFUSED = outcomes.NotRun("refused")


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    """A call with two attempts, the outcomes of which are set by the tests."""

    def setUp(self) -> None:
        self.attempts = attempts_.Attempts()
        self.first = attempts_.Attempt(builders.build_upstream(1))
        self.second = attempts_.Attempt(builders.build_upstream(2))
        self.release_count = 0
        self.first_result: asyncio.Future[outcomes.Outcome]
        self.second_result: asyncio.Future[outcomes.Outcome]

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.first_result = loop.create_future()
        self.second_result = loop.create_future()

    def build_answer(self) -> outcomes.Answered:
        """Builds an answer that counts its releases."""

        def release() -> None:
            self.release_count += 1

        no_response: Any = None
        return outcomes.Answered(no_response, b"", [release])

    def run_attempts(self) -> asyncio.Task[outcomes.Outcome]:
        """Starts a call; a doubt about its first attempt starts the second."""
        return asyncio.create_task(
            self.attempts.run(
                self.first, _wait_for_result(self.first_result), self.supervise
            )
        )

    async def supervise(self) -> outcomes.Outcome:
        """Returns the first outcome; starts the second attempt on a doubt."""
        while True:
            event = await self.attempts.wait_for_event()
            if isinstance(event, attempts_.AttemptEnded):
                return event.outcome
            self.attempts.start(
                self.second, _wait_for_result(self.second_result)
            )

    async def report_doubt(self) -> None:
        """Reports a doubt about the first attempt; waits for the second."""
        await asyncio.sleep(0)
        self.attempts.report_doubt(self.first, doubts.Doubt.LATE)
        while self.attempts.count < 2:
            await asyncio.sleep(0)

    async def test_call_with_one_attempt_creates_no_task(self) -> None:
        """Guards against the cost of a separate task for each first attempt."""
        task_count = 0
        loop = asyncio.get_running_loop()

        def create_counted_task(
            loop: Any, coroutine: Any, **options: Any
        ) -> Any:
            nonlocal task_count
            task_count += 1
            return asyncio.Task(coroutine, loop=loop, **options)

        loop.set_task_factory(create_counted_task)
        self.addCleanup(loop.set_task_factory, None)
        call = self.run_attempts()
        loop.call_soon(self.first_result.set_result, _REFUSED)
        self.assertIs(await call, _REFUSED)
        self.assertEqual(task_count, 1)

    async def test_second_answer_cancels_the_first_attempt(self) -> None:
        """Guards against calls that wait for a silent first upstream.

        The first attempt is cancelled, which closes its connection. It runs in
        the task of the call, which must not count as cancelled afterwards.
        """
        call = self.run_attempts()
        await self.report_doubt()
        answer = self.build_answer()
        self.second_result.set_result(answer)
        self.assertIs(await call, answer)
        self.assertTrue(self.first_result.cancelled())
        self.assertEqual(call.cancelling(), 0)

    async def test_first_answer_wins_over_a_running_second_attempt(
        self,
    ) -> None:
        """Guards against an answer that is ignored after a hedge was started.

        The hedge must be cancelled, as its work is not needed any more.
        """
        call = self.run_attempts()
        await self.report_doubt()
        answer = self.build_answer()
        self.first_result.set_result(answer)
        self.assertIs(await call, answer)
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertTrue(self.second_result.cancelled())

    async def test_disconnect_while_both_attempts_run(self) -> None:
        """Guards against attempts that occupy slots without a caller."""
        call = self.run_attempts()
        await self.report_doubt()
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertTrue(self.first_result.cancelled())
        self.assertTrue(self.second_result.cancelled())

    async def test_disconnect_as_the_second_answer_arrives(self) -> None:
        """Guards against an answer that is never released, or released twice.

        If it were not released, its slot of the backend server would stay
        occupied.
        """
        call = self.run_attempts()
        await self.report_doubt()
        self.second_result.set_result(self.build_answer())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait((call,))
        if not call.cancelled():
            # If the answer is returned, its receiver releases it.
            call.result()
            self.release_count += 1
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertEqual(self.release_count, 1)

    async def test_incomplete_request_body_ends_the_call(self) -> None:
        """Guards against calls that continue after their body has failed."""
        call = self.run_attempts()
        await self.report_doubt()
        self.first_result.set_exception(bodies.BodyError("stopped"))
        with self.assertRaises(bodies.BodyError):
            await call
        self.attempts.close()


async def _wait_for_result(
    result: asyncio.Future[outcomes.Outcome],
) -> outcomes.Outcome:
    return await result
