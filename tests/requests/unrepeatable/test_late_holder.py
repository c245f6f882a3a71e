"""A daemon that holds a claim and answers late."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.requests.unrepeatable import recall
from tests.requests import builders

_KEY = {headers.KEY: "ticket-7"}
_SILENT_S = 0.2


class LateHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_holder_that_answers_late_is_not_gone(self) -> None:
        """Guards against payouts given up as their holder answers late."""
        begun = asyncio.Event()
        go_on = asyncio.Event()
        runs: list[str] = []

        async def pay(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            runs.append(request.raw_path)
            begun.set()
            await go_on.wait()
            return web.Response(body=b"paid")

        async with (
            builders.run_nodes(2, True, handler=pay) as (first, second),
            builders.open_client() as client,
        ):
            lost = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=_KEY)
            )
            await begun.wait()
            lost.cancel()
            recalls = first.proxy.recalls
            answer_recall = recalls._claims.answer_recall

            async def answer_late(*arguments: Any) -> Any:
                reply = await answer_recall(*arguments)
                await asyncio.sleep(2 * _SILENT_S)
                go_on.set()
                return reply

            with (
                mock.patch.object(recall, "_SILENT_S", _SILENT_S),
                mock.patch.object(
                    recalls._claims, "answer_recall", answer_late
                ),
            ):
                answer = await client.post(
                    second.url + "/payouts", headers=_KEY
                )
                self.assertEqual(
                    (answer.status, await answer.read()), (200, b"paid")
                )
            go_on.set()
        self.assertEqual(len(runs), 1)
