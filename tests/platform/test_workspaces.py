"""Tests of API keys on the platform, from the caller to the backend server."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import fleets

_FORGED = {"X-Tenant-Id": "vecht", "X_Tenant_Id": "vecht"}
_KEY = {"Authorization": "Bearer k1"}


class WorkspacesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)

    async def test_workspaces_over_two_daemons(self):
        """Guards against keys and forged workspaces at backend servers."""
        await self.fleet.start(
            "kassa",
            "balie",
            configuration=builders.build_configuration(
                5,
                builders.build_route("tickets"),
                builders.build_route("open", allowAnonymous=True),
                tenants=builders.build_tenants(),
            ),
        )
        for path, sent, workspace in (
            ("/tickets/1", {**_KEY, **_FORGED}, "ijssel"),
            ("/open/1", {**_KEY, **_FORGED}, "ijssel"),
            ("/open/1", _FORGED, None),
        ):
            for index in (0, 1):
                with self.subTest(path=path, sent=sent, index=index):
                    status, _, _ = await self.fleet.send(
                        index, path, headers=sent
                    )
                    self.assertEqual(status, 200)
                    received = self.fleet.backends[1].received_headers[-1]
                    self.assertEqual(received.get("X-Tenant-Id"), workspace)
                    self.assertNotIn("X_Tenant_Id", received)
                    self.assertNotIn("Authorization", received)
        for path, sent in (
            ("/tickets/1", {}),
            ("/open/1", {"Authorization": "Bearer k3"}),
        ):
            status, headers, _ = await self.fleet.send(path=path, headers=sent)
            self.assertEqual(status, 401)
            self.assertIn("X-Attempt-Id", headers)
            self.assertNotIn("Retry-After", headers)
        self.assertEqual(len(self.fleet.backends[1].executed_attempts), 6)

    async def test_without_workspaces_headers_are_forwarded(self):
        """Guards against a change for deployments without workspaces."""
        await self.fleet.start("kassa", "balie")
        sent = {**_KEY, "X-Tenant-Id": "vecht"}
        self.assertEqual((await self.fleet.send(headers=sent))[0], 200)
        received = self.fleet.backends[1].received_headers[-1]
        self.assertLessEqual(sent.items(), received.items())

    async def test_keys_of_the_last_workspace_are_refused_once_removed(self):
        """Guards against a mesh that serves any key without workspaces."""
        route = builders.build_route("tickets")
        await self.fleet.start(
            "kassa",
            "balie",
            configuration=builders.build_configuration(
                5, route, tenants=builders.build_tenants()
            ),
        )
        self.assertEqual((await self.fleet.send(headers=_KEY))[0], 200)
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY,
            builders.build_configuration(
                6, route, tenants={"columns": ["name", "apiKeys"], "rows": []}
            ),
        )
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while any(daemon.version < 6 for daemon in self.fleet.daemons):
                await asyncio.sleep(0.01)
        for sent in (_KEY, {"Authorization": "Bearer k3"}, {}):
            self.assertEqual((await self.fleet.send(headers=sent))[0], 401)
        self.assertEqual(len(self.fleet.backends[1].executed_attempts), 1)
