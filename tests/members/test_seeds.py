"""Tests of the seed records in the store."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.members import seeds as seeds_lib
from tests.store import fakes


class SeedsTest(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_record(self) -> None:
        """The record of a zone was overwritten with other data.

        A starting daemon uses the records of the other zones. An exception from
        the decoder would end the task of the first contact, and with it every
        starting daemon. The record is valid again after its zone has written
        it.
        """
        store = fakes.FakeStore()
        await store.put(seeds_lib.KEY_PREFIX + "noord", b"\xff\xff", 0)
        await seeds_lib.write_seeds(store, "zuid", ["127.0.0.1:9001"])
        addresses = await seeds_lib.read_seeds(store)
        self.assertEqual(addresses, ["127.0.0.1:9001"])
        await seeds_lib.write_seeds(store, "noord", ["127.0.0.1:9002"])
        addresses = await seeds_lib.read_seeds(store)
        self.assertEqual(addresses, ["127.0.0.1:9002", "127.0.0.1:9001"])

    async def test_seed_that_is_not_an_address(self) -> None:
        """A record from another writer contains an id that is not an address.

        Contacting it would raise an exception. A starting daemon contacts the
        other members of the record.
        """
        store = fakes.FakeStore()
        await seeds_lib.write_seeds(store, "noord", ["lost", "127.0.0.1:9002"])
        addresses = await seeds_lib.read_seeds(store)
        self.assertEqual(addresses, ["127.0.0.1:9002"])

    async def test_two_partitions_write_at_once(self) -> None:
        """Two partitions of a fleet both find no record and write one.

        This happens if all daemons start at once and a few daemons of a zone
        contact only each other. The slower write is refused and must return the
        record of the other partition. Otherwise the two partitions would not
        find each other until the next check of the records: for 20 s, the
        daemons of one would know only two of fourteen upstreams.
        """
        store = fakes.FakeStore()
        both_writing = asyncio.Barrier(2)

        async def wait(method: str, key: str) -> None:
            del key
            if method == "put":
                await both_writing.wait()

        store.before_call = wait
        addresses = await asyncio.gather(
            seeds_lib.write_seeds(store, "noord", ["127.0.0.1:9001"]),
            seeds_lib.write_seeds(store, "noord", ["127.0.0.1:9002"]),
        )
        self.assertIn(
            addresses, ([[], ["127.0.0.1:9001"]], [["127.0.0.1:9002"], []])
        )
