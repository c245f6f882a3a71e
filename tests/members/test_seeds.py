"""Records by which a daemon finds its first peer."""

from __future__ import annotations

import asyncio
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

    async def test_two_parts_of_a_fleet_that_write_at_once(self) -> None:
        """Callers of both parts find all upstreams.

        All daemons start at once, and a few of a zone meet only each other.
        Both parts find no record and write one; the slower one's write is
        refused. Nobody ever read the other part's record, and its daemons knew
        two upstreams of fourteen for the next twenty seconds.
        """
        store = fakes.FakeStore()
        turn = asyncio.Barrier(2)

        async def wait(method: str, key: str) -> None:
            del key
            if method == "put":
                await turn.wait()

        store.before_call = wait
        found = await asyncio.gather(
            seeds.write_seeds(store, "noord", ["127.0.0.1:9001"]),
            seeds.write_seeds(store, "noord", ["127.0.0.1:9002"]),
        )
        self.assertIn(
            found, ([[], ["127.0.0.1:9001"]], [["127.0.0.1:9002"], []])
        )
