"""Payouts for tests of calls that may not be repeated."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aiohttp
    import multidict

    from tests.requests import builders


class SlowPayout:
    """A payout that runs until the test lets it be answered.

    Attributes:
        may_answer: Set by the test to let the backend server answer.
        runs: Path of each run.
    """

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.runs: list[str] = []
        self._started = asyncio.Event()

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Runs the payout; it is the handler of the backend server."""
        await request.read()
        self.runs.append(request.raw_path)
        self._started.set()
        await self.may_answer.wait()
        return web.Response(body=b"paid")

    async def send_and_leave(
        self,
        client: aiohttp.ClientSession,
        node: builders.Node,
        sent_headers: Mapping[multidict.istr, str],
    ) -> None:
        """Sends the payout, and closes the connection once it runs."""
        abandoned = asyncio.ensure_future(
            client.post(node.url + "/payouts", headers=sent_headers)
        )
        await self._started.wait()
        abandoned.cancel()
