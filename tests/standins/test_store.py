"""Tests of the store stand-in through the product's own client."""

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
    """Calls of a store that is well."""

    async def asyncSetUp(self) -> None:
        self.store = await builders.start_store(self)
        self.client = await builders.start_client(self, self.store)

    async def test_second_writer_of_a_revision_loses(self) -> None:
        first = await self.client.put("head", b"a", 0)
        second = await self.client.put("head", b"b", 0)
        self.assertTrue(first.written)
        self.assertFalse(second.written)
        self.assertEqual(second.entry, first.entry)

    async def test_value_over_a_megabyte_is_refused(self) -> None:
        largest = b"x" * keyvalue.MAX_VALUE_BYTES
        reply = await self.client.put("key", largest, 0)
        self.assertTrue(reply.written)
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.client.put("key", largest + b"x", reply.entry.revision)
        entry = await self.client.get("key")
        assert entry is not None
        self.assertEqual(entry, reply.entry)

    async def test_watch_sends_the_newest_at_once_then_changes(self) -> None:
        first = await self.client.put("head", b"1", 0)
        async with contextlib.aclosing(
            self.client.watch("head", 0)  # type: ignore[type-var]
        ) as stream:
            seen = await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
            self.assertEqual(seen, first.entry)
            second = await self.client.put("head", b"2", seen.revision)
            seen = await asyncio.wait_for(anext(stream), _TEST_TIMEOUT_S)
            self.assertEqual(seen, second.entry)

    async def test_calls_and_waiting_watches_are_counted(self) -> None:
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
    """Calls of a store that fails."""

    async def asyncSetUp(self) -> None:
        self.store = await builders.start_store(self)
        self.client = await builders.start_client(self, self.store)

    async def test_lost_answer_of_a_write_that_took_effect(self) -> None:
        """The writer is told nothing although its write stands.

        The store applies the write and drops the answer, as the platform
        does at times. Only a read tells the writer what became of it.
        """
        await self.store.set_faults(faults.StoreFaults(lose_answers=1))
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.client.put("head", b"1", 0)
        entry = await self.client.get("head")
        assert entry is not None
        self.assertEqual(entry.value, b"1")
        reply = await self.client.put("head", b"2", entry.revision)
        self.assertTrue(reply.written)

    async def test_every_outage_fails_calls_and_watches_then_ends(self) -> None:
        """Reads fail and an open watch ends in an outage, and heal after it.

        A refused port and a refused call look alike to the client; each ends
        the watch that was open, so that a watcher notices.
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
        impatient = await builders.start_client(self, self.store, 0.2)
        await impatient.get("head")
        hanging = faults.StoreFaults(faults.Outage.HANGING)
        await self.store.set_faults(hanging)
        with self.assertRaises(errors.StoreUnavailableError):
            await impatient.get("head")

    async def test_stale_reads_answer_from_before_the_fault(self) -> None:
        """A read shows the old value although a newer one was written.

        Reads are frozen as they were when the fault began; compare-and-swap
        still judges by what is really stored.
        """
        first = await self.client.put("head", b"old", 0)
        await self.store.set_faults(faults.StoreFaults(stale=True))
        reply = await self.client.put("head", b"new", first.entry.revision)
        self.assertTrue(reply.written)
        self.assertEqual(await self.client.get("head"), first.entry)
        self.assertEqual(await self.client.list(""), [first.entry])
        await self.store.set_faults(faults.StoreFaults())
        self.assertEqual(await self.client.get("head"), reply.entry)

    async def test_stale_reads_answer_from_what_was_remembered(self) -> None:
        first = await self.client.put("head", b"old", 0)
        self.store.servicer.take_snapshot()
        await self.client.put("head", b"new", first.entry.revision)
        await self.store.set_faults(faults.StoreFaults(stale=True))
        self.assertEqual(await self.client.get("head"), first.entry)


async def _wait_until_answered(store: client.StoreClient) -> None:
    """Returns once a read is answered; gRPC connects again by itself."""
    while True:
        with contextlib.suppress(errors.StoreUnavailableError):
            await store.get("head")
            return
        await asyncio.sleep(0.05)


class FaultParsingTest(unittest.TestCase):
    """Faults as the control port takes them."""

    def test_unknown_faults_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            faults.parse_faults({"outage": "odd"})
        with self.assertRaises(TypeError):
            faults.parse_faults({"odd": 1})


if __name__ == "__main__":
    unittest.main()
