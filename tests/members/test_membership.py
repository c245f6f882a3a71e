"""Tests of starting and stopping the membership."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle.members import membership as memberships
from merlintrestle.members import table as tables
from tests.members import builders
from tests.requests import relays
from tests.versions import builders as version_builders


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_news_during_the_stop_open_no_link(self) -> None:
        """A daemon that was stopped goes on refuting that it is gone.

        It hears of its first neighbour just while it ends its links. The new
        link would be ended by nobody, and the other daemons would send work
        to a daemon that serves none.
        """
        table = tables.MemberTable(builders.build_member(1))
        timing = builders.FAST_TIMING._replace(flush_delay_s=0)
        membership = memberships.Membership(table, None, (), timing)
        await membership.start()
        await _let_others_run()

        async def close() -> None:
            table.merge(builders.build_member(2))
            await _let_others_run()

        with mock.patch.object(membership.peers, "close", close):
            await membership.stop()
        self.assertEqual(membership._neighbours, {})


class SlowWayTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_over_a_slow_way_comes_to_be(self) -> None:
        """Guards against links given up as silent before they can open."""
        peer = version_builders.Daemon(version_builders.FakeConfiguration())
        await peer.server.start(peer.servicer)
        self.addAsyncCleanup(peer.server.close, 0)
        relay = relays.Relay(peer.server.port)
        relay.delay_s = 0.4
        await relay.start()
        self.addAsyncCleanup(relay.close)
        table = tables.MemberTable(builders.build_member(1))
        membership = memberships.Membership(
            table, None, (), builders.FAST_TIMING
        )
        opened = asyncio.Event()
        membership.links.on_open.append(lambda _: opened.set())
        await membership.start()
        self.addAsyncCleanup(membership.stop)
        there = builders.build_member(2)
        there.id = f"127.0.0.1:{relay.port}"
        there.control_port = relay.port
        table.merge(there)
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            await opened.wait()


async def _let_others_run() -> None:
    for _ in range(20):
        await asyncio.sleep(0)
