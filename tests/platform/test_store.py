"""Tests of the client of the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle import connectors
from merlintrestle import errors
from merlintrestle.platform import store as stores
from merlintrestle.store import client
from standins import platform_store
from tests.platform import builders

# Six parts of an answer, as it travels over a full link.
_LARGE = bytes(64 * 1024)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The client against the stand-in."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)

    async def test_a_write_needs_the_expected_revision(self):
        written = await self.store.put("a", b"1", 0)
        self.assertTrue(written.written)
        again = await self.store.put("a", b"2", 0)
        self.assertFalse(again.written)
        self.assertEqual(again.entry.value, b"1")
        self.assertEqual(again.entry.revision, written.entry.revision)
        self.assertTrue(await self.store.delete("a", again.entry.revision))
        self.assertIsNone(await self.store.get("a"))

    async def test_a_range_has_pages(self):
        for number in range(3):
            await self.store.put(f"seeds/{number}", b"x", 0)
        with mock.patch.object(platform_store, "_PAGE_ITEMS", 2):
            found = await self.store.list("seeds/")
        self.assertEqual(
            [entry.key for entry in found], ["seeds/0", "seeds/1", "seeds/2"]
        )

    async def test_a_lease_ends(self):
        lease = await self.store.grant_lease(1)
        await self.store.put("a", b"1", 0, lease)
        self.assertEqual(await self.store.keep_lease(lease), 1)
        self.assertEqual(await self.store.keep_lease(lease + 1), 0)

    async def test_a_lost_answer_is_unknown(self):
        """An operator's own change may have been made and must be looked up.

        The store does the write and the connection ends without an answer.
        Reported as refused, the writer would take its own record for that of
        another.
        """
        self.standin.faults.lose_answers = 1
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("a", b"1", 0)
        entry = await self.store.get("a")
        assert entry is not None
        self.assertEqual(entry.value, b"1")

    async def test_a_refused_write_had_no_effect(self):
        for status in (503, 429):
            self.standin.faults.status = status
            with self.assertRaises(errors.StoreUnavailableError):
                await self.store.put("a", b"1", 0)

    async def test_a_silent_store_is_given_up(self):
        self.standin.faults.silent = True
        with (
            mock.patch.object(stores, "_TIMEOUT_S", 0.05),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(
                self.store._read("key", {"key": "a"}, 0.05), 5
            )

    async def test_a_value_may_take_longer_than_a_pause_may(self):
        """A watcher behind a thin link gets the version, if late.

        The value takes longer to arrive than the store may take to answer.
        Given up for its whole time it was asked for again at once, and the
        link stayed full of values that nobody took in.
        """
        await self.store.put("a", _LARGE, 0)
        self.standin.faults.pause_s = stores._TIMEOUT_S / 4
        entry = await asyncio.wait_for(self.store.get("a"), 20)
        assert entry is not None
        self.assertEqual(len(entry.value), len(_LARGE))

    async def test_a_value_that_does_not_end_is_given_up(self):
        await self.store.put("a", _LARGE, 0)
        self.standin.faults.pause_s = 0.1
        with (
            mock.patch.object(connectors, "_BODY_TIMEOUT_S", 0.2),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(self.store.get("a"), 20)

    async def test_an_answer_that_stops_is_given_up(self):
        await self.store.put("a", _LARGE, 0)
        self.standin.faults.pause_s = 3600
        with (
            mock.patch.object(stores, "_TIMEOUT_S", 0.2),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(self.store.get("a"), 20)

    async def test_a_cut_answer_is_an_error(self):
        """The daemon goes on with what it has, and says what came.

        The store's answer is cut in the middle; half an object must neither
        end a task nor be taken in part.
        """
        await self.store.put("a", b"1", 0)
        self.standin.faults.cut = True
        with self.assertRaises(errors.StoreError):
            await self.store.get("a")

    async def test_the_history_is_gone(self):
        """A version written while the history was dropped is not missed.

        The store compacts and cuts the watch. The watch ends with an error,
        and the one that follows begins with what stands in the store.
        """
        watch = self.store.watch("head", 0)
        await self.store.put("head", b"1", 0)
        self.assertEqual((await anext(watch)).value, b"1")
        waiting = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.05)
        entry = await self.store.get("head")
        assert entry is not None
        await self.standin.compact()
        # The watch that waits is from before the compaction.
        await self.standin.write("other", b"")
        await self.standin.compact()
        with self.assertRaises(errors.StoreUnavailableError):
            await asyncio.wait_for(waiting, 5)
        again = self.store.watch("head", 0)
        self.assertEqual((await anext(again)).value, b"1")
        assert isinstance(again, AsyncGenerator)
        await again.aclose()

    async def test_a_watch_of_what_was_just_read_reads_nothing(self):
        """The watchers of a fleet that starts read the value once.

        Others write their records meanwhile and move the revision. The watch
        goes on from the read, and the history names no change of the key.
        """
        await self.store.put("head", b"1", 0)
        _, at = await self.store.read_newest("head")
        await self.standin.write("other", b"")
        before = dict(self.standin.calls)
        watch = self.store.watch("head", at)
        waiting = asyncio.ensure_future(anext(watch))
        while "watch" not in self.standin.calls:
            await asyncio.sleep(0)
        await self.standin.write(stores.PRODUCT_PREFIX + "head", b"2")
        self.assertEqual((await asyncio.wait_for(waiting, 5)).value, b"2")
        self.assertEqual(self.standin.calls["range"], before["range"])
        assert isinstance(watch, AsyncGenerator)
        await watch.aclose()

    async def test_a_watch_that_falls_behind_takes_the_newest_alone(self):
        """A storm of changes does not outgrow the link of a watcher.

        Changes come faster than the link carries them. An answer brings all
        that came while the one before it travelled, so each takes longer than
        the last and the newest version comes later and later.
        """
        watch = self.store.watch("head", 0)
        await self.store.put("head", b"0", 0)
        self.assertEqual((await anext(watch)).value, b"0")
        # The watch was under way with an earlier answer meanwhile.
        for number in range(1, 6):
            await self.standin.write(
                stores.PRODUCT_PREFIX + "head", str(number).encode()
            )
        async with asyncio.timeout(5):
            self.assertEqual((await anext(watch)).value, b"5")
        self.assertEqual(self.standin.calls.get("watch", 0), 0)
        assert isinstance(watch, AsyncGenerator)
        await watch.aclose()


_FOREIGN = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["key", "value", "revision", "lease"]),
            inner,
        )
    ),
    max_leaves=4,
)


class ForeignEntryTest(unittest.TestCase):
    """Entries of another writer among those of the fleet's own."""

    @hypothesis.given(strategies.lists(_FOREIGN, max_size=4))
    def test_whatever_is_among_them_the_others_hold(
        self, foreign: list[object]
    ) -> None:
        """A starting daemon still finds its fleet.

        One entry cannot be read. Were the whole list given up for it, no
        daemon that starts would find another one until it is gone.
        """
        own = {
            "key": stores.PRODUCT_PREFIX + "seeds/noord",
            "value": "bm9kZS0x",
            "revision": 4,
        }
        found = stores.parse_entries([*foreign, own])
        self.assertEqual(found[-1].value, b"node-1")

    def test_a_value_that_cannot_be_read_can_be_written_anew(self) -> None:
        item = {"key": "merlintrestle/seeds/noord", "value": "?", "revision": 4}
        self.assertEqual(
            stores.parse_entries([item]), [client.Entry("seeds/noord", b"", 4)]
        )
