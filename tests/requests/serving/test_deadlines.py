"""Tests of the end of running calls at their deadlines."""

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

_SHORT_DEADLINES = builders.build_snapshot(builders.build_short_plans())


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """A call that runs at the backend server of another daemon."""

    def setUp(self) -> None:
        self.cancelled_at: asyncio.Future[float] | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers "/quick" at once; runs other calls until cancelled."""
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

    async def test_reserved_return_time_does_not_shorten_running_calls(
        self,
    ) -> None:
        """Guards against running calls that are cancelled too early.

        A part of the remaining time is reserved for the return trip of a
        refusal. It is long here, as the link was full just before, but a call
        that is running may use it.
        """
        loop = asyncio.get_running_loop()
        self.cancelled_at = loop.create_future()
        async with relays.run_nodes_after_full_link(
            self.handle, running=_SHORT_DEADLINES
        ) as (nodes, client):
            started_at = loop.time()
            answer = await client.get(nodes[0].url + "/slow")
            self.assertEqual(answer.status, 504)
            cancelled_at = await self.cancelled_at
        self.assertGreaterEqual(
            cancelled_at - started_at, builders.SHORT_DEADLINE_S
        )

    async def test_log_shows_which_timeout_ended_a_call_and_when(
        self,
    ) -> None:
        """Guards against logs in which calls that end too early look late."""
        loop = asyncio.get_running_loop()
        self.cancelled_at = loop.create_future()
        fields_by_event: dict[str, dict[str, Any]] = {}

        def record_event(
            decision_log: decision_logs.DecisionLog, event: str, **fields: Any
        ) -> None:
            fields_by_event.setdefault(event, fields)

        patch = mock.patch.object(
            decision_logs.DecisionLog, "add", record_event
        )
        async with relays.run_relayed_nodes(
            self.handle, running=_SHORT_DEADLINES
        ) as (
            nodes,
            _,
            client,
        ):
            deadline_header = {headers.DEADLINE: "500"}
            with patch:
                await client.get(
                    nodes[0].url + "/slow", headers=deadline_header
                )
        self.assertEqual(fields_by_event["routed"]["limit"], "caller")
        self.assertLessEqual(fields_by_event["tried"]["left_ms"], 0)
        self.assertLessEqual(fields_by_event["given up"]["left_ms"], 0)
