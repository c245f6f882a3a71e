"""Tests for the client of the platform's store."""

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

# Sent by the stand-in in six parts, as over a full link.
_LARGE_VALUE = bytes(64 * 1024)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Tests the client with the stand-in for the store."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)

    async def test_a_write_needs_the_expected_revision(self):
        """Guards against writes that overwrite another writer's change."""
        written = await self.store.put("a", b"1", 0)
        self.assertTrue(written.written)
        refused = await self.store.put("a", b"2", 0)
        self.assertFalse(refused.written)
        self.assertEqual(refused.entry.value, b"1")
        self.assertEqual(refused.entry.revision, written.entry.revision)
        self.assertTrue(await self.store.delete("a", refused.entry.revision))
        self.assertIsNone(await self.store.get("a"))

    async def test_a_list_continues_over_pages(self):
        """Guards against lists that end with the first page."""
        for number in range(3):
            await self.store.put(f"seeds/{number}", b"x", 0)
        with mock.patch.object(platform_store, "_MAX_PAGE_ITEMS", 2):
            found = await self.store.list("seeds/")
        self.assertEqual(
            [entry.key for entry in found], ["seeds/0", "seeds/1", "seeds/2"]
        )

    async def test_renewing_an_unknown_lease_returns_0(self):
        """Guards against a writer that relies on a lease that has ended."""
        lease = await self.store.grant_lease(1)
        await self.store.put("a", b"1", 0, lease)
        self.assertEqual(await self.store.renew_lease(lease), 1)
        self.assertEqual(await self.store.renew_lease(lease + 1), 0)

    async def test_the_outcome_of_a_write_without_response_is_unknown(self):
        """Guards against a writer that mistakes its record for another's.

        The store performs the write and the connection ends without a
        response. The write may have succeeded, so the writer must look it up.
        If it were reported as refused, the writer would attribute its own
        record to another writer.
        """
        self.standin.faults.lose_answers = 1
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("a", b"1", 0)
        entry = await self.store.get("a")
        assert entry is not None
        self.assertEqual(entry.value, b"1")

    async def test_a_refused_write_had_no_effect(self):
        """Guards against refused writes that are reported as unknown."""
        for status in (503, 429):
            self.standin.faults.status = status
            with self.assertRaises(errors.StoreUnavailableError):
                await self.store.put("a", b"1", 0)

    async def test_a_read_of_a_silent_store_times_out(self):
        """Guards against reads that wait forever for a silent store."""
        self.standin.faults.hang = True
        with (
            mock.patch.object(stores, "_TIMEOUT_S", 0.05),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(
                self.store._read("key", {"key": "a"}, 0.05), 5
            )

    async def test_a_value_may_take_longer_than_the_timeout(self):
        """Guards against versions that never arrive over a slow link.

        The value takes longer to arrive than the store may take to respond.
        With a timeout for the whole response, it would be aborted and
        requested again at once, and the link would stay full of values that
        are never used.
        """
        await self.store.put("a", _LARGE_VALUE, 0)
        self.standin.faults.chunk_delay_s = stores._TIMEOUT_S / 4
        entry = await asyncio.wait_for(self.store.get("a"), 20)
        assert entry is not None
        self.assertEqual(len(entry.value), len(_LARGE_VALUE))

    async def test_a_value_that_does_not_end_times_out(self):
        """Guards against reads that wait forever for a very slow response."""
        await self.store.put("a", _LARGE_VALUE, 0)
        self.standin.faults.chunk_delay_s = 0.1
        with (
            mock.patch.object(connectors, "_BODY_TIMEOUT_S", 0.2),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(self.store.get("a"), 20)

    async def test_a_response_that_stops_times_out(self):
        """Guards against reads that wait forever within a response."""
        await self.store.put("a", _LARGE_VALUE, 0)
        self.standin.faults.chunk_delay_s = 3600
        with (
            mock.patch.object(stores, "_TIMEOUT_S", 0.2),
            self.assertRaises(errors.StoreUnavailableError),
        ):
            await asyncio.wait_for(self.store.get("a"), 20)

    async def test_a_truncated_response_is_an_error(self):
        """Guards against truncated responses that end a task or are applied.

        The response of the store is cut in the middle. The daemon must keep
        its state and report the error.
        """
        await self.store.put("a", b"1", 0)
        self.standin.faults.truncate_answers = True
        with self.assertRaises(errors.StoreError):
            await self.store.get("a")

    async def test_a_watch_ends_when_the_history_is_dropped(self):
        """Guards against a version that is missed while the history is dropped.

        The store compacts its history and ends the watch. The watch raises an
        error, and the next one starts with the current value.
        """
        watch = self.store.watch("head", 0)
        await self.store.put("head", b"1", 0)
        self.assertEqual((await anext(watch)).value, b"1")
        next_entry = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.05)
        entry = await self.store.get("head")
        assert entry is not None
        await self.standin.compact()
        # A watch ends only if it started before the compacted revision. The
        # first compaction reaches just that start, so a second one follows.
        await self.standin.write("other", b"")
        await self.standin.compact()
        with self.assertRaises(errors.StoreUnavailableError):
            await asyncio.wait_for(next_entry, 5)
        next_watch = self.store.watch("head", 0)
        self.assertEqual((await anext(next_watch)).value, b"1")
        assert isinstance(next_watch, AsyncGenerator)
        await next_watch.aclose()

    async def test_a_watch_after_a_read_does_not_read_again(self):
        """Guards against watchers of a starting fleet that read a value twice.

        Between the read and the watch, other daemons write their records and
        increase the revision. The watch continues from the read, and the
        history contains no change of the key.
        """
        await self.store.put("head", b"1", 0)
        _, revision = await self.store.read_newest("head")
        await self.standin.write("other", b"")
        calls_before = dict(self.standin.call_counts)
        watch = self.store.watch("head", revision)
        next_entry = asyncio.ensure_future(anext(watch))
        while "watch" not in self.standin.call_counts:
            await asyncio.sleep(0)
        await self.standin.write(stores.PRODUCT_PREFIX + "head", b"2")
        self.assertEqual((await asyncio.wait_for(next_entry, 5)).value, b"2")
        self.assertEqual(
            self.standin.call_counts["range"], calls_before["range"]
        )
        assert isinstance(watch, AsyncGenerator)
        await watch.aclose()

    async def test_a_watch_that_falls_behind_yields_only_the_newest(self):
        """Guards against a watch that falls ever further behind on a slow link.

        Changes occur faster than the link transfers them. If a response
        contained all changes since the previous one, each would take longer
        than the last, and the newest version would arrive later and later.
        """
        watch = self.store.watch("head", 0)
        await self.store.put("head", b"0", 0)
        self.assertEqual((await anext(watch)).value, b"0")
        # These changes occur while no request of the watch waits, as during the
        # transfer of an earlier response.
        for number in range(1, 6):
            await self.standin.write(
                stores.PRODUCT_PREFIX + "head", str(number).encode()
            )
        async with asyncio.timeout(5):
            self.assertEqual((await anext(watch)).value, b"5")
        self.assertEqual(self.standin.call_counts.get("watch", 0), 0)
        assert isinstance(watch, AsyncGenerator)
        await watch.aclose()


_OTHER_WRITER_ENTRIES = strategies.recursive(
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


class OtherWriterEntryTest(unittest.TestCase):
    """Tests for entries of other writers among those of the fleet."""

    @hypothesis.given(strategies.lists(_OTHER_WRITER_ENTRIES, max_size=4))
    def test_malformed_entries_do_not_affect_the_others(
        self, other_writer_entries: list[object]
    ) -> None:
        """Guards against daemons that cannot find their fleet at the start.

        One entry is malformed. If the whole list were discarded, no starting
        daemon would find another until that entry is removed.
        """
        valid_entry = {
            "key": stores.PRODUCT_PREFIX + "seeds/noord",
            "value": "bm9kZS0x",
            "revision": 4,
        }
        found = stores.parse_entries([*other_writer_entries, valid_entry])
        self.assertEqual(found[-1].value, b"node-1")

    def test_a_malformed_value_can_be_overwritten(self) -> None:
        """Guards against a malformed value that blocks its key forever."""
        item = {"key": "merlintrestle/seeds/noord", "value": "?", "revision": 4}
        self.assertEqual(
            stores.parse_entries([item]), [client.Entry("seeds/noord", b"", 4)]
        )
