"""Tests that refusals of other daemons arrive before the caller's deadline."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.crashing import crashes
from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import fakes
from tests.requests import relays

_SHORT = builders.build_snapshot(builders.build_short_plans())


class _SlowStore(fakes.Store):
    """Delays the answer to each write beyond the deadline of any call."""

    async def put(self, *arguments: Any) -> Any:
        await asyncio.sleep(builders.TEST_TIMEOUT_S)
        return await super().put(*arguments)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Calls that never reached a backend server are refused as not run."""

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers at once."""
        del request
        return web.Response()

    async def test_suspect_that_gets_no_suspect_slot(self) -> None:
        """Guards against a 504 for a call that waited for other suspects."""
        async with relays.run_nodes_after_full_link(
            self.answer, running=_SHORT
        ) as (nodes, client):
            slot = nodes[1].proxy.crashes._suspect_slot
            await slot.acquire()
            with mock.patch.object(
                crashes.CrashTracker, "_is_suspect", lambda *_: True
            ):
                answer = await client.get(nodes[0].url + "/x")
            slot.release()
        self.assertEqual(answer.headers[headers.OUTCOME], "not-run")

    async def test_payout_whose_claim_is_not_written_in_time(self) -> None:
        """Guards against a 504 for a payout that was never claimed."""
        async with relays.run_nodes_after_full_link(
            self.answer, running=_SHORT, store=_SlowStore()
        ) as (nodes, client):
            answer = await client.post(
                nodes[0].url + "/payouts/1",
                headers={headers.IDEMPOTENCY_KEY: "k"},
            )
        self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
