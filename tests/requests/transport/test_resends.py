"""Second sends that end in the same turn of the loop as the first."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import resends

_BROKE = outcomes.Unknown("the connection broke", broken=True)


class SecondTest(unittest.IsolatedAsyncioTestCase):
    """A call is sent, and anew while its first send goes on."""

    async def asyncSetUp(self) -> None:
        self.first: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.latest: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.connection = mock.Mock()
        self.second = resends.Second(self.connection, self.send_anew)
        self.freed = mock.Mock()

    def build_answer(self) -> outcomes.Answered:
        """Builds an answer that notes when it is freed."""
        return outcomes.Answered(mock.Mock(), None, [self.freed])

    async def send_anew(self) -> outcomes.Outcome:
        """Awaits the answer to the second send."""
        return await self.latest

    async def run_call(self) -> outcomes.Outcome:
        """Sends the call twice and settles which send counts."""
        self.second.start()
        try:
            return await self.second.settle(await self.first)
        finally:
            self.second.close()

    async def start_call(self) -> asyncio.Task[outcomes.Outcome]:
        """Returns a call both of whose sends are under way."""
        call = asyncio.create_task(self.run_call())
        await self.turn()
        return call

    async def turn(self) -> None:
        """Lets whatever is ready run."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_winner_is_not_cut_by_an_answer_of_the_same_turn(
        self,
    ) -> None:
        """The caller gets the whole body of the first send's answer.

        A backend server pauses and then answers both sends at once. The second
        answer is told of when the first one has won; taken for news, it ended
        the body that the caller was reading.
        """
        call = await self.start_call()
        answer = self.build_answer()
        self.latest.set_result(outcomes.Answered(mock.Mock(), b"2nd", []))
        self.first.set_result(answer)
        self.assertIs(await call, answer)
        await self.turn()
        self.connection.expire.assert_not_called()
        self.freed.assert_not_called()

    async def test_second_answer_is_freed_where_the_first_wins(self) -> None:
        call = await self.start_call()
        self.latest.set_result(self.build_answer())
        self.first.set_result(outcomes.Answered(mock.Mock(), b"1st", []))
        await call
        await self.turn()
        self.freed.assert_called_once_with()

    async def test_first_answer_that_was_cut_does_not_count(self) -> None:
        """The caller gets the second send's answer, which is whole.

        The first answer comes in the turn in which its wait is ended. Its
        headers are there and its body is cut.
        """
        call = await self.start_call()
        answer = outcomes.Answered(mock.Mock(), b"2nd", [])
        self.connection.expire.side_effect = lambda: self.first.set_result(
            self.build_answer()
        )
        self.latest.set_result(answer)
        self.assertIs(await call, answer)
        self.freed.assert_called_once_with()

    async def test_caller_that_leaves_in_that_turn_frees_the_answer(
        self,
    ) -> None:
        """Nothing stays held: the slot and the connection are free again.

        The first send broke, and the caller leaves in just the turn in which
        the second one is answered.
        """
        call = await self.start_call()
        self.first.set_result(_BROKE)
        await self.turn()
        self.latest.set_result(self.build_answer())
        # The second send ends, and the call has not yet gone on.
        await asyncio.sleep(0)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        await self.turn()
        self.freed.assert_called_once_with()
