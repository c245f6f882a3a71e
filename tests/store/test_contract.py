"""Tests for the contract that both store clients must meet."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

from merlintrestle import errors
from merlintrestle.store import client
from standins import faults
from tests.platform import builders as platform_builders
from tests.standins import builders as standin_builders

_TEST_TIMEOUT_S = 30.0


class Contract:
    """Tests of a store that a subclass starts.

    Attributes:
        store: The client under test.
    """

    store: Any

    async def lose_answer(self) -> None:
        """Makes the store apply the next write and lose its answer."""
        raise NotImplementedError

    async def refuse(self) -> None:
        """Makes the store refuse every call."""
        raise NotImplementedError

    async def test_missing_key(self: Any) -> None:
        self.assertIsNone(await self.store.get("a"))
        self.assertEqual(await self.store.list("a"), [])

    async def test_a_write_creates_a_key_once(self: Any) -> None:
        """If two writers find that a key is missing, only one can create it."""
        first = await self.store.put("a", b"1", 0)
        second = await self.store.put("a", b"2", 0)
        self.assertTrue(first.written)
        self.assertFalse(second.written)
        self.assertEqual(second.entry, first.entry)
        self.assertEqual(await self.store.get("a"), first.entry)

    async def test_a_write_needs_the_last_revision(self: Any) -> None:
        first = (await self.store.put("a", b"1", 0)).entry
        changed = await self.store.put("a", b"2", first.revision)
        self.assertTrue(changed.written)
        self.assertGreater(changed.entry.revision, first.revision)
        conflicting = await self.store.put("a", b"3", first.revision)
        self.assertFalse(conflicting.written)
        self.assertEqual(conflicting.entry.value, b"2")

    async def test_a_write_needs_its_conditions(self: Any) -> None:
        """Guards against a write that ignores what other keys must be."""
        other = (await self.store.put("b", b"1", 0)).entry
        for revision in (0, other.revision + 1):
            condition = client.Condition("b", revision)
            refused = await self.store.put("a", b"1", 0, 0, (condition,))
            self.assertFalse(refused.written)
            self.assertEqual(refused.unmet, (other,))
            self.assertEqual(refused.entry.revision, 0)
        conditions = (
            client.Condition("b", other.revision),
            client.Condition("c", 0),
        )
        written = await self.store.put("a", b"1", 0, 0, conditions)
        self.assertTrue(written.written)
        self.assertEqual(written.unmet, ())

    async def test_a_delete_needs_the_last_revision(self: Any) -> None:
        first = (await self.store.put("a", b"1", 0)).entry
        second = (await self.store.put("a", b"2", first.revision)).entry
        self.assertFalse(await self.store.delete("a", first.revision))
        self.assertTrue(await self.store.delete("a", second.revision))
        self.assertIsNone(await self.store.get("a"))

    async def test_keys_are_listed_in_order(self: Any) -> None:
        for name in ("seeds/b", "seeds/a", "seeds/c", "other"):
            await self.store.put(name, name.encode(), 0)
        entries = await self.store.list("seeds/")
        self.assertEqual(
            [entry.key for entry in entries], ["seeds/a", "seeds/b", "seeds/c"]
        )
        (after,) = await self.store.list("seeds/", after="seeds/a", limit=1)
        self.assertEqual(after.key, "seeds/b")

    async def test_a_watch_yields_newer_entries(self: Any) -> None:
        first = (await self.store.put("a", b"1", 0)).entry
        watch = self.store.watch("a", first.revision)
        next_entry = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.05)
        second = (await self.store.put("a", b"2", first.revision)).entry
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            self.assertEqual(await next_entry, second)
        await watch.aclose()

    async def test_bytes_are_returned_unchanged(self: Any) -> None:
        value = bytes(range(256))
        await self.store.put("a", value, 0)
        self.assertEqual((await self.store.get("a")).value, value)

    async def test_a_lost_answer_is_unknown(self: Any) -> None:
        """The writer reads the key to find out if the write took effect."""
        await self.lose_answer()
        with self.assertRaises(errors.StoreUnknownOutcomeError):
            await self.store.put("a", b"1", 0)
        self.assertEqual((await self.store.get("a")).value, b"1")

    async def test_a_refused_read_is_an_error(self: Any) -> None:
        """A store that refuses must not look like one without the key."""
        await self.refuse()
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.get("a")
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.list("a")


class NativeStoreTest(Contract, unittest.IsolatedAsyncioTestCase):
    """The native store, over gRPC."""

    async def asyncSetUp(self) -> None:
        self.standin = await standin_builders.start_store(self)
        self.store = await standin_builders.start_client(self, self.standin)

    async def lose_answer(self) -> None:
        await self.standin.set_faults(faults.StoreFaults(lose_answers=1))

    async def refuse(self) -> None:
        await self.standin.set_faults(
            faults.StoreFaults(faults.Outage.UNAVAILABLE)
        )


class PlatformStoreTest(Contract, unittest.IsolatedAsyncioTestCase):
    """The platform's store, over HTTP."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await platform_builders.start_store(self)

    async def lose_answer(self) -> None:
        self.standin.faults.lose_answers = 1

    async def refuse(self) -> None:
        self.standin.faults.status = 503
