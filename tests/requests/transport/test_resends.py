"""Tests of resends that end in the same loop iteration as the first send."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import resends

_BROKE = outcomes.Unknown("the connection broke", broken=True)


class ResendTest(unittest.IsolatedAsyncioTestCase):
    """A call is sent, and resent while the first send is in flight."""

    async def asyncSetUp(self) -> None:
        self.first: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.second: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.connection = mock.Mock()
        self.resend = resends.Resend(self.connection, self.send_again)
        self.released = mock.Mock()

    def build_answer(self) -> outcomes.Answered:
        """Builds an answer that records its release."""
        return outcomes.Answered(mock.Mock(), None, [self.released])

    async def send_again(self) -> outcomes.Outcome:
        """Awaits the outcome of the resend."""
        return await self.second

    async def run_call(self) -> outcomes.Outcome:
        """Sends the call twice and returns its outcome."""
        self.resend.start()
        try:
            return await self.resend.resolve(await self.first)
        finally:
            self.resend.close()

    async def start_call(self) -> asyncio.Task[outcomes.Outcome]:
        """Returns a call with both sends in flight."""
        call = asyncio.create_task(self.run_call())
        await self.run_pending()
        return call

    async def run_pending(self) -> None:
        """Runs all pending callbacks of the event loop."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_first_answer_is_not_aborted_in_the_same_iteration(
        self,
    ) -> None:
        """The caller gets the whole body of the first send's answer.

        A backend server pauses and then answers both sends at once. The
        callback for the second answer runs after the first one has been chosen,
        and must not end the body that the caller is reading.
        """
        call = await self.start_call()
        answer = self.build_answer()
        self.second.set_result(outcomes.Answered(mock.Mock(), b"2nd", []))
        self.first.set_result(answer)
        self.assertIs(await call, answer)
        await self.run_pending()
        self.connection.fail_with_timeout.assert_not_called()
        self.released.assert_not_called()

    async def test_second_answer_is_released_if_the_first_is_used(self) -> None:
        """Otherwise its slot and its connection would stay occupied."""
        call = await self.start_call()
        self.second.set_result(self.build_answer())
        self.first.set_result(outcomes.Answered(mock.Mock(), b"1st", []))
        await call
        await self.run_pending()
        self.released.assert_called_once_with()

    async def test_aborted_first_answer_is_not_used(self) -> None:
        """The caller gets the second send's answer, which is complete.

        The first answer arrives in the iteration of the event loop in which the
        wait for it is ended: its headers have been read, but its body is
        aborted.
        """
        call = await self.start_call()
        answer = outcomes.Answered(mock.Mock(), b"2nd", [])
        self.connection.fail_with_timeout.side_effect = lambda: (
            self.first.set_result(self.build_answer())
        )
        self.second.set_result(answer)
        self.assertIs(await call, answer)
        self.released.assert_called_once_with()

    async def test_disconnecting_caller_releases_the_second_answer(
        self,
    ) -> None:
        """The slot and the connection are released.

        The connection of the first send broke, and the caller disconnects in
        the loop iteration in which the resend is answered.
        """
        call = await self.start_call()
        self.first.set_result(_BROKE)
        await self.run_pending()
        self.second.set_result(self.build_answer())
        # The resend has ended, and the call has not been resumed yet.
        await asyncio.sleep(0)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        await self.run_pending()
        self.released.assert_called_once_with()
