"""Tests of quotas with complete daemons and a store stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

import aiohttp

from merlintrestle.operators import fleet as operator_fleet
from tests.daemon import builders as daemon_builders
from tests.quotas import builders

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

_TIMEOUT_S = 25.0


class DaemonsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        client = aiohttp.ClientSession()
        self.addAsyncCleanup(client.close)
        self.fleet = daemon_builders.Fleet(client)
        await self.fleet.store.start()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.accept_document(daemon_builders.build_document())
        for _ in range(3):
            await self.fleet.start_daemon()
        self.workspace = builders.build_workspace("w", 20, 10)
        for daemon in self.fleet.daemons:
            await daemon.wait_until_open()
            daemon.set_workspaces([self.workspace])

    async def wait_until_granted(
        self, daemon: daemon_builders.Daemon, workspace: snapshot.Workspace
    ) -> None:
        """Makes calls until one gets a token."""
        async with asyncio.timeout(_TIMEOUT_S):
            while await daemon.quotas.spend(workspace, 0.3) is not None:
                await asyncio.sleep(0.1)

    async def test_all_daemons_share_one_quota(self) -> None:
        """Guards against daemons that have a coordinator each."""
        for daemon in self.fleet.daemons:
            await self.wait_until_granted(daemon, self.workspace)
        granting = [
            daemon
            for daemon in self.fleet.daemons
            if daemon.quotas.election.may_grant()
        ]
        self.assertEqual(len(granting), 1)
        outcomes = [
            await daemon.quotas.spend(self.workspace, 0.3)
            for _ in range(150)
            for daemon in self.fleet.daemons
        ]
        refusals = [outcome for outcome in outcomes if outcome is not None]
        self.assertEqual({refusal.status for refusal in refusals}, {429})
        # The limit of a window of 5 s is (20 * 5 + 10) * 1.1 + 20.
        self.assertLessEqual(len(outcomes) - len(refusals), 141)

    async def test_next_daemon_follows_a_stopped_coordinator(self) -> None:
        """Guards against a lease that is not released at a planned stop."""
        for daemon in self.fleet.daemons:
            await self.wait_until_granted(daemon, self.workspace)
        (index,) = (
            index
            for index, daemon in enumerate(self.fleet.daemons)
            if daemon.quotas.election.may_grant()
        )
        coordinator = self.fleet.daemons.pop(index)
        epoch = coordinator.quotas.gossip.epoch
        await coordinator.stop()
        for daemon in self.fleet.daemons:
            async with asyncio.timeout(_TIMEOUT_S):
                while daemon.quotas.gossip.epoch <= epoch:
                    await asyncio.sleep(0.05)
            await self.wait_until_granted(daemon, self.workspace)

    async def test_status_tells_the_coordinator(self) -> None:
        """Guards against a status that daemons do not fill in."""
        replies = []
        for daemon in self.fleet.daemons:
            await self.wait_until_granted(daemon, self.workspace)
        for daemon in self.fleet.daemons:
            reply = await operator_fleet.ask_daemon(
                daemon.control_address, False, _TIMEOUT_S
            )
            self.assertTrue(reply.HasField("refusals"))
            replies.append(reply)
        (coordinator,) = (one for one in replies if one.quotas.granting)
        for reply in replies:
            self.assertEqual(reply.quotas.coordinator, coordinator.self.id)
            self.assertEqual(reply.quotas.epoch, coordinator.quotas.epoch)

    async def test_metrics_tell_the_coordinator(self) -> None:
        """Guards against metrics that are not registered, or by workspace."""
        daemon = self.fleet.daemons[0]
        await self.wait_until_granted(daemon, self.workspace)
        url = daemon.admin_url + "/metrics"
        async with self.fleet.client.get(url) as response:
            text = await response.text()
        self.assertRegex(text, r"merlintrestle_quota_tokens_spent_total [1-9]")
        self.assertRegex(text, r"merlintrestle_quota_epoch [1-9]")
        self.assertNotIn('"w"', text)
