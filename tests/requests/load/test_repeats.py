"""What the fleet's bound of repeats counts beside repeats that were sent."""

from __future__ import annotations

import unittest

from aiohttp import web

from merlintrestle.requests.load import repeats
from tests.requests import builders


class RepeatsTest(unittest.IsolatedAsyncioTestCase):
    """Calls that run at a backend server."""

    def test_part_of_running_calls(self) -> None:
        running = repeats.Repeats()
        self.assertEqual(running.get_ratio(), 0.0)
        first, second = builders.build_call(), builders.build_call()
        second.repeat = True
        begun = [running.begin(first), running.begin(second)]
        self.assertEqual(running.get_ratio(), 0.5)
        # It is sent anew elsewhere; this run of it stays the first one.
        first.repeat = True
        for repeat in begun:
            running.end(repeat)
        self.assertEqual(running.get_ratio(), 0.0)
        running.begin(builders.build_call())
        self.assertEqual(running.get_ratio(), 0.0)

    async def test_daemon_beside_knows_of_a_repeat(self) -> None:
        """The bound holds although calls do not tell who makes them.

        One backend server breaks a call, which is sent to another. What that
        one asks for while it runs the call is made for the second time.
        """
        parts: list[float] = []
        broken = False

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal broken
            if not broken:
                broken = True
                assert request.transport is not None
                request.transport.abort()
                return web.Response()
            parts.extend(
                n.proxy._local_runner.repeats.get_ratio() for n in nodes[1:]
            )
            return web.Response(body=b"ok")

        async with builders.run_nodes(3, handler=answer) as nodes:
            near = nodes[0]
            near.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            known = near.table.upstreams
            known["kassa"] = known["kassa"][1:]
            async with builders.open_client() as client:
                got = await client.get(near.url + "/x")
            self.assertEqual(got.status, 200)
            self.assertEqual(sorted(parts), [0.0, 1.0])
            left = [n.proxy._local_runner.repeats.get_ratio() for n in nodes]
            self.assertEqual(left, [0.0, 0.0, 0.0])
