"""Tests of the selection of upstreams during a roll-out."""

from __future__ import annotations

import collections
import unittest

from merlintrestle.rollouts import subsets
from merlintrestle.schema import control_pb2
from tests.rollouts import builders


class SubsetSelectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = builders.ServiceFixture(old=20, new=20)
        self.selector = subsets.SubsetSelector(self.fixture.tracker, 0.06)

    def count(self, calls: int) -> collections.Counter[str]:
        """Returns the number of calls by the versions that may run them."""
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            upstreams = self.choose()
            counts[
                " ".join(sorted({upstream.version for upstream in upstreams}))
            ] += 1
        return counts

    def count_new_upstreams(self) -> int:
        """Returns the number of upstreams of the new version that get calls."""
        chosen = [self.choose() for _ in range(1000)]
        return len(
            {
                upstream
                for upstreams in chosen
                for upstream in upstreams
                if upstream.version == "v2"
            }
        )

    def choose(self):
        """Returns the upstreams that one send may use."""
        return self.selector.choose(
            builders.SERVICE, self.fixture.upstreams
        ).upstreams

    def test_all_upstreams_serve_without_order(self):
        self.assertIs(self.choose(), self.fixture.upstreams)

    def test_new_version_gets_only_its_share(self):
        """Guards against a bad version that gets more than its share."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count(16), {"v1": 16})
        counts = self.count(10_000)
        self.assertLessEqual(counts["v2"], 601)
        self.assertGreaterEqual(counts["v2"], 599)

    def test_few_upstreams_on_trial_get_full_load(self):
        """Guards against a version that fails only under load."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count_new_upstreams(), 1)
        self.fixture.clock.now += 0.1
        trial = builders.build_trial(
            self.fixture.upstreams[20].member_id, 200, 2, watched_ms=3500
        )
        self.fixture.tracker.merge_trial(trial)
        self.assertEqual(self.count_new_upstreams(), 6)
        counts = self.count(10_000)
        self.assertAlmostEqual(counts["v2"], 3000, delta=2)

    def test_suspect_is_replaced_in_the_trial(self):
        """Guards against a trial that ends because of one faulty server."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        first = self.fixture.upstreams[20].member_id
        self.fixture.tracker.merge_trial(
            builders.build_trial(first, 30, 20, suspect=True)
        )
        chosen = {
            upstream.member_id for _ in range(100) for upstream in self.choose()
        }
        self.assertNotIn(first, chosen)
        self.assertIn(self.fixture.upstreams[21].member_id, chosen)

    def test_rolled_back_version_gets_no_calls(self):
        """Guards against calls to a version that is known to be bad."""
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count(100), {"v1": 100})
        self.fixture.upstreams = self.fixture.upstreams[20:]
        self.assertEqual(self.choose(), ())

    def test_complete_version_gets_all_calls(self):
        """Guards against calls to backend servers that were stopped."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count(100), {"v2": 100})
        # The old version serves again if no other upstream is left.
        self.fixture.upstreams = self.fixture.upstreams[:20]
        self.assertEqual(self.count(100), {"v1": 100})

    def test_later_version_serves_as_well(self):
        """Guards against upstreams that get no calls after a roll-out."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        unknown = builders.build_upstream("10.0.2.2:7600", "")
        self.fixture.upstreams = (*self.fixture.upstreams, later, unknown)
        self.assertEqual(self.count(10), {" v2 v3": 10})

    def test_unknown_version_is_neither_old_nor_new(self):
        """Guards against a bad version that serves after a daemon's restart."""
        unknown = self.fixture.upstreams[20]._replace(version="")
        self.fixture.upstreams = (*self.fixture.upstreams[:20], unknown)
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count(100), {"v1": 100})

    def test_next_order_groups_upstreams_again(self):
        """Guards against a reverse order that gets all calls while on trial."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})
        rollout = builders.build_rollout(number=8, version="v1")
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})

    def test_old_version_known_after_first_send_gets_no_calls(self):
        """Guards against calls to the old version after a daemon's start."""
        upstreams, self.fixture.upstreams = self.fixture.upstreams, ()
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.fixture.upstreams = upstreams
        self.choose()
        self.fixture.tracker.update(builders.SERVICE)
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count(16), {"v2": 16})

    def test_unknown_version_is_not_excluded_permanently(self):
        """Guards against a service without upstreams after a roll-out."""
        unknown = self.fixture.upstreams[0]._replace(version="")
        new = self.fixture.upstreams[20:]
        self.fixture.upstreams = (unknown, *new)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.choose(), ())
        self.fixture.clock.now += 15.0
        self.assertEqual(self.choose(), (unknown,))
        known = self.fixture.upstreams[0]._replace(version="v1")
        self.fixture.upstreams = (known, *new)
        self.assertEqual(self.choose(), (known,))

    def test_unknown_version_is_excluded_if_others_serve(self):
        """Guards against a bad version that serves after a daemon's restart."""
        unknown = self.fixture.upstreams[20]._replace(version="")
        self.fixture.upstreams = (*self.fixture.upstreams[:20], unknown)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        self.fixture.clock.now += 15.0
        self.assertEqual(self.count(100), {"v1": 100})

    def test_same_subset_is_the_same_tuple(self):
        """Guards against grouping upstreams for each call, not each change."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertIs(self.choose(), self.choose())
