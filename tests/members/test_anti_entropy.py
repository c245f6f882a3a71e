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


class SimulatedDaemon:
    """A member table with anti-entropy on a fake network."""

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
        """Returns the ids of usable members."""
        return set(self.table.list_usable_ids())


def find_member_in_same_bucket(member_id: str) -> control_pb2.Member:
    """Returns a new member in the same bucket as the given one."""
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
        first, second = (
            SimulatedDaemon(self.network, 1),
            SimulatedDaemon(self.network, 2),
        )
        for number in range(10, 40):
            daemon = first if number % 2 else second
            daemon.table.merge(builders.build_member(number))
        await first.anti_entropy.compare(second.table.local_id)
        self.assertEqual(first.table.digest, second.table.digest)
        self.assertEqual(len(first.list_ids()), 32)

    async def test_first_contact_by_a_seed(self) -> None:
        """A starting daemon gets the table from a member found by a seed.

        Each member knows only the seed and the members that started before it,
        so the received table may be incomplete. A comparison with the seed
        completes it.
        """
        seed = SimulatedDaemon(self.network, 1)
        for number in range(10, 20):
            daemon = SimulatedDaemon(self.network, number)
            seed.table.merge(daemon.table.local_member)
            daemon.table.merge(seed.table.local_member)
            for earlier in range(10, number):
                daemon.table.merge(builders.build_member(earlier))
        joiner = SimulatedDaemon(self.network, 2, [seed.table.local_id])
        await joiner.anti_entropy.join()
        self.assertTrue(await joiner.anti_entropy.wait_for_contact(0))
        await joiner.anti_entropy.compare(seed.table.local_id)
        self.assertEqual(joiner.list_ids(), seed.list_ids())

    async def test_partitioned_regions_reconnect(self) -> None:
        """Two regions were partitioned until each considered the other dead.

        No link and no usable member connects them. Occasionally, a round
        contacts a dead member, which refutes its death. Without such rounds,
        the regions would stay partitioned permanently.
        """
        first, second = (
            SimulatedDaemon(self.network, 1),
            SimulatedDaemon(self.network, 2),
        )
        for daemon, peer in ((first, second), (second, first)):
            daemon.table.merge(peer.table.local_member)
            daemon.table.set_state(peer.table.local_id, control_pb2.DEAD)
        for _ in range(100):
            await first.anti_entropy.run_round()
        self.assertEqual(first.list_ids(), second.list_ids())
        self.assertEqual(len(first.list_ids()), 2)

    async def test_removed_members_are_not_sent_again(self) -> None:
        """A daemon still holds a dead member that its peer has removed.

        If the record were sent, the two daemons would return it to each other
        endlessly, and the tables would grow with each replaced instance.
        """
        first, second = (
            SimulatedDaemon(self.network, 1),
            SimulatedDaemon(self.network, 2),
        )
        dead = builders.build_member(9, 1, control_pb2.DEAD)
        first.table.merge(dead)
        first.table.merge(find_member_in_same_bucket(dead.id))
        await first.anti_entropy.compare(second.table.local_id)
        await second.anti_entropy.compare(first.table.local_id)
        self.assertIsNone(second.table.get(dead.id))

    async def test_outdated_live_record_is_corrected(self) -> None:
        """Guards against dead members that some daemons keep as alive."""
        first, second = (
            SimulatedDaemon(self.network, 1),
            SimulatedDaemon(self.network, 2),
        )
        first.table.merge(builders.build_member(9, 1, control_pb2.DEAD))
        second.table.merge(builders.build_member(9))
        await second.anti_entropy.compare(first.table.local_id)
        record = second.table.get(builders.build_member(9).id)
        assert record is not None
        self.assertTrue(table_lib.is_dead(record))

    async def test_round_returns_a_member_that_does_not_answer(self) -> None:
        """Guards against failed members whose failure is never checked.

        The caller starts a check of the returned member. Only one of four
        rounds makes a comparison if no difference is known.
        """
        daemon = SimulatedDaemon(self.network, 1)
        silent_member = builders.build_member(9)
        daemon.table.merge(silent_member)
        returned_ids = [await daemon.anti_entropy.run_round() for _ in range(4)]
        self.assertEqual(returned_ids[-1], silent_member.id)


if __name__ == "__main__":
    unittest.main()
