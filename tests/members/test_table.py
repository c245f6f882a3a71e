"""Tests of the member table and of choices from it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.members import rendezvous
from merlintrestle.members import selection
from merlintrestle.members import table as table_lib
from merlintrestle.schema import control_pb2
from tests.members import builders

if TYPE_CHECKING:
    import random as random_lib

STATES = (
    control_pb2.ALIVE,
    control_pb2.SUSPECT,
    control_pb2.LEAVING,
    control_pb2.DEAD,
)

records = strategies.builds(
    builders.build_member,
    number=strategies.integers(2, 5),
    incarnation=strategies.integers(1, 3),
    state=strategies.sampled_from(STATES),
    zone=strategies.sampled_from(("zone-a", "zone-b")),
    service=strategies.sampled_from(("", "balie", "kassa")),
    link_mbps=strategies.sampled_from((0.0, 3.25, 10.0, 50.0)),
)
histories = strategies.lists(records, max_size=12)


def merge_all(history: list[control_pb2.Member]) -> table_lib.MemberTable:
    """Merges records into a fresh table."""
    table = builders.build_table()
    for record in history:
        table.merge(record)
    return table


def describe(table: table_lib.MemberTable) -> dict[str, bytes]:
    """Returns the records of other members as bytes."""
    return {
        member.id: member.SerializeToString(deterministic=True)
        for member in table.list_members()
        if member.id != table.local_id
    }


class MergeTest(unittest.TestCase):
    """Properties of merging."""

    @hypothesis.given(histories, strategies.randoms(use_true_random=False))
    def test_order_and_duplicates_do_not_matter(
        self, history: list[control_pb2.Member], random: random_lib.Random
    ) -> None:
        shuffled = history + history[:3]
        random.shuffle(shuffled)
        one, other = merge_all(history), merge_all(shuffled)
        self.assertEqual(describe(one), describe(other))
        self.assertEqual(one.digest ^ _own(one), other.digest ^ _own(other))

    @hypothesis.given(histories, histories)
    def test_merging_tables_is_associative(
        self, left: list[control_pb2.Member], right: list[control_pb2.Member]
    ) -> None:
        both = merge_all(left + right)
        joined = merge_all(left)
        for record in merge_all(right).list_members():
            if record.id != joined.local_id:
                joined.merge(record)
        self.assertEqual(describe(both), describe(joined))

    @hypothesis.given(histories)
    def test_old_news_resurrect_nobody(
        self, history: list[control_pb2.Member]
    ) -> None:
        left = builders.build_member(
            2, incarnation=3, state=control_pb2.LEAVING, service="balie"
        )
        table = merge_all([left, *history])
        held = table.get(left.id)
        assert held is not None
        self.assertIn(held.state, (control_pb2.LEAVING, control_pb2.DEAD))
        ids = [up.member_id for up in table.get_upstreams("balie")]
        self.assertNotIn(left.id, ids)

    @hypothesis.given(histories)
    def test_digests_are_those_of_a_fresh_table(
        self, history: list[control_pb2.Member]
    ) -> None:
        table = merge_all(history)
        fresh = table_lib.MemberTable(table.local_member)
        for record in table.list_members():
            fresh.merge(record)
        self.assertEqual(table.bucket_digests, fresh.bucket_digests)

    def test_a_daemon_refutes_its_own_death(self) -> None:
        """A paused daemon was declared dead and runs again.

        It hears that it is dead. Unless it raises its incarnation above the
        one it is dead at, everyone keeps ignoring it for good.
        """
        table = builders.build_table(1)
        table.merge(builders.build_member(1, 7, control_pb2.DEAD))
        self.assertEqual(table.local_member.state, control_pb2.ALIVE)
        other = merge_all([])
        other.merge(builders.build_member(2, 7, control_pb2.DEAD))
        self.assertEqual(table.local_member.incarnation, 8)

    def test_forgotten_only_after_the_memory(self) -> None:
        now = [0.0]
        table = table_lib.MemberTable(
            builders.build_member(1), clock=lambda: now[0]
        )
        dead = builders.build_member(2, 1, control_pb2.DEAD)
        table.merge(dead)
        table.forget_gone()
        self.assertIsNotNone(table.get(dead.id))
        now[0] = table_lib.GONE_MEMORY_S + 1
        table.forget_gone()
        self.assertIsNone(table.get(dead.id))


class UpstreamsTest(unittest.TestCase):
    """What the proxy reads."""

    def test_same_tuple_until_the_service_changes(self) -> None:
        table = builders.build_table()
        table.merge(builders.build_member(2, service="balie"))
        before = table.get_upstreams("balie")
        table.merge(builders.build_member(3, service="kassa"))
        self.assertIs(table.get_upstreams("balie"), before)
        table.merge(builders.build_member(4, service="balie"))
        self.assertEqual(len(table.get_upstreams("balie")), 2)

    def test_suspects_are_marked_and_the_gone_left_out(self) -> None:
        table = builders.build_table()
        for number, state in enumerate(STATES, start=2):
            table.merge(builders.build_member(number, 1, state, service="s"))
        found = table.get_upstreams("s")
        self.assertEqual([up.suspect for up in found], [False, True])

    def test_leaving_and_draining_take_no_work(self) -> None:
        table = builders.build_table()
        table.set_backend(builders.build_backend("balie"))
        self.assertEqual(len(table.get_upstreams("balie")), 1)
        table.set_backend(builders.build_backend("balie", control_pb2.DRAINING))
        self.assertEqual(table.get_upstreams("balie"), ())
        table.set_backend(builders.build_backend("balie"))
        table.leave()
        self.assertEqual(table.get_upstreams("balie"), ())
        self.assertEqual(table.local_member.backend.state, control_pb2.DRAINING)


class ChoiceTest(unittest.TestCase):
    """A standing choice is what choosing anew would give."""

    @hypothesis.given(histories, strategies.booleans())
    def test_follows_the_table(
        self, history: list[control_pb2.Member], with_dead: bool
    ) -> None:
        table = builders.build_table()
        standing = selection.MemberSelection(
            table, "key", 2, with_dead=with_dead
        )
        for record in history:
            table.merge(record)
            fitting = [
                member.id
                for member in table.list_members()
                if member.id != table.local_id
                and (
                    not table_lib.is_gone(member)
                    or (with_dead and table_lib.is_dead(member))
                )
            ]
            wanted = rendezvous.choose("key", fitting, 2)
            self.assertEqual(standing.get(), wanted)

    @hypothesis.given(histories)
    def test_follows_the_links(self, history: list[control_pb2.Member]) -> None:
        table = builders.build_table()
        standing = selection.MemberSelection(
            table, "key", 2, "zone-a", by_link=True
        )
        for record in history:
            table.merge(record)
            fitting = [
                member
                for member in table.list_members()
                if member.id != table.local_id
                and member.zone == "zone-a"
                and not table_lib.is_gone(member)
            ]
            wanted = selection.choose_by_link_speed("key", fitting, 2)
            self.assertEqual(standing.get(), wanted)

    def test_wide_links_go_first_and_thin_ones_make_up_the_number(self) -> None:
        """Calls behind thin links do not wait behind what watchers take in.

        Two hosts of a zone have wide links. With the watch at a daemon behind
        a thin one, each configuration fills that link for half a second.
        """
        thin = [builders.build_member(n, link_mbps=3.25) for n in range(2, 20)]
        wide = [builders.build_member(n, link_mbps=50.0) for n in (20, 21)]
        for key in ("watch/a", "watch/b", "watch/c"):
            with self.subTest(key):
                chosen = selection.choose_by_link_speed(key, [*thin, *wide], 2)
                self.assertEqual(set(chosen), {wide[0].id, wide[1].id})
                # One of them fails, then both.
                chosen = selection.choose_by_link_speed(
                    key, [*thin, wide[0]], 2
                )
                self.assertEqual(chosen[0], wide[0].id)
                ids = [member.id for member in thin]
                self.assertEqual(
                    selection.choose_by_link_speed(key, thin, 2),
                    rendezvous.choose(key, ids, 2),
                )

    def test_links_that_are_not_known_change_no_choice(self) -> None:
        members = [builders.build_member(number) for number in range(2, 20)]
        ids = [member.id for member in members]
        self.assertEqual(
            selection.choose_by_link_speed("key", members, 3),
            rendezvous.choose("key", ids, 3),
        )

    def test_one_member_less_changes_few_choices(self) -> None:
        names = [f"daemon-{number}" for number in range(50)]
        moved = 0
        for key in names:
            before = rendezvous.choose(key, names, 1)
            after = rendezvous.choose(key, names[1:], 1)
            moved += before != after and before != names[:1]
        self.assertEqual(moved, 0)


def _own(table: table_lib.MemberTable) -> int:
    """Returns the digest of the own record, which holds the start time."""
    alone = table_lib.MemberTable(table.local_member)
    return alone.digest


# Every order of a few records of one member, without sampling.
class OrderTest(unittest.TestCase):
    """All orders of the states of one incarnation."""

    def test_all_orders_end_in_the_same_state(self) -> None:
        history = [builders.build_member(2, 1, state) for state in STATES]
        for order in itertools.permutations(history):
            table = merge_all(list(order))
            held = table.get(history[0].id)
            assert held is not None
            self.assertEqual(held.state, control_pb2.DEAD)


if __name__ == "__main__":
    unittest.main()
