"""Tests of anti-entropy and first contact."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
import unittest

from merlintrestle.members import anti_entropy
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from tests.members import builders

if TYPE_CHECKING:
    from collections.abc import Sequence


class Side:
    """A table and its exchange, on a fake network."""

    def __init__(
        self,
        network: builders.FakeNetwork,
        number: int,
        seeds: Sequence[str] = (),
    ):
        self.table = builders.build_table(number)
        self.exchange = anti_entropy.AntiEntropy(
            self.table,
            builders.FakePeerClient(network, self.table.local_id),
            None,
            seeds,
            builders.FAST_TIMING,
        )
        network.handlers[self.table.local_id] = {
            "Members": self.exchange.answer
        }

    def list_ids(self) -> set[str]:
        """Returns the ids of members that are not gone."""
        return set(self.table.list_usable_ids())


def find_neighbour(member_id: str) -> control_pb2.Member:
    """Returns a member of the same bucket as another."""
    bucket = table_lib.get_bucket(member_id)
    for number in itertools.count(10):
        member = builders.build_member(number)
        if table_lib.get_bucket(member.id) == bucket:
            return member
    raise AssertionError


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Tables of several daemons become the same."""

    async def asyncSetUp(self) -> None:
        self.network = builders.FakeNetwork()

    async def test_differing_tables_become_the_same(self) -> None:
        one, other = Side(self.network, 1), Side(self.network, 2)
        for number in range(10, 40):
            side = one if number % 2 else other
            side.table.merge(builders.build_member(number))
        await one.exchange.compare(other.table.local_id)
        self.assertEqual(one.table.digest, other.table.digest)
        self.assertEqual(len(one.list_ids()), 32)

    async def test_first_contact_by_a_seed(self) -> None:
        seed = Side(self.network, 1)
        for number in range(10, 20):
            side = Side(self.network, number)
            seed.table.merge(side.table.local_member)
            side.table.merge(seed.table.local_member)
            for other in range(10, number):
                side.table.merge(builders.build_member(other))
        joiner = Side(self.network, 2, [seed.table.local_id])
        await joiner.exchange.join()
        self.assertTrue(await joiner.exchange.wait_for_contact(0))
        await joiner.exchange.compare(seed.table.local_id)
        self.assertEqual(joiner.list_ids(), seed.list_ids())

    async def test_cut_regions_heal(self) -> None:
        """Two regions are cut for so long that each holds the other for dead.

        No links and no usable members lead across. Now and then a round goes
        to a member held for dead, which refutes; without that round both
        regions would stay apart for good.
        """
        one, other = Side(self.network, 1), Side(self.network, 2)
        for side, lost in ((one, other), (other, one)):
            side.table.merge(lost.table.local_member)
            side.table.set_state(lost.table.local_id, control_pb2.DEAD)
        for _ in range(100):
            await one.exchange.run_round()
        self.assertEqual(one.list_ids(), other.list_ids())
        self.assertEqual(len(one.list_ids()), 2)

    async def test_the_forgotten_are_not_taught_again(self) -> None:
        """One daemon remembers a dead member that another has forgotten.

        Were it told again, the two would remind each other in turns and the
        table would grow with every instance that was ever replaced.
        """
        one, other = Side(self.network, 1), Side(self.network, 2)
        dead = builders.build_member(9, 1, control_pb2.DEAD)
        one.table.merge(dead)
        one.table.merge(find_neighbour(dead.id))
        await one.exchange.compare(other.table.local_id)
        await other.exchange.compare(one.table.local_id)
        self.assertIsNone(other.table.get(dead.id))

    async def test_late_news_of_life_are_corrected(self) -> None:
        one, other = Side(self.network, 1), Side(self.network, 2)
        one.table.merge(builders.build_member(9, 1, control_pb2.DEAD))
        other.table.merge(builders.build_member(9))
        await other.exchange.compare(one.table.local_id)
        held = other.table.get(builders.build_member(9).id)
        assert held is not None
        self.assertTrue(table_lib.is_dead(held))

    async def test_a_member_that_does_not_answer_is_named(self) -> None:
        one = Side(self.network, 1)
        lost = builders.build_member(9)
        one.table.merge(lost)
        named = [await one.exchange.run_round() for _ in range(4)]
        self.assertEqual(named[-1], lost.id)


if __name__ == "__main__":
    unittest.main()
