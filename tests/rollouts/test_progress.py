"""Tests of the progress of a roll-out and of its baseline."""

from __future__ import annotations

import unittest

from tests.rollouts import builders

_UNKNOWN = "10.0.0.0:7600"


class ProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = builders.ServiceFixture()
        unknown = builders.build_upstream(_UNKNOWN, "")
        self.fixture.upstreams = (unknown, *self.fixture.upstreams)
        self.fixture.tracker.merge_rollout(builders.build_rollout())

    def announce_version(self, version: str) -> None:
        """Sets the version of the backend server whose version was unknown."""
        upstream = builders.build_upstream(_UNKNOWN, version)
        self.fixture.upstreams = (upstream, *self.fixture.upstreams[1:])
        self.fixture.tracker.update(builders.SERVICE)

    def test_unknown_version_is_neither_old_nor_new(self) -> None:
        """Guards against waiting for a server of the new version to drain."""
        progress = self.fixture.progress
        self.assertNotIn(_UNKNOWN, progress.old_ids | progress.all_new_ids)
        self.assertNotIn(_UNKNOWN, progress.list_baseline_ids(9))
        self.announce_version("v1")
        self.assertIn(_UNKNOWN, progress.old_ids)
        self.announce_version("")
        self.assertNotIn(_UNKNOWN, progress.old_ids)
        self.announce_version("v2")
        self.assertNotIn(_UNKNOWN, progress.old_ids)
        self.assertIn(_UNKNOWN, progress.all_new_ids)

    def test_unknown_version_is_not_part_of_baseline(self) -> None:
        """Guards against failures of a bad new version in the baseline."""
        progress = self.fixture.progress
        for member_id in (_UNKNOWN, "10.0.9.9:7600"):
            report = builders.build_report(member_id, 100, 60)
            self.fixture.tracker.merge_report(report)
        self.assertEqual(progress.baseline, {})
        self.assertEqual(progress.get_failure_ratios(), {})
        self.announce_version("v1")
        self.assertEqual(progress.baseline["lookup"].calls, 100)
        self.assertEqual(progress.get_failure_ratios(), {"lookup": 0.6})

    def test_baseline_includes_servers_that_have_left(self) -> None:
        """Guards against losing the baseline when a backend server leaves."""
        self.announce_version("v1")
        report = builders.build_report(_UNKNOWN, 100, 5)
        self.fixture.tracker.merge_report(report)
        self.fixture.upstreams = self.fixture.upstreams[1:]
        self.fixture.tracker.update(builders.SERVICE)
        progress = self.fixture.progress
        self.assertEqual(progress.baseline["lookup"].calls, 100)
        self.assertEqual(progress.get_failure_ratios(), {"lookup": 0.05})
