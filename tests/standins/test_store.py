"""Tests for the store stand-in with the client of the native store."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
import unittest

from merlintrestle import errors
from standins import faults
from standins import keyvalue
from tests.standins import builders

if TYPE_CHECKING:
    from merlintrestle.store import client

_TEST_TIMEOUT_S = 20.0


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Tests calls of a store without faults."""

    async def asyncSetUp(self) -> None:
        self.store = await builders.start_store(self)
        self.client = await builders.start_client(self, self.store)

    async def test_second_write_of_a_revision_fails(self) -> None:
        """A write with an outdated revision does not overwrite a newer value.

        Two writers expect the same revision; the second one is refused and
        learns the entry of the first one.
        """
        first_reply = await self.client.put("head", b"a", 0)
        second_reply = await self.client.put("head", b"b", 0)
        self.assertTrue(first_reply.written)
        self.assertFalse(second_reply.written)
        self.assertEqual(second_reply.entry, first_reply.entry)

    async def test_value_over_a_megabyte_is_rejected(self) -> None:
        """A value that is one byte too large changes nothing.

        The client raises the same error for every failed write, so only a read
        shows that the entry is unchanged.
        """
        largest_value = b"x" * keyvalue.MAX_VALUE_BYTES
        reply = await self.client.put("key", largest_value, 0)
        self.assertTrue(reply.written)
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.client.put(
                "key", largest_value + b"x", reply.entry.revision
            )
        entry = await self.client.get("key")
        assert entry is not None
        self.assertEqual(entry, reply.entry)

    async def test_watch_sends_the_newest_entry_and_then_changes(self) -> None:
        """A watch misses neither the entry before its start nor a later one."""
        first_reply = await self.client.put("head", b"1", 0)
        async with contextlib.aclosing(
            self.client.watch("head", 0)  # type: ignore[type-var]
        ) as stream:
            entry = await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
            self.assertEqual(entry, first_reply.entry)
            second_reply = await self.client.put("head", b"2", entry.revision)
            entry = await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
            self.assertEqual(entry, second_reply.entry)

    async def test_calls_and_open_watches_are_counted(self) -> None:
        """Counters contain calls by kind and by first segment of the key."""
        await self.client.get("documents/a")
        await self.client.put("head", b"1", 0)
        stream = self.client.watch("head", 0)
        await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
        counters = self.store.read_counters()
        self.assertEqual(counters["waiting_watches"], 1)
        self.assertEqual(counters["calls"]["get documents"], 1)
        self.assertEqual(counters["calls"]["put"], 1)
        self.assertEqual(counters["calls"]["watch head"], 1)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Tests calls of a store with faults."""

    async def asyncSetUp(self) -> None:
        self.store = await builders.start_store(self)
        self.client = await builders.start_client(self, self.store)

    async def test_write_takes_effect_although_its_answer_is_lost(self) -> None:
        """A writer gets no answer although its write took effect.

        The store applies the write and drops the answer, as the platform
        sometimes does. Only a read tells the writer the outcome.
        """
        await self.store.set_faults(faults.StoreFaults(lose_answers=1))
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.client.put("head", b"1", 0)
        entry = await self.client.get("head")
        assert entry is not None
        self.assertEqual(entry.value, b"1")
        reply = await self.client.put("head", b"2", entry.revision)
        self.assertTrue(reply.written)

    async def test_outages_fail_calls_and_watches_until_they_end(self) -> None:
        """Reads fail and an open watch ends in an outage; later reads succeed.

        The client cannot tell a closed port from a rejected call. Both end the
        open watch, so that the watcher notices the outage.
        """
        await self.client.put("head", b"1", 0)
        for outage in (faults.Outage.UNAVAILABLE, faults.Outage.REFUSED):
            with self.subTest(outage=outage):
                stream = self.client.watch("head", 0)
                await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
                await self.store.set_faults(faults.StoreFaults(outage))
                with self.assertRaises(errors.StoreUnavailableError):
                    await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
                with self.assertRaises(errors.StoreUnavailableError):
                    await self.client.get("head")
                await self.store.set_faults(faults.StoreFaults())
                async with asyncio.timeout(_TEST_TIMEOUT_S):
                    await _wait_until_answered(self.client)

    async def test_hanging_store_never_answers(self) -> None:
        """A read fails by its timeout only, since the store hangs."""
        short_timeout_client = await builders.start_client(
            self, self.store, 0.2
        )
        await short_timeout_client.get("head")
        hanging_faults = faults.StoreFaults(faults.Outage.HANGING)
        await self.store.set_faults(hanging_faults)
        with self.assertRaises(errors.StoreUnavailableError):
            await short_timeout_client.get("head")

    async def test_stale_reads_return_entries_from_before_the_fault(
        self,
    ) -> None:
        """A read returns the old value although a newer one was written.

        Reads return the entries from when the fault began; compare-and-swap
        still compares with the entries that are really stored.
        """
        first_reply = await self.client.put("head", b"old", 0)
        await self.store.set_faults(faults.StoreFaults(stale=True))
        reply = await self.client.put(
            "head", b"new", first_reply.entry.revision
        )
        self.assertTrue(reply.written)
        self.assertEqual(await self.client.get("head"), first_reply.entry)
        self.assertEqual(await self.client.list(""), [first_reply.entry])
        await self.store.set_faults(faults.StoreFaults())
        self.assertEqual(await self.client.get("head"), reply.entry)

    async def test_stale_reads_return_the_earlier_snapshot(self) -> None:
        """A read returns the snapshot, not the entry when the fault began."""
        first_reply = await self.client.put("head", b"old", 0)
        self.store.servicer.take_snapshot()
        await self.client.put("head", b"new", first_reply.entry.revision)
        await self.store.set_faults(faults.StoreFaults(stale=True))
        self.assertEqual(await self.client.get("head"), first_reply.entry)


async def _wait_until_answered(store: client.StoreClient) -> None:
    """Reads until a read is answered; gRPC reconnects by itself."""
    while True:
        with contextlib.suppress(errors.StoreUnavailableError):
            await store.get("head")
            return
        await asyncio.sleep(0.05)


class FaultParsingTest(unittest.TestCase):
    """Tests the parser of the faults that the control port receives."""

    def test_unknown_faults_are_rejected(self) -> None:
        with self.assertRaises(ValueError):
            faults.parse_faults({"outage": "odd"})
        with self.assertRaises(TypeError):
            faults.parse_faults({"odd": 1})


if __name__ == "__main__":
    unittest.main()
