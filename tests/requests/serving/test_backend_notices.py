"""Tests of notices of backend servers across daemons and their restarts."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests.calls import notices
from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from tests.requests import builders

_LIMITED: dict[str, str] = {headers.RATE_LIMIT: "0.5"}
_LEAVING: dict[str, str] = {headers.LEAVING: "1"}


class BackendNoticesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        nodes = builders.run_nodes(2, isolated=True)
        self.caller, self.limited = await self.enterAsyncContext(nodes)
        self.caller.table.upstreams["kassa"] = (self.limited.build_upstream(),)
        self.client = await self.enterAsyncContext(builders.open_client())
        self.announce("i-1")

    def announce(self, instance_id: str, started_ms: int = 0) -> None:
        """Announces a process of the second backend server."""
        self.limited.proxy.backend.announce(
            "kassa",
            f"127.0.0.1:{self.limited.backend.port}",
            12,
            instance_id=instance_id,
            started_ms=started_ms,
        )

    def use_notices(self, stated: dict[str, str]) -> None:
        """Makes the second backend server state notices in its answers."""

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            await asyncio.sleep(0.05)
            return web.Response(body=b"whole", headers=stated)

        self.limited.use_handler(answer)

    async def send(self, count: int = 1) -> list[int]:
        """Sends concurrent calls to the first daemon; returns the statuses."""
        answers = await asyncio.gather(
            *(
                builders.fetch(self.client, self.caller.url + "/tickets/1")
                for _ in range(count)
            )
        )
        return [answer[0] for answer in answers if answer is not None]

    async def test_restarted_daemon_keeps_a_limit_that_others_know(
        self,
    ) -> None:
        """Guards against a burst at a limited server when its daemon starts."""
        self.use_notices(_LIMITED)
        self.assertEqual(await self.send(), [200])
        self.limited.forget_notices()
        statuses = await self.send(10)
        self.assertEqual(set(statuses), {503})
        self.assertEqual(len(self.limited.served), 1)

    async def test_restarted_daemon_keeps_away_from_a_leaving_server(
        self,
    ) -> None:
        """Guards against calls to a leaving server when its daemon starts."""
        self.use_notices(_LEAVING)
        self.assertEqual(await self.send(), [200])
        self.limited.forget_notices()
        self.announce("i-1")
        self.assertEqual(set(await self.send(3)), {503})
        self.assertEqual(len(self.limited.served), 1)

    async def test_notices_of_an_earlier_process_are_not_applied(self) -> None:
        """Guards against a limit that outlasts the server that named it."""
        self.use_notices(_LIMITED)
        self.assertEqual(await self.send(), [200])
        self.limited.forget_notices()
        self.use_notices({})
        for process in (("i-2", 0), ("i-2", 7)):
            self.announce(*process)
            self.assertEqual(await self.send(5), [200] * 5)
        header = self.caller.picker.notices.get_header(self.limited.member_id)
        passed = notices.decode_passed_notices(header or "")
        assert passed is not None
        self.assertEqual(passed.notices, notices.NO_NOTICES)

    async def test_new_process_starts_without_a_limit(self) -> None:
        """Guards against a limit that a restarted server never named."""
        self.use_notices(_LIMITED)
        self.assertEqual(await self.send(), [200])
        self.use_notices({})
        self.announce("i-2")
        self.assertEqual(await self.send(5), [200] * 5)

    async def test_a_server_without_an_id_that_leaves_gets_no_calls(
        self,
    ) -> None:
        """Guards against leaves that only servers with an id can state."""
        self.announce("")
        self.use_notices(_LEAVING)
        self.assertEqual(await self.send(), [200])
        self.assertEqual(set(await self.send(3)), {503})
        self.assertEqual(self.limited.proxy.backend.state, control_pb2.DRAINING)
