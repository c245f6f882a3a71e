"""Tests of the member table and selections of members."""

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
record_lists = strategies.lists(records, max_size=12)


def merge_all(record_list: list[control_pb2.Member]) -> table_lib.MemberTable:
    """Merges records into a new table."""
    table = builders.build_table()
    for record in record_list:
        table.merge(record)
    return table


def serialize_other_members(table: table_lib.MemberTable) -> dict[str, bytes]:
    """Returns the serialized records of all members but the local one by id."""
    return {
        member.id: member.SerializeToString(deterministic=True)
        for member in table.list_members()
        if member.id != table.local_id
    }


class MergeTest(unittest.TestCase):
    """Properties of merging records."""

    @hypothesis.given(record_lists, strategies.randoms(use_true_random=False))
    def test_order_and_duplicates_do_not_matter(
        self, record_list: list[control_pb2.Member], random: random_lib.Random
    ) -> None:
        shuffled = record_list + record_list[:3]
        random.shuffle(shuffled)
        ordered, reordered = merge_all(record_list), merge_all(shuffled)
        self.assertEqual(
            serialize_other_members(ordered), serialize_other_members(reordered)
        )
        self.assertEqual(
            ordered.digest ^ _compute_local_digest(ordered),
            reordered.digest ^ _compute_local_digest(reordered),
        )

    @hypothesis.given(record_lists, record_lists)
    def test_merging_tables_is_associative(
        self, left: list[control_pb2.Member], right: list[control_pb2.Member]
    ) -> None:
        both = merge_all(left + right)
        joined = merge_all(left)
        for record in merge_all(right).list_members():
            if record.id != joined.local_id:
                joined.merge(record)
        self.assertEqual(
            serialize_other_members(both), serialize_other_members(joined)
        )

    @hypothesis.given(record_lists)
    def test_outdated_records_do_not_revive_a_member(
        self, record_list: list[control_pb2.Member]
    ) -> None:
        leaving = builders.build_member(
            2, incarnation=3, state=control_pb2.LEAVING, service="balie"
        )
        table = merge_all([leaving, *record_list])
        record = table.get(leaving.id)
        assert record is not None
        self.assertIn(record.state, (control_pb2.LEAVING, control_pb2.DEAD))
        ids = [upstream.member_id for upstream in table.get_upstreams("balie")]
        self.assertNotIn(leaving.id, ids)

    @hypothesis.given(record_lists)
    def test_digests_equal_those_of_a_new_table(
        self, record_list: list[control_pb2.Member]
    ) -> None:
        table = merge_all(record_list)
        new_table = table_lib.MemberTable(table.local_member)
        for record in table.list_members():
            new_table.merge(record)
        self.assertEqual(table.bucket_digests, new_table.bucket_digests)

    def test_a_daemon_refutes_its_own_death(self) -> None:
        """A paused daemon was declared dead and has resumed.

        It receives a record that declares it dead. Unless it raises its
        incarnation above that of the record, all other daemons ignore it
        permanently.
        """
        table = builders.build_table(1)
        table.merge(builders.build_member(1, 7, control_pb2.DEAD))
        self.assertEqual(table.local_member.state, control_pb2.ALIVE)
        peer_table = merge_all([])
        peer_table.merge(builders.build_member(2, 7, control_pb2.DEAD))
        self.assertEqual(table.local_member.incarnation, 8)

    def test_gone_members_are_removed_after_the_retention(self) -> None:
        now = [0.0]
        table = table_lib.MemberTable(
            builders.build_member(1), get_time=lambda: now[0]
        )
        dead = builders.build_member(2, 1, control_pb2.DEAD)
        table.merge(dead)
        table.remove_gone()
        self.assertIsNotNone(table.get(dead.id))
        now[0] = table_lib.GONE_RETENTION_S + 1
        table.remove_gone()
        self.assertIsNone(table.get(dead.id))


