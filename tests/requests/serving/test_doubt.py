"""Calls of which there is no news are not given up without proof."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import watches
from tests.requests import relays


class DoubtTest(unittest.IsolatedAsyncioTestCase):
    """A daemon asks the peer about its call and hears nothing."""

    def setUp(self) -> None:
        self.go_on = asyncio.Event()
        self.begun = asyncio.Semaphore(0)
        self.asked = asyncio.Semaphore(0)
        patch = mock.patch.object(watches, "FIRST_BYTE_S", 0.02)
        patch.start()
        self.addCleanup(patch.stop)

        async def ask(*arguments: Any) -> probes.View:
            self.asked.release()
            return probes.View(False)

        patch_ask = mock.patch.object(probes, "ask", ask)
        patch_ask.start()
        self.addCleanup(patch_ask.stop)

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers when the test lets it."""
        self.begun.release()
        await self.go_on.wait()
        return web.Response(body=b"whole")

    async def test_call_is_run_while_no_question_is_answered(self) -> None:
        """The caller gets the backend server's answer, not a 504 of ours.

        The daemon of the caller is told to stop while a call of it runs at
        another's backend server. On a link that is full no question about the
        call is answered in time, and nothing else comes from there. There is
        no other upstream. That nobody answers proves nothing: the work goes
        on, and the answer comes long before the deadline.
        """
        async with relays.connect(self.wait) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.begun.acquire()
            nodes[0].proxy.leave()
            for _ in range(2):
                asking = asyncio.create_task(self.asked.acquire())
                await asyncio.wait(
                    (call, asking), return_when=asyncio.FIRST_COMPLETED
                )
            self.go_on.set()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[1].served), 1)
