"""Tests of the choice of upstreams during a roll-out."""

from __future__ import annotations

import collections
import unittest

from merlintrestle.rollouts import subsets as lanes_lib
from merlintrestle.schema import control_pb2
from tests.rollouts import builders


class LanesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = builders.Site(before=20, new=20)
        self.lanes = lanes_lib.SubsetSelector(self.site.book, 0.06)

    def count(self, calls: int) -> collections.Counter[str]:
        """Returns how many calls may go to each set of versions."""
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            lane = self.choose()
            counts[" ".join(sorted({one.version for one in lane}))] += 1
        return counts

    def count_tried(self) -> int:
        """Returns how many backend servers of the new version get calls."""
        lanes = [self.choose() for _ in range(1000)]
        return len(
            {one for lane in lanes for one in lane if one.version == "v2"}
        )

    def choose(self):
        """Returns the upstreams of one send."""
        return self.lanes.choose(
            builders.SERVICE, self.site.upstreams
        ).upstreams

    def test_without_an_order_all_upstreams_serve(self):
        self.assertIs(self.choose(), self.site.upstreams)

    def test_a_new_version_gets_its_part_alone(self):
        """Guards against a bad version that gets more than its part."""
        self.site.book.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count(16), {"v1": 16})
        counts = self.count(10_000)
        self.assertLessEqual(counts["v2"], 601)
        self.assertGreaterEqual(counts["v2"], 599)

    def test_few_are_on_trial_and_get_full_load(self):
        """Guards against a version that fails only under load."""
        self.site.book.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count_tried(), 1)
        self.site.clock.now += 0.1
        seen = builders.build_trial(
            self.site.upstreams[20].member_id, 200, 2, watched_ms=3500
        )
        self.site.book.merge_trial(seen)
        self.assertEqual(self.count_tried(), 6)
        counts = self.count(10_000)
        self.assertAlmostEqual(counts["v2"], 3000, delta=2)

    def test_another_takes_the_place_of_a_suspect(self):
        """Guards against a trial that ends with one sick backend server."""
        self.site.book.merge_rollout(builders.build_rollout())
        first = self.site.upstreams[20].member_id
        self.site.book.merge_trial(
            builders.build_trial(first, 30, 20, suspect=True)
        )
        tried = {one.member_id for _ in range(100) for one in self.choose()}
        self.assertNotIn(first, tried)
        self.assertIn(self.site.upstreams[21].member_id, tried)

    def test_a_version_that_went_back_gets_nothing(self):
        """Guards against calls for a version that is known to be bad."""
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.count(100), {"v1": 100})
        self.site.upstreams = self.site.upstreams[20:]
        self.assertEqual(self.choose(), ())

    def test_a_complete_version_gets_all(self):
        """Guards against calls for backend servers that were stopped."""
        self.site.book.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.count(100), {"v2": 100})
        # Those of the version before may serve again, if only they do.
        self.site.upstreams = self.site.upstreams[:20]
        self.assertEqual(self.count(100), {"v1": 100})

    def test_a_later_version_serves_as_well(self):
        """Guards against upstreams that nobody calls after a roll-out."""
        self.site.book.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.site.book.merge_rollout(rollout)
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        unknown = builders.build_upstream("10.0.2.2:7600", "")
        self.site.upstreams = (*self.site.upstreams, later, unknown)
        self.assertEqual(self.count(10), {" v2 v3": 10})

    def test_one_that_says_no_version_is_of_neither(self):
        """Guards against a bad version that serves as its daemon restarts."""
        unknown = self.site.upstreams[20]._replace(version="")
        self.site.upstreams = (*self.site.upstreams[:20], unknown)
        self.site.book.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count(100), {"v1": 100})

    def test_another_order_divides_anew(self):
        """Guards against an order back that gets all calls while on trial."""
        self.site.book.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})
        rollout = builders.build_rollout(number=8, version="v1")
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})

    def test_a_version_heard_after_the_first_send_gets_nothing(self):
        """Guards against calls for the version before at a daemon's start."""
        upstreams, self.site.upstreams = self.site.upstreams, ()
        self.site.book.merge_rollout(builders.build_rollout())
        self.site.upstreams = upstreams
        self.choose()
        self.site.book.update(builders.SERVICE)
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})

    def test_those_that_never_say_a_version_are_not_left_out_for_good(self):
        """Guards against a service without upstreams after a roll-out."""
        unknown = self.site.upstreams[0]._replace(version="")
        new = self.site.upstreams[20:]
        self.site.upstreams = (unknown, *new)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.site.book.merge_rollout(rollout)
        self.assertEqual(self.choose(), ())
        self.site.clock.now += 15.0
        self.assertEqual(self.choose(), (unknown,))
        stated = self.site.upstreams[0]._replace(version="v1")
        self.site.upstreams = (stated, *new)
        self.assertEqual(self.choose(), (stated,))

    def test_one_that_says_no_version_is_left_out_where_others_serve(self):
        """Guards against a bad version that serves as its daemon restarts."""
        unknown = self.site.upstreams[20]._replace(version="")
        self.site.upstreams = (*self.site.upstreams[:20], unknown)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.site.book.merge_rollout(rollout)
        self.site.clock.now += 15.0
        self.assertEqual(self.count(100), {"v1": 100})

    def test_the_same_lane_is_the_same_tuple(self):
        """Guards against work for each call that is owed for each change."""
        self.site.book.merge_rollout(builders.build_rollout())
        self.assertIs(self.choose(), self.choose())
