"""Tests that running calls end at their deadlines, and not before."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import relays

_SHORT = builders.build_snapshot(builders.build_short_plans())


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """The backend server of another daemon runs a call."""

    def setUp(self) -> None:
        self.cancelled_at: asyncio.Future[float] | None = None

    async def work(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers quick calls, and runs others until they are cancelled."""
        if request.raw_path == "/quick":
            return web.Response(body=b"whole")
        loop = asyncio.get_running_loop()
        assert self.cancelled_at is not None
        try:
            await asyncio.sleep(builders.TEST_TIMEOUT_S)
        except asyncio.CancelledError:
            self.cancelled_at.set_result(loop.time())
            raise
        return web.Response()

    async def test_call_keeps_its_deadline_after_a_full_link(
        self,
    ) -> None:
        """Guards against calls cut short by the time of a return trip.

        The link was full before, so the reserved return trip is long.
        """
        loop = asyncio.get_running_loop()
        self.cancelled_at = loop.create_future()
        async with relays.run_nodes_after_full_link(
            self.work, running=_SHORT
        ) as (nodes, client):
            began = loop.time()
            answer = await client.get(nodes[0].url + "/slow")
            self.assertEqual(answer.status, 504)
            ended = await self.cancelled_at
        self.assertGreaterEqual(ended - began, builders.SHORT_DEADLINE_S)

    async def test_story_shows_which_timeout_ended_a_call_and_when(
        self,
    ) -> None:
        """Guards against calls that end early but look late in the logs."""
        loop = asyncio.get_running_loop()
        self.cancelled_at = loop.create_future()
        fields_by_event: dict[str, dict[str, Any]] = {}

        def record_event(
            story: decision_logs.DecisionLog, event: str, **fields: Any
        ) -> None:
            fields_by_event.setdefault(event, fields)

        patch = mock.patch.object(
            decision_logs.DecisionLog, "add", record_event
        )
        async with relays.run_relayed_nodes(self.work, running=_SHORT) as (
            nodes,
            _,
            client,
        ):
            sent = {headers.DEADLINE: "500"}
            with patch:
                await client.get(nodes[0].url + "/slow", headers=sent)
        self.assertEqual(fields_by_event["routed"]["limit"], "caller")
        self.assertLessEqual(fields_by_event["tried"]["left_ms"], 0)
        self.assertLessEqual(fields_by_event["given up"]["left_ms"], 0)
