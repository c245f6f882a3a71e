"""Tests of refusals by other daemons shortly before the caller's deadline."""

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

_SHORT_DEADLINES = builders.build_snapshot(builders.build_short_plans())


class _SlowStore(fakes.FakeStore):
    """Store that delays the answer to each write beyond any deadline."""

    async def put(self, *arguments: Any) -> Any:
        await asyncio.sleep(builders.TEST_TIMEOUT_S)
        return await super().put(*arguments)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Calls that reach no backend server in time are refused as not run.

    The link was full just before, so refusals need a long time to return.
    """

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers at once."""
        del request
        return web.Response()

    async def test_suspect_call_without_a_suspect_slot_is_refused(self) -> None:
        """Guards against a 504 for a call that waited for the suspect slot.

        A daemon runs only one call at a time that may crash its backend server.
        """
        async with relays.run_nodes_after_full_link(
            self.answer, running=_SHORT_DEADLINES
        ) as (nodes, client):
            slot = nodes[1].proxy.crashes._suspect_slot
            await slot.acquire()
            with mock.patch.object(
                crashes.CrashTracker, "_is_suspect", lambda *_: True
            ):
                answer = await client.get(nodes[0].url + "/x")
            slot.release()
        self.assertEqual(answer.headers[headers.OUTCOME], "not-run")

    async def test_payout_without_a_claim_in_time_is_refused(self) -> None:
        """Guards against a 504 for a payout that was never forwarded.

        A payout must not be repeated, so it is forwarded only after a claim was
        written to the store, which is too slow here.
        """
        async with relays.run_nodes_after_full_link(
            self.answer, running=_SHORT_DEADLINES, store=_SlowStore()
        ) as (nodes, client):
            answer = await client.post(
                nodes[0].url + "/payouts/1",
                headers={headers.IDEMPOTENCY_KEY: "k"},
            )
        self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
