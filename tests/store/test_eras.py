"""Tests of the native store that comes back from an older copy."""

from __future__ import annotations

import math
import unittest

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import eras
from merlintrestle.store import records
from tests.requests import fakes
from tests.standins import builders


class StoreEraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.era = eras.StoreEra(self.clock.get_time)
        self.changes = 0
        self.era.on_change.append(self.count_change)

    def count_change(self) -> None:
        """Counts a notification of a new era."""
        self.changes += 1

    def test_first_known_era_is_not_new(self) -> None:
        """Guards against a daemon that starts and takes the era for new."""
        self.era.read("7")
        self.assertEqual(self.changes, 0)
        self.assertFalse(self.era.is_late(7))

    def test_each_later_era_is_new_also_after_era_zero(self) -> None:
        """Guards against an era that goes unnoticed."""
        for text in ("0", "1", "2", "2", "1"):
            self.era.read(text)
        self.assertEqual(self.changes, 2)
        self.assertTrue(self.era.is_late(1))

    def test_era_far_too_high_is_logged_and_changes_nothing(self) -> None:
        """Guards against one wrong answer that makes all others seem late."""
        self.era.read("1")
        with self.assertLogs("merlintrestle.store", "WARNING"):
            self.assertEqual(self.era.read("9000"), 1)
        self.assertFalse(self.era.is_late(1))

    def test_age_is_what_another_daemon_has_seen(self) -> None:
        """Guards against an old era that counts as new after a start."""
        self.era.read("1")
        self.assertEqual(self.era.get_age(), math.inf)
        self.era.read("2")
        self.clock.now += 1.0
        self.assertAlmostEqual(self.era.get_age(), 1.0)
        self.era.learn(2, 5.0)
        self.assertAlmostEqual(self.era.get_age(), 5.0)

    def test_numbers_of_later_eras_are_greater_and_never_equal(self) -> None:
        """Guards against revisions that are compared across eras."""
        self.assertGreater(eras.qualify(1, 2), eras.qualify(999_999, 1))
        self.assertEqual(eras.qualify(0, 3), 0)
        self.assertEqual(eras.get_number(eras.qualify(17, 3)), 17)
        self.assertEqual(eras.get_era(eras.qualify(17, 3)), 3)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = await builders.start_store(self)
        self.store = await builders.start_client(self, self.standin)
        self.contents = self.standin.servicer.key_value_store
        self.copy = self.contents.take_copy()

    async def test_era_that_the_client_has_not_heard_of_loses_nothing(
        self,
    ) -> None:
        """Guards against the loss of what another program wrote since.

        The store comes back and gives a revision out again. The client, which
        still knows the earlier era, replaces or deletes the key with it.
        """
        for method in ("put", "delete"):
            with self.subTest(method):
                await self.asyncSetUp()
                revision = (await self.store.put("a", b"old", 0)).entry.revision
                self.contents.come_back(self.copy)
                other = await builders.start_client(self, self.standin)
                written = await other.put("a", b"new", 0)
                self.assertEqual(
                    eras.get_number(written.entry.revision),
                    eras.get_number(revision),
                )
                with self.assertRaises(errors.StoreUnknownOutcomeError):
                    if method == "put":
                        await self.store.put("a", b"late", revision)
                    else:
                        await self.store.delete("a", revision)
                self.assertEqual(self.contents.get("a").value, b"new")

    async def test_revision_of_an_earlier_era_replaces_nothing(self) -> None:
        """Guards against the loss of what another daemon wrote since."""
        revision = (await self.store.put("a", b"old", 0)).entry.revision
        self.contents.come_back(self.copy)
        await self.store.get("a")
        newer = await self.store.put("a", b"new", 0)
        self.assertTrue(newer.written)
        self.assertGreater(newer.entry.revision, revision)
        reply = await self.store.put("a", b"late", revision)
        self.assertEqual((reply.written, reply.entry.value), (False, b"new"))
        self.assertFalse(await self.store.delete("a", revision))

    async def test_lease_of_an_earlier_era_has_ended(self) -> None:
        """Guards against a lease id that is another daemon's lease now."""
        lease_id = await self.store.grant_lease(60)
        self.contents.come_back(self.copy)
        await self.store.get("a")
        self.assertNotEqual(await self.store.grant_lease(1), lease_id)
        self.assertEqual(await self.store.renew_lease(lease_id), 0)
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.put("a", b"x", 0, lease_id)

    async def test_write_that_meets_a_new_era_has_an_unknown_outcome(
        self,
    ) -> None:
        """Guards against writes that are confirmed for another revision."""
        await self.store.get("a")
        self.contents.come_back(self.copy)
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("a", b"x", 0)

    async def test_accepted_change_that_is_lost_is_not_called_refused(
        self,
    ) -> None:
        """Guards against operators who are told that nothing was changed."""
        base = acceptance.build_head(document_pb2.Head(), "a", {}, b"")
        await acceptance.swap_head(self.store, base, 0, 0)
        copy = self.contents.take_copy()
        head, revision = await records.read_head(self.store)
        change = acceptance.build_head(head, "b", {}, b"")
        await acceptance.swap_head(self.store, change, revision, 0)
        self.contents.come_back(copy)
        await self.store.get("a")
        outcome = await acceptance.swap_head(self.store, change, revision, 0)
        self.assertIsInstance(outcome, acceptance.Undecided)
