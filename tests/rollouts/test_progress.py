"""Tests of how far a roll-out has come, by what is known of each daemon."""

from __future__ import annotations

import unittest

from tests.rollouts import builders

_UNKNOWN = "10.0.0.0:7600"


class ProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = builders.Site()
        unknown = builders.build_upstream(_UNKNOWN, "")
        self.site.upstreams = (unknown, *self.site.upstreams)
        self.site.book.merge_rollout(builders.build_rollout())

    def say(self, version: str) -> None:
        """Has the backend server say its version."""
        said = builders.build_upstream(_UNKNOWN, version)
        self.site.upstreams = (said, *self.site.upstreams[1:])
        self.site.book.update(builders.SERVICE)

    def test_one_that_says_no_version_is_of_neither(self) -> None:
        """Guards against a new version that is waited for as the one before."""
        progress = self.site.progress
        self.assertNotIn(_UNKNOWN, progress.before | progress.new)
        self.assertNotIn(_UNKNOWN, progress.list_baseline(9))
        self.say("v1")
        self.assertIn(_UNKNOWN, progress.before)
        self.say("")
        self.assertNotIn(_UNKNOWN, progress.before)
        self.say("v2")
        self.assertNotIn(_UNKNOWN, progress.before)
        self.assertIn(_UNKNOWN, progress.new)

    def test_what_was_seen_of_an_unknown_version_is_no_baseline(self) -> None:
        """Guards against a bad version that makes its failures look usual."""
        progress = self.site.progress
        for member_id in (_UNKNOWN, "10.0.9.9:7600"):
            trial = builders.build_trial(member_id, 100, 60)
            self.site.book.merge_trial(trial)
        self.assertEqual(progress.baseline, {})
        self.assertEqual(progress.get_failed(), {})
        self.say("v1")
        self.assertEqual(progress.baseline["lookup"].calls, 100)
        self.assertEqual(progress.get_failed(), {"lookup": 0.6})

    def test_one_that_is_gone_still_tells_the_baseline(self) -> None:
        """Guards against a baseline that is lost with a backend server."""
        self.say("v1")
        trial = builders.build_trial(_UNKNOWN, 100, 5)
        self.site.book.merge_trial(trial)
        self.site.upstreams = self.site.upstreams[1:]
        self.site.book.update(builders.SERVICE)
        progress = self.site.progress
        self.assertEqual(progress.baseline["lookup"].calls, 100)
        self.assertEqual(progress.get_failed(), {"lookup": 0.05})
