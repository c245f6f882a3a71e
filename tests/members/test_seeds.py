"""Records by which a daemon finds its first peer."""

from __future__ import annotations

import unittest

from merlintrestle.members import seeds
from tests.store import fakes


class SeedsTest(unittest.IsolatedAsyncioTestCase):
    async def test_record_that_cannot_be_read(self) -> None:
        """A starting daemon joins by the other zones' records.

        The record of one zone was overwritten by something else. An error of
        its decoder would end the task that joins, and with it every daemon
        that starts; whole again is the record once its zone writes it.
        """
        store = fakes.FakeStore()
        await store.put(seeds.PREFIX + "noord", b"\xff\xff", 0)
        await seeds.write_seeds(store, "zuid", ["127.0.0.1:9001"])
        found = await seeds.read_seeds(store)
        self.assertEqual(found, ["127.0.0.1:9001"])
        await seeds.write_seeds(store, "noord", ["127.0.0.1:9002"])
        found = await seeds.read_seeds(store)
        self.assertEqual(found, ["127.0.0.1:9002", "127.0.0.1:9001"])

    async def test_seed_that_is_no_address(self) -> None:
        """A starting daemon asks the others that the record names.

        Another writer's bytes happen to be a record, and name something to
        which no connection can be made; asking it would raise.
        """
        store = fakes.FakeStore()
        await seeds.write_seeds(store, "noord", ["lost", "127.0.0.1:9002"])
        found = await seeds.read_seeds(store)
        self.assertEqual(found, ["127.0.0.1:9002"])
