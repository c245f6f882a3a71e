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
        # With a share of 0.06, the first call to the new version is the 17th.
        self.selector = subsets.SubsetSelector(self.fixture.tracker, 0.06)

    def count_by_version(self, calls: int) -> collections.Counter[str]:
        """Returns the number of calls for each set of versions.

        A key of the result contains the versions to which calls may be sent,
        separated by spaces. The unknown version is an empty string.
        """
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            upstreams = self.choose()
            counts[
                " ".join(sorted({upstream.version for upstream in upstreams}))
            ] += 1
        return counts

    def count_new_upstreams(self) -> int:
        """Returns the number of upstreams of the new version that get calls."""
        subsets_of_calls = [self.choose() for _ in range(1000)]
        return len(
            {
                upstream
                for upstreams in subsets_of_calls
                for upstream in upstreams
                if upstream.version == "v2"
            }
        )

    def choose(self):
        """Returns the upstreams to which the next call may be sent."""
        return self.selector.choose(
            builders.SERVICE, self.fixture.upstreams
        ).upstreams

    def test_all_upstreams_get_calls_without_order(self):
        """Guards against upstreams that get no calls before any roll-out."""
        self.assertIs(self.choose(), self.fixture.upstreams)

    def test_new_version_gets_only_its_share(self):
        """Guards against a bad version that gets more calls than allowed."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count_by_version(16), {"v1": 16})
        counts = self.count_by_version(10_000)
        self.assertLessEqual(counts["v2"], 601)
        self.assertGreaterEqual(counts["v2"], 599)

    def test_few_upstreams_on_trial_get_full_load(self):
        """Guards against accepting a version that fails only under load."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count_new_upstreams(), 1)
        self.fixture.clock.now += 0.1
        report = builders.build_report(
            self.fixture.upstreams[20].member_id, 200, 2, watched_ms=3500
        )
        self.fixture.tracker.merge_report(report)
        # The shared phase: 0.3 of the upstreams and 0.3 of the calls.
        self.assertEqual(self.count_new_upstreams(), 6)
        counts = self.count_by_version(10_000)
        self.assertAlmostEqual(counts["v2"], 3000, delta=2)

    def test_suspect_is_replaced_in_trial_phase(self):
        """Guards against a rollback because of one faulty server."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        suspect_id = self.fixture.upstreams[20].member_id
        self.fixture.tracker.merge_report(
            builders.build_report(suspect_id, 30, 20, suspect=True)
        )
        chosen_ids = {
            upstream.member_id for _ in range(100) for upstream in self.choose()
        }
        self.assertNotIn(suspect_id, chosen_ids)
        self.assertIn(self.fixture.upstreams[21].member_id, chosen_ids)

    def test_rolled_back_version_gets_no_calls(self):
        """Guards against calls to a version that is known to be bad."""
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count_by_version(100), {"v1": 100})
        self.fixture.upstreams = self.fixture.upstreams[20:]
        self.assertEqual(self.choose(), ())

    def test_complete_version_gets_all_calls(self):
        """Guards against calls to backend servers that were stopped."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count_by_version(100), {"v2": 100})
        # The old version gets calls again if there are no other upstreams.
        self.fixture.upstreams = self.fixture.upstreams[:20]
        self.assertEqual(self.count_by_version(100), {"v1": 100})

    def test_later_version_gets_calls_as_well(self):
        """Guards against later upstreams that get no calls."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        unknown = builders.build_upstream("10.0.2.2:7600", "")
        self.fixture.upstreams = (*self.fixture.upstreams, later, unknown)
        self.assertEqual(self.count_by_version(10), {" v2 v3": 10})

    def test_unknown_version_is_neither_old_nor_new(self):
        """Guards against calls to a bad version after its daemon's restart."""
        unknown = self.fixture.upstreams[20]._replace(version="")
        self.fixture.upstreams = (*self.fixture.upstreams[:20], unknown)
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertEqual(self.count_by_version(100), {"v1": 100})

    def test_next_order_groups_upstreams_again(self):
        """Guards against reusing the grouping of the previous roll-out.

        If the service is then moved back to v1, v1 would get all calls in its
        trial phase.
        """
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count_by_version(16), {"v2": 16})
        rollout = builders.build_rollout(number=8, version="v1")
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count_by_version(16), {"v2": 16})

    def test_old_version_known_after_first_call_gets_no_calls(self):
        """Guards against calls to the old version after a daemon's start.

        The upstreams are grouped for the first call before the tracker knows
        the old version.
        """
        upstreams, self.fixture.upstreams = self.fixture.upstreams, ()
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.fixture.upstreams = upstreams
        self.choose()
        self.fixture.tracker.update(builders.SERVICE)
        rollout = builders.build_rollout(state=control_pb2.COMPLETE)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.count_by_version(16), {"v2": 16})

    def test_unknown_version_is_not_excluded_permanently(self):
        """Guards against a service without upstreams after a roll-out."""
        unknown = self.fixture.upstreams[0]._replace(version="")
        new = self.fixture.upstreams[20:]
        self.fixture.upstreams = (unknown, *new)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        self.assertEqual(self.choose(), ())
        # More than `tracker._VERSION_TIMEOUT_S`, 10 s.
        self.fixture.clock.now += 15.0
        self.assertEqual(self.choose(), (unknown,))
        known = self.fixture.upstreams[0]._replace(version="v1")
        self.fixture.upstreams = (known, *new)
        self.assertEqual(self.choose(), (known,))

    def test_unknown_version_is_excluded_if_old_version_remains(self):
        """Guards against calls to a bad version after its daemon's restart."""
        unknown = self.fixture.upstreams[20]._replace(version="")
        self.fixture.upstreams = (*self.fixture.upstreams[:20], unknown)
        rollout = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rollout)
        # More than `tracker._VERSION_TIMEOUT_S`, 10 s.
        self.fixture.clock.now += 15.0
        self.assertEqual(self.count_by_version(100), {"v1": 100})

    def test_same_subset_is_the_same_tuple(self):
        """Guards against regrouping the upstreams for every call."""
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        self.assertIs(self.choose(), self.choose())
