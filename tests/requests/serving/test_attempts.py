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
    """Two attempts whose outcomes the test sets."""

    def setUp(self) -> None:
        self.attempts = attempts_.Attempts()
        self.first = attempts_.Attempt(builders.build_upstream(1))
        self.second = attempts_.Attempt(builders.build_upstream(2))
        self.release_count = 0
        self.first_outcome: asyncio.Future[outcomes.Outcome]
        self.second_outcome: asyncio.Future[outcomes.Outcome]

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.first_outcome = loop.create_future()
        self.second_outcome = loop.create_future()

    def build_answer(self) -> outcomes.Answered:
        """Builds an answer that counts its releases."""

        def release() -> None:
            self.release_count += 1

        nothing: Any = None
        return outcomes.Answered(nothing, b"", [release])

    def run_attempts(self) -> asyncio.Task[outcomes.Outcome]:
        """Starts a call; a doubt about its first attempt starts the second."""
        return asyncio.create_task(
            self.attempts.run(
                self.first, _wait(self.first_outcome), self.supervise
            )
        )

    async def supervise(self) -> outcomes.Outcome:
        """Returns the first outcome; starts the second attempt on a doubt."""
        while True:
            event = await self.attempts.wait_for_event()
            if isinstance(event, attempts_.AttemptEnded):
                return event.outcome
            self.attempts.start(self.second, _wait(self.second_outcome))

    async def report_doubt(self) -> None:
        """Reports a doubt about the first attempt; waits for the second."""
        await asyncio.sleep(0)
        self.attempts.report_doubt(self.first, doubts.Doubt.LATE)
        while self.attempts.count < 2:
            await asyncio.sleep(0)

    async def test_call_with_one_attempt_makes_no_task(self) -> None:
        """A call to a healthy upstream costs no task besides its own."""
        task_count = 0
        loop = asyncio.get_running_loop()

        def count(loop: Any, coroutine: Any, **options: Any) -> Any:
            nonlocal task_count
            task_count += 1
            return asyncio.Task(coroutine, loop=loop, **options)

        loop.set_task_factory(count)
        self.addCleanup(loop.set_task_factory, None)
        call = self.run_attempts()
        loop.call_soon(self.first_outcome.set_result, _REFUSED)
        self.assertIs(await call, _REFUSED)
        self.assertEqual(task_count, 1)

    async def test_second_answer_cancels_the_first_attempt(self) -> None:
        """The caller gets the answer of the second upstream at once.

        The first upstream is silent. The wait for it is cancelled, which closes
        its connection, and the task of the call can still be cancelled.
        """
        call = self.run_attempts()
        await self.report_doubt()
        answer = self.build_answer()
        self.second_outcome.set_result(answer)
        self.assertIs(await call, answer)
        self.assertTrue(self.first_outcome.cancelled())
        self.assertEqual(call.cancelling(), 0)

    async def test_first_answer_wins_over_a_running_second_attempt(
        self,
    ) -> None:
        call = self.run_attempts()
        await self.report_doubt()
        answer = self.build_answer()
        self.first_outcome.set_result(answer)
        self.assertIs(await call, answer)
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertTrue(self.second_outcome.cancelled())

    async def test_caller_leaves_while_both_attempts_run(self) -> None:
        """Both attempts are cancelled, as nobody waits for them any more."""
        call = self.run_attempts()
        await self.report_doubt()
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertTrue(self.first_outcome.cancelled())
        self.assertTrue(self.second_outcome.cancelled())

    async def test_caller_leaves_as_the_second_answer_comes(self) -> None:
        """The answer that nobody waits for is released exactly once.

        If it were not, its slot of the backend server would stay occupied.
        """
        call = self.run_attempts()
        await self.report_doubt()
        self.second_outcome.set_result(self.build_answer())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait((call,))
        if not call.cancelled():
            call.result()
            self.release_count += 1
        self.attempts.close()
        await asyncio.sleep(0)
        self.assertEqual(self.release_count, 1)

    async def test_body_that_stops_ends_the_call(self) -> None:
        """An incomplete request body ends the call, by either attempt."""
        call = self.run_attempts()
        await self.report_doubt()
        self.first_outcome.set_exception(bodies.BodyError("stopped"))
        with self.assertRaises(bodies.BodyError):
            await call
        self.attempts.close()


async def _wait(
    sent: asyncio.Future[outcomes.Outcome],
) -> outcomes.Outcome:
    return await sent
