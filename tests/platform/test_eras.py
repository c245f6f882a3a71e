"""Tests of the store that comes back from an older copy of its contents."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.platform import configuration
from merlintrestle.platform import store as stores
from tests.platform import builders
from tests.platform import fleets

_ADDED_ROUTE = builders.build_route("added")
_TICKETS_ROUTE = builders.build_route("tickets")


class EraTest(unittest.IsolatedAsyncioTestCase):
    """Daemons on the platform, whose operator writes each version again."""

    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        await self.fleet.start("balie", "balie", "kassa")

    async def configure(self, version: int, with_added_route: bool) -> None:
        """Writes a version as the operator does."""
        routes = [_TICKETS_ROUTE] + [_ADDED_ROUTE] * with_added_route
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY,
            builders.build_configuration(version, *routes),
        )

    async def write_others(self, count: int) -> None:
        """Writes keys that are no configuration, as other writers do."""
        for number in range(count):
            await self.fleet.store.write("servers/other", b"%d" % number)

    async def wait_for_version(self, version: int) -> None:
        """Waits until all daemons run a version."""
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S / 2):
            for daemon in self.fleet.daemons:
                while daemon.version != version:
                    await asyncio.sleep(0.02)

    async def test_version_written_after_the_store_came_back_runs(
        self,
    ) -> None:
        """Guards against versions that are missed as their revision is low."""
        copy = self.fleet.store.take_copy()
        await self.configure(6, with_added_route=False)
        await self.write_others(30)
        await self.wait_for_version(6)
        await asyncio.sleep(1.5)
        await self.fleet.store.come_back(copy)
        await self.configure(6, with_added_route=False)
        await self.configure(7, with_added_route=True)
        await self.wait_for_version(7)
        status, _, _ = await self.fleet.send(0, "/added/1")
        self.assertEqual(status, 200)

    async def test_version_in_force_stays_until_it_is_written_again(
        self,
    ) -> None:
        """Guards against daemons that go back to the version in the copy."""
        copy = self.fleet.store.take_copy()
        await self.configure(6, with_added_route=True)
        await self.wait_for_version(6)
        await self.fleet.store.come_back(copy)
        await self.write_others(30)
        await asyncio.sleep(2.5)
        for index in range(3):
            status, _, _ = await self.fleet.send(index, "/added/1")
            self.assertEqual(status, 200)
        await self.configure(6, with_added_route=True)
        await self.configure(8, with_added_route=True)
        await self.wait_for_version(8)


class SourceTest(unittest.IsolatedAsyncioTestCase):
    """A single daemon's access to the configuration in the store."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)
        self.source = configuration.PlatformSource(self.store)

    async def configure(self, version: int) -> int:
        """Writes a version as the operator does; returns its revision."""
        return await self.standin.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(version)
        )

    async def read_version(self) -> int:
        """Returns the version of the head."""
        return (await self.source.read_head()).version

    async def test_version_under_a_revision_that_is_given_out_again(
        self,
    ) -> None:
        """Guards against a revision that stands for other contents now."""
        await self.configure(5)
        copy = self.standin.take_copy()
        revision = await self.configure(6)
        self.assertEqual(await self.read_version(), 6)
        await self.standin.come_back(copy)
        self.assertEqual(await self.configure(7), revision)
        for _ in range(30):
            await self.standin.write("op/other", b"")
        self.assertEqual(await self.read_version(), 7)

    async def test_head_stays_while_the_store_has_an_older_one(self) -> None:
        """Guards against a head that goes back to the version in the copy."""
        await self.configure(5)
        copy = self.standin.take_copy()
        await self.configure(6)
        self.assertEqual(await self.read_version(), 6)
        await self.standin.come_back(copy)
        self.assertEqual(await self.read_version(), 6)
        await self.configure(6)
        self.assertEqual(await self.read_version(), 6)
        self.assertEqual(
            (
                await self.source.compile_head(await self.source.read_head())
            ).version,
            6,
        )
