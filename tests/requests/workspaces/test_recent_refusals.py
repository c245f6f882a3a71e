"""Tests for `merlintrestle.requests.workspaces.recent_refusals`."""

from __future__ import annotations

import unittest

from merlintrestle.requests.workspaces import reasons
from merlintrestle.requests.workspaces import recent_refusals
from tests.requests import fakes


class RecentRefusalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.recent = recent_refusals.RecentRefusals(self.clock.get_time)

    def record(self, workspace: str, count: int = 1) -> None:
        for _ in range(count):
            self.recent.record(
                reasons.OVER_QUOTA, workspace, self.clock.get_time()
            )

    def test_refusals_are_forgotten_after_two_intervals(self) -> None:
        """Guards against memory that grows, and a status of long ago."""
        start = self.clock.now
        self.record("vecht")
        for elapsed_s, count in ((9, 1), (11, 1), (19, 1), (21, 0)):
            self.clock.now = start + elapsed_s
            status = self.recent.build_status()
            self.assertEqual(len(status.workspaces), count)
            self.assertLessEqual(status.window_s, 20)
        self.record("vecht")
        self.clock.now += 1000
        self.assertFalse(self.recent.build_status().workspaces)

    def test_both_intervals_are_added(self) -> None:
        self.record("vecht", 3)
        self.clock.now += 10
        self.record("vecht")
        (counts,) = self.recent.build_status().workspaces
        self.assertEqual((counts.workspace, counts.over_quota), ("vecht", 4))

    def test_ten_busiest_workspaces_are_reported(self) -> None:
        """Guards against a status that grows with the workspaces."""
        for number in range(3000):
            self.record(f"w{number:04d}", 1 + number % 1000 // 990)
        names = [one.workspace for one in self.recent.build_status().workspaces]
        self.assertEqual(
            names, [f"w{number:04d}" for number in range(990, 1000)]
        )

    def test_unknown_keys_are_counted_together(self) -> None:
        self.recent.record(reasons.UNKNOWN_KEY, "", self.clock.now)
        status = self.recent.build_status()
        self.assertEqual(status.unknown_key, 1)
        self.assertFalse(status.workspaces)


if __name__ == "__main__":
    unittest.main()