class UpstreamsTest(unittest.TestCase):
    """The upstreams of a service, as used by the proxy."""

    def test_same_tuple_until_the_service_changes(self) -> None:
        table = builders.build_table()
        table.merge(builders.build_member(2, service="balie"))
        before = table.get_upstreams("balie")
        table.merge(builders.build_member(3, service="kassa"))
        self.assertIs(table.get_upstreams("balie"), before)
        table.merge(builders.build_member(4, service="balie"))
        self.assertEqual(len(table.get_upstreams("balie")), 2)

    def test_suspects_are_marked_and_gone_members_excluded(self) -> None:
        table = builders.build_table()
        for number, state in enumerate(STATES, start=2):
            table.merge(builders.build_member(number, 1, state, service="s"))
        upstreams = table.get_upstreams("s")
        self.assertEqual(
            [upstream.suspect for upstream in upstreams], [False, True]
        )

    def test_leaving_and_draining_backends_are_excluded(self) -> None:
        table = builders.build_table()
        table.set_backend(builders.build_backend("balie"))
        self.assertEqual(len(table.get_upstreams("balie")), 1)
        table.set_backend(builders.build_backend("balie", control_pb2.DRAINING))
        self.assertEqual(table.get_upstreams("balie"), ())
        table.set_backend(builders.build_backend("balie"))
        table.leave()
        self.assertEqual(table.get_upstreams("balie"), ())
        self.assertEqual(table.local_member.backend.state, control_pb2.DRAINING)


class MemberSelectionTest(unittest.TestCase):
    """A selection equals a new selection from the whole table."""

    @hypothesis.given(record_lists, strategies.booleans())
    def test_follows_the_table(
        self, record_list: list[control_pb2.Member], include_dead: bool
    ) -> None:
        table = builders.build_table()
        selected = selection.MemberSelection(
            table, "key", 2, include_dead=include_dead
        )
        for record in record_list:
            table.merge(record)
            eligible = [
                member.id
                for member in table.list_members()
                if member.id != table.local_id
                and (
                    not table_lib.is_gone(member)
                    or (include_dead and table_lib.is_dead(member))
                )
            ]
            expected = rendezvous.choose("key", eligible, 2)
            self.assertEqual(selected.get(), expected)

    @hypothesis.given(record_lists)
    def test_follows_link_speed_changes(
        self, record_list: list[control_pb2.Member]
    ) -> None:
        table = builders.build_table()
        selected = selection.MemberSelection(
            table, "key", 2, "zone-a", prefer_fast_links=True
        )
        for record in record_list:
            table.merge(record)
            eligible = [
                member
                for member in table.list_members()
                if member.id != table.local_id
                and member.zone == "zone-a"
                and not table_lib.is_gone(member)
            ]
            expected = selection.choose_by_link_speed("key", eligible, 2)
            self.assertEqual(selected.get(), expected)

    def test_fast_links_come_first_and_slow_ones_fill_the_rest(self) -> None:
        """Guards against downloads by watchers that delay calls on slow links.

        Two hosts of a zone have fast links. If a daemon with a slow link were a
        watcher, each configuration would occupy that link for half a second.
        """
        slow = [builders.build_member(n, link_mbps=3.25) for n in range(2, 20)]
        fast = [builders.build_member(n, link_mbps=50.0) for n in (20, 21)]
        for key in ("watch/a", "watch/b", "watch/c"):
            with self.subTest(key):
                chosen = selection.choose_by_link_speed(key, [*slow, *fast], 2)
                self.assertEqual(set(chosen), {fast[0].id, fast[1].id})
                # One of the two fails, then both.
                chosen = selection.choose_by_link_speed(
                    key, [*slow, fast[0]], 2
                )
                self.assertEqual(chosen[0], fast[0].id)
                ids = [member.id for member in slow]
                self.assertEqual(
                    selection.choose_by_link_speed(key, slow, 2),
                    rendezvous.choose(key, ids, 2),
                )

    def test_unknown_link_speeds_change_no_selection(self) -> None:
        members = [builders.build_member(number) for number in range(2, 20)]
        ids = [member.id for member in members]
        self.assertEqual(
            selection.choose_by_link_speed("key", members, 3),
            rendezvous.choose("key", ids, 3),
        )

    def test_removing_a_member_changes_only_its_own_selections(self) -> None:
        names = [f"daemon-{number}" for number in range(50)]
        changed_count = 0
        for key in names:
            before = rendezvous.choose(key, names, 1)
            after = rendezvous.choose(key, names[1:], 1)
            changed_count += before != after and before != names[:1]
        self.assertEqual(changed_count, 0)


def _compute_local_digest(table: table_lib.MemberTable) -> int:
    """Returns the digest of the local record, which contains a start time."""
    new_table = table_lib.MemberTable(table.local_member)
    return new_table.digest


class OrderTest(unittest.TestCase):
    """Every order of the records of one incarnation, not only samples."""

    def test_all_orders_end_in_the_same_state(self) -> None:
        record_list = [builders.build_member(2, 1, state) for state in STATES]
        for order in itertools.permutations(record_list):
            table = merge_all(list(order))
            record = table.get(record_list[0].id)
            assert record is not None
            self.assertEqual(record.state, control_pb2.DEAD)


if __name__ == "__main__":
    unittest.main()
