"""Tests of the membership service."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle.members import membership as membership_lib
from merlintrestle.members import table as table_lib
from tests.members import builders
from tests.requests import relays
from tests.versions import builders as version_builders


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_during_the_stop_opens_no_link(self) -> None:
        """A stopping daemon finds its first neighbour while it ends its links.

        A link opened then would never be ended. On it, the stopped daemon would
        keep refuting that it has left, and other daemons would route calls to
        it.
        """
        table = table_lib.MemberTable(builders.build_member(1))
        timing = builders.FAST_TIMING._replace(flush_delay_s=0)
        membership = membership_lib.Membership(table, None, (), timing)
        await membership.start()
        await _run_other_tasks()

        async def close() -> None:
            table.merge(builders.build_member(2))
            await _run_other_tasks()

        with mock.patch.object(membership.peers, "close", close):
            await membership.stop()
        self.assertEqual(membership._link_tasks, {})


class SlowPathTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_over_a_slow_path_opens(self) -> None:
        """Guards against links that time out before they are open."""
        peer = version_builders.Daemon(version_builders.FakeConfiguration())
        await peer.server.start(peer.servicer)
        self.addAsyncCleanup(peer.server.close, 0)
        relay = relays.Relay(peer.server.port)
        relay.delay_s = 0.4
        await relay.start()
        self.addAsyncCleanup(relay.close)
        table = table_lib.MemberTable(builders.build_member(1))
        membership = membership_lib.Membership(
            table, None, (), builders.FAST_TIMING
        )
        opened = asyncio.Event()
        membership.links.on_open.append(lambda _: opened.set())
        await membership.start()
        self.addAsyncCleanup(membership.stop)
        member = builders.build_member(2)
        member.id = f"127.0.0.1:{relay.port}"
        member.control_port = relay.port
        table.merge(member)
        async with asyncio.timeout(version_builders.TEST_TIMEOUT_S):
            await opened.wait()


async def _run_other_tasks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)
