"""Tries of one call: the first in the task of the call, others beside it."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

from merlintrestle.requests.calls import doubts
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.serving import attempts as tries_
from merlintrestle.requests.transport import bodies
from tests.requests import builders

_REFUSED = outcomes.NotRun("refused")


class TriesTest(unittest.IsolatedAsyncioTestCase):
    """Tries whose ends the test decides about."""

    def setUp(self) -> None:
        self.tries = tries_.Attempts()
        self.first = tries_.Attempt(builders.build_upstream(1))
        self.second = tries_.Attempt(builders.build_upstream(2))
        self.released = 0
        self.sent: asyncio.Future[outcomes.Outcome]
        self.sent_again: asyncio.Future[outcomes.Outcome]

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.sent = loop.create_future()
        self.sent_again = loop.create_future()

    def build_answer(self) -> outcomes.Answered:
        """Builds an answer that counts how often it is released."""

        def release() -> None:
            self.released += 1

        nothing: Any = None
        return outcomes.Answered(nothing, b"", [release])

    def run_tries(self) -> asyncio.Task[outcomes.Outcome]:
        """Begins a call; a doubt about its first try begins the second."""
        return asyncio.create_task(
            self.tries.run(self.first, _wait(self.sent), self.oversee)
        )

    async def oversee(self) -> outcomes.Outcome:
        """Returns the first outcome; starts the second try at a doubt."""
        while True:
            news = await self.tries.wait()
            if isinstance(news, tries_.Ended):
                return news.outcome
            self.tries.start(self.second, _wait(self.sent_again))

    async def doubt(self) -> None:
        """Has the first try be in doubt, so that the second one begins."""
        await asyncio.sleep(0)
        self.tries.report(self.first, doubts.Doubt.LATE)
        while self.tries.count < 2:
            await asyncio.sleep(0)

    async def test_a_call_with_one_try_makes_no_task(self) -> None:
        """The answer of a sound upstream costs no task but the call's own."""
        made = 0
        loop = asyncio.get_running_loop()

        def count(loop: Any, coroutine: Any, **options: Any) -> Any:
            nonlocal made
            made += 1
            return asyncio.Task(coroutine, loop=loop, **options)

        loop.set_task_factory(count)
        self.addCleanup(loop.set_task_factory, None)
        call = self.run_tries()
        loop.call_soon(self.sent.set_result, _REFUSED)
        self.assertIs(await call, _REFUSED)
        self.assertEqual(made, 1)

    async def test_second_answer_ends_the_first_try(self) -> None:
        """The caller gets the answer of the second upstream at once.

        The first upstream gives no sign. Its connection is closed as the wait
        for it ends, and the task of the call can be cancelled as before.
        """
        call = self.run_tries()
        await self.doubt()
        answer = self.build_answer()
        self.sent_again.set_result(answer)
        self.assertIs(await call, answer)
        self.assertTrue(self.sent.cancelled())
        self.assertEqual(call.cancelling(), 0)

    async def test_first_answer_counts_while_the_second_try_runs(self) -> None:
        call = self.run_tries()
        await self.doubt()
        answer = self.build_answer()
        self.sent.set_result(answer)
        self.assertIs(await call, answer)
        self.tries.close()
        await asyncio.sleep(0)
        self.assertTrue(self.sent_again.cancelled())

    async def test_caller_leaves_while_both_tries_run(self) -> None:
        """Nobody waits any more, so neither upstream works on."""
        call = self.run_tries()
        await self.doubt()
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.tries.close()
        await asyncio.sleep(0)
        self.assertTrue(self.sent.cancelled())
        self.assertTrue(self.sent_again.cancelled())

    async def test_caller_leaves_as_the_second_answer_comes(self) -> None:
        """The answer that nobody takes any more is released, once.

        Held for good, it would keep its slot of the backend server.
        """
        call = self.run_tries()
        await self.doubt()
        self.sent_again.set_result(self.build_answer())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait((call,))
        if not call.cancelled():
            call.result()
            self.released += 1
        self.tries.close()
        await asyncio.sleep(0)
        self.assertEqual(self.released, 1)

    async def test_body_that_stops_ends_the_call(self) -> None:
        """The caller is told that its own body was cut, by either try."""
        call = self.run_tries()
        await self.doubt()
        self.sent.set_exception(bodies.BodyError("stopped"))
        with self.assertRaises(bodies.BodyError):
            await call
        self.tries.close()


async def _wait(
    sent: asyncio.Future[outcomes.Outcome],
) -> outcomes.Outcome:
    return await sent
