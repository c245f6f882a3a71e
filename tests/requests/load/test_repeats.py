"""Tests of the tracking of running repeats."""

from __future__ import annotations

import unittest

from aiohttp import web

from merlintrestle.requests.load import repeats
from tests.requests import builders


class RepeatsTest(unittest.IsolatedAsyncioTestCase):
    """Calls that run at a backend server, and the repeats among them."""

    def test_ratio_of_running_calls(self) -> None:
        """Each run counts as what it was when it began."""
        tracked = repeats.Repeats()
        self.assertEqual(tracked.get_ratio(), 0.0)
        first, second = builders.build_call(), builders.build_call()
        second.repeat = True
        begun = [tracked.begin(first), tracked.begin(second)]
        self.assertEqual(tracked.get_ratio(), 0.5)
        # The call is also sent to another upstream, but this run of it was the
        # first.
        first.repeat = True
        for repeat in begun:
            tracked.end(repeat)
        self.assertEqual(tracked.get_ratio(), 0.0)
        tracked.begin(builders.build_call())
        self.assertEqual(tracked.get_ratio(), 0.0)

    async def test_daemon_of_the_upstream_counts_a_repeat(self) -> None:
        """Nested calls of a repeat count as repeats at the second upstream.

        One backend server breaks the connection of a call, which is retried at
        another backend server. The nested calls of the second run may also have
        been made by the first run, but do not identify their parent call.
        """
        ratios: list[float] = []
        broken = False

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal broken
            if not broken:
                broken = True
                assert request.transport is not None
                request.transport.abort()
                return web.Response()
            ratios.extend(
                n.proxy._local_runner.repeats.get_ratio() for n in nodes[1:]
            )
            return web.Response(body=b"ok")

        async with builders.run_nodes(3, handler=answer) as nodes:
            local = nodes[0]
            local.proxy.backend.announce("kassa", "127.0.0.1:1", 0)
            upstreams = local.table.upstreams
            upstreams["kassa"] = upstreams["kassa"][1:]
            async with builders.open_client() as client:
                response = await client.get(local.url + "/x")
            self.assertEqual(response.status, 200)
            self.assertEqual(sorted(ratios), [0.0, 1.0])
            final_ratios = [
                n.proxy._local_runner.repeats.get_ratio() for n in nodes
            ]
            self.assertEqual(final_ratios, [0.0, 0.0, 0.0])
