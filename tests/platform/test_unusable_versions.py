"""Whole daemons whose newest confirmed version cannot be used."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle.platform import configuration
from merlintrestle.platform import store as stores
from merlintrestle.versions import confirmed_keys
from tests.platform import builders
from tests.platform import fleets

_ROUTE = builders.build_route("tickets")
_LIMIT_S = 5.0


def _build_tenants(keys: dict[str, list[Any]]) -> dict[str, Any]:
    return builders.build_tenants(
        *({"name": name, "apiKeys": keys[name]} for name in keys)
    )


class UnusableVersionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        build_settings = builders.build_settings
        with mock.patch.object(
            builders,
            "build_settings",
            lambda **changes: build_settings(
                revocation_limit_s=_LIMIT_S, **changes
            ),
        ):
            await self.fleet.start(
                "balie",
                "kassa",
                "kassa",
                configuration=builders.build_configuration(
                    7,
                    _ROUTE,
                    tenants=_build_tenants(
                        {"ijssel": ["kept", "removed", "moved"], "vecht": []}
                    ),
                ),
            )

    async def write(self, value: bytes) -> None:
        """Writes a configuration and waits until its keys must count."""
        await self.fleet.store.write(stores.CONFIGURATION_KEY, value)
        await asyncio.sleep(_LIMIT_S + 0.5)

    async def send(self, key: str, path: str = "/tickets/1") -> set[int]:
        """Returns the statuses of a request with a key at all daemons."""
        header = {"Authorization": f"Bearer {key}"}
        return {
            (await self.fleet.send(index, path, headers=header))[0]
            for index in range(len(self.fleet.daemons))
        }

    async def test_keys_follow_it_and_the_rest_stays(self) -> None:
        """Guards against a revoked key that runs, and valid ones refused."""
        tenants = _build_tenants(
            {"ijssel": ["kept"], "vecht": ["moved"], "waal": ["added"]}
        )
        odd = builders.build_route("new", kind="perhaps")
        for version in (8, 47):
            with self.subTest(version=version):
                await self.write(
                    builders.build_configuration(
                        version, _ROUTE, odd, tenants=tenants
                    )
                )
                self.assertEqual({d.version for d in self.fleet.daemons}, {7})
                self.assertEqual(await self.send("kept"), {200})
                self.assertEqual(await self.send("removed"), {401})
                self.assertEqual(await self.send("added"), {503})
                self.assertEqual(await self.send("kept", "/new/1"), {503})
                self.assertEqual(await self.send("moved"), {200})
                received = self.fleet.backends[0].received_headers[-1]
                self.assertEqual(received["X-Tenant-Id"], "vecht")
        await self.write(
            builders.build_configuration(50, _ROUTE, tenants=tenants)
        )
        self.assertEqual(await self.send("added"), {200})
        self.assertEqual(await self.send("kept", "/new/1"), {404})

    async def test_keys_that_cannot_be_read_are_refused_as_not_run(
        self,
    ) -> None:
        """Guards against a revoked key that runs, as nobody can read of it."""
        for value in (
            builders.build_configuration(8, _ROUTE, tenants=["kept"]),
            b"{",
            b"\xff",
        ):
            with self.subTest(value=value[:9]):
                await self.write(value)
                self.assertEqual(await self.send("kept"), {503})
                self.assertEqual(await self.send("removed"), {503})


class ReadKeysTest(unittest.TestCase):
    def read(self, tenants: Any) -> confirmed_keys.KeyList:
        """Returns the key list of a configuration, by the first characters."""
        value = builders.build_configuration(8, _ROUTE, tenants=tenants)
        with mock.patch.object(
            configuration.snapshots, "hash_key", lambda key: key.encode()
        ):
            return configuration.read_keys(8, value)

    def test_a_malformed_workspace_hides_only_its_own_keys(self) -> None:
        """Guards against keys that stop as another workspace is malformed."""
        for odd in (
            {"name": "vecht", "apiKeys": "k2"},
            {"name": None, "apiKeys": ["k2"]},
            {"name": "vecht", "apiKeys": ["k2", "\ud800"]},
        ):
            with self.subTest(odd=odd):
                tenants = builders.build_tenants(
                    {"name": "ijssel", "apiKeys": ["k1"]}, odd
                )
                self.assertEqual(
                    self.read(tenants),
                    confirmed_keys.KeyList(8, {b"k1": "ijssel"}, False),
                )

    def test_a_key_of_two_workspaces_is_of_neither(self) -> None:
        """Guards against a request in the name of the wrong workspace."""
        tenants = _build_tenants({"a": ["k1", "k2"], "b": ["k2"], "c": ["k2"]})
        self.assertEqual(
            self.read(tenants), confirmed_keys.KeyList(8, {b"k1": "a"}, False)
        )

    def test_a_configuration_without_workspaces_requires_no_keys(self) -> None:
        """Guards against refusals for a version that serves everybody."""
        self.assertEqual(
            self.read(None), confirmed_keys.KeyList(8, {}, required=False)
        )


if __name__ == "__main__":
    unittest.main()
