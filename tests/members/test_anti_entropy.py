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


class Node:
    """A member table and its anti-entropy on a fake network."""

    def __init__(
        self,
        network: builders.FakeNetwork,
        number: int,
        seeds: Sequence[str] = (),
    ):
        self.table = builders.build_table(number)
        self.anti_entropy = anti_entropy.AntiEntropy(
            self.table,
            builders.FakePeerClient(network, self.table.local_id),
            None,
            seeds,
            builders.FAST_TIMING,
        )
        network.handlers[self.table.local_id] = {
            "Members": self.anti_entropy.answer
        }

    def list_ids(self) -> set[str]:
        """Returns the ids of members that are not gone."""
        return set(self.table.list_usable_ids())


def find_member_in_same_bucket(member_id: str) -> control_pb2.Member:
    """Returns a member in the same bucket as another."""
    bucket = table_lib.get_bucket(member_id)
    for number in itertools.count(10):
        member = builders.build_member(number)
        if table_lib.get_bucket(member.id) == bucket:
            return member
    raise AssertionError


class AntiEntropyTest(unittest.IsolatedAsyncioTestCase):
    """Anti-entropy makes the tables of several daemons equal."""

    async def asyncSetUp(self) -> None:
        self.network = builders.FakeNetwork()

    async def test_makes_differing_tables_equal(self) -> None:
        first, second = Node(self.network, 1), Node(self.network, 2)
        for number in range(10, 40):
            node = first if number % 2 else second
            node.table.merge(builders.build_member(number))
        await first.anti_entropy.compare(second.table.local_id)
        self.assertEqual(first.table.digest, second.table.digest)
        self.assertEqual(len(first.list_ids()), 32)

    async def test_first_contact_by_a_seed(self) -> None:
        seed = Node(self.network, 1)
        for number in range(10, 20):
            node = Node(self.network, number)
            seed.table.merge(node.table.local_member)
            node.table.merge(seed.table.local_member)
            for earlier in range(10, number):
                node.table.merge(builders.build_member(earlier))
        joiner = Node(self.network, 2, [seed.table.local_id])
        await joiner.anti_entropy.join()
        self.assertTrue(await joiner.anti_entropy.wait_for_contact(0))
        await joiner.anti_entropy.compare(seed.table.local_id)
        self.assertEqual(joiner.list_ids(), seed.list_ids())

    async def test_partitioned_regions_reconnect(self) -> None:
        """Two regions were partitioned until each considered the other dead.

        No link and no usable member connects them. Occasionally a round
        contacts a dead member, which refutes; without such rounds the regions
        would stay partitioned for good.
        """
        first, second = Node(self.network, 1), Node(self.network, 2)
        for node, lost in ((first, second), (second, first)):
            node.table.merge(lost.table.local_member)
            node.table.set_state(lost.table.local_id, control_pb2.DEAD)
        for _ in range(100):
            await first.anti_entropy.run_round()
        self.assertEqual(first.list_ids(), second.list_ids())
        self.assertEqual(len(first.list_ids()), 2)

    async def test_removed_members_are_not_sent_again(self) -> None:
        """A daemon holds a dead member that another one has removed.

        If the record were sent, the two daemons would keep returning it to each
        other, and the tables would grow with each replaced instance.
        """
        first, second = Node(self.network, 1), Node(self.network, 2)
        dead = builders.build_member(9, 1, control_pb2.DEAD)
        first.table.merge(dead)
        first.table.merge(find_member_in_same_bucket(dead.id))
        await first.anti_entropy.compare(second.table.local_id)
        await second.anti_entropy.compare(first.table.local_id)
        self.assertIsNone(second.table.get(dead.id))

    async def test_outdated_live_record_is_corrected(self) -> None:
        first, second = Node(self.network, 1), Node(self.network, 2)
        first.table.merge(builders.build_member(9, 1, control_pb2.DEAD))
        second.table.merge(builders.build_member(9))
        await second.anti_entropy.compare(first.table.local_id)
        record = second.table.get(builders.build_member(9).id)
        assert record is not None
        self.assertTrue(table_lib.is_dead(record))

    async def test_round_returns_a_member_that_does_not_answer(self) -> None:
        first = Node(self.network, 1)
        lost = builders.build_member(9)
        first.table.merge(lost)
        returned = [await first.anti_entropy.run_round() for _ in range(4)]
        self.assertEqual(returned[-1], lost.id)


if __name__ == "__main__":
    unittest.main()
