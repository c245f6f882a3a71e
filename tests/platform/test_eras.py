"""Tests of the store that comes back from an older copy of its contents."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle import errors
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

    async def test_seeds_are_written_again(self) -> None:
        """Guards against starting daemons that find no peer in the store."""
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S / 2):
            copy = self.fleet.store.take_copy()
            while "merlintrestle/seeds/noord" not in self.fleet.store.keys:
                await asyncio.sleep(0.02)
            # By then the daemons know each other and have no news to write.
            await asyncio.sleep(3.0)
            await self.fleet.store.come_back(
                copy._replace(items={}, revision=1)
            )
            while "merlintrestle/seeds/noord" not in self.fleet.store.keys:
                await asyncio.sleep(0.02)

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


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls of one daemon to the store, across eras."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)
        self.copy = self.standin.take_copy()

    async def write(self, key: str, value: bytes = b"old") -> int:
        """Writes a key that does not exist; returns its revision."""
        reply = await self.store.put(key, value, 0)
        self.assertTrue(reply.written)
        return reply.entry.revision

    async def test_revisions_rise_from_era_to_era(self) -> None:
        """Guards against later writes that look older than earlier ones."""
        revision = await self.write("a")
        await self.write("b")
        await self.standin.come_back(self.copy)
        await self.store.get("a")
        self.assertGreater(await self.write("a"), revision)

    async def test_revision_of_an_earlier_era_replaces_and_deletes_nothing(
        self,
    ) -> None:
        """Guards against the loss of what another daemon wrote since."""
        revision = await self.write("a")
        await self.standin.come_back(self.copy)
        await self.store.get("a")
        newer_revision = await self.write("a", b"new")
        reply = await self.store.put("a", b"late", revision)
        self.assertFalse(reply.written)
        self.assertEqual(reply.entry.value, b"new")
        self.assertEqual(reply.entry.revision, newer_revision)
        self.assertFalse(await self.store.delete("a", revision))
        entry = await self.store.get("a")
        assert entry is not None
        self.assertEqual(entry.value, b"new")

    async def test_lease_of_an_earlier_era_has_ended(self) -> None:
        """Guards against a lease id that is another daemon's lease now."""
        lease_id = await self.store.grant_lease(60)
        await self.standin.come_back(self.copy)
        await self.store.get("a")
        other_lease_id = await self.store.grant_lease(1)
        self.assertNotEqual(other_lease_id, lease_id)
        self.assertEqual(await self.store.renew_lease(lease_id), 0)
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.put("a", b"x", 0, lease_id)

    async def test_write_that_meets_a_new_era_has_an_unknown_outcome(
        self,
    ) -> None:
        """Guards against writes that are confirmed for another revision."""
        await self.write("a")
        revision = await self.write("b")
        await self.standin.come_back(self.copy)
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("b", b"late", revision)

    async def test_watch_of_an_earlier_era_ends(self) -> None:
        """Guards against watches that miss the first writes of an era."""
        revision = await self.write("a")
        await self.standin.come_back(self.copy)
        for _ in range(5):
            await self.standin.write("op/other", b"")
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.read_events("a", revision, 1)

    async def test_late_answer_of_an_earlier_era_is_not_used(self) -> None:
        """Guards against data from before the store came back."""
        await self.write("a")
        self.standin.era = 2
        await self.store.get("a")
        self.standin.era = 1
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.get("a")
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("b", b"x", 0)

    async def test_malformed_era_is_logged_and_changes_nothing(self) -> None:
        """Guards against a malformed era that begins a new one."""
        revision = await self.write("a")
        for era in ("x", "-1", "1.5", "99999999"):
            with self.subTest(era=era):
                self.standin.era = era
                with self.assertLogs("merlintrestle.store", "WARNING"):
                    entry = await self.store.get("a")
                assert entry is not None
                self.assertEqual(entry.revision, revision)

    async def test_store_without_eras_is_used_as_before(self) -> None:
        """Guards against a store that must state an era."""
        self.standin.era = ""
        revision = await self.write("a")
        reply = await self.store.put("a", b"new", revision)
        self.assertTrue(reply.written)
        self.assertTrue(await self.store.delete("a", reply.entry.revision))
