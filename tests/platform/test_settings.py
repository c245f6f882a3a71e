"""Tests of the settings file."""

from __future__ import annotations

import unittest

from merlintrestle import errors
from merlintrestle.platform import service
from merlintrestle.platform import settings
from tests.platform import builders


class SettingsTest(unittest.TestCase):
    def test_all_is_read(self):
        found = settings.parse_settings(builders.build_text())
        self.assertEqual(found.zone, "noord")
        self.assertEqual(found.callers, settings.Address("127.0.0.1", 8629))
        self.assertEqual((found.first_port, found.last_port), (7600, 7615))
        self.assertEqual(found.heartbeat_s, 1.5)
        self.assertEqual(found.retry_slack, 62.0)

    def test_findings_are_reported_together(self):
        text = builders.build_text(
            **{"app": "nowhere", "zone": None, "internalPorts": "9,1"}
        )
        with self.assertRaises(errors.InvalidInputError) as caught:
            settings.parse_settings(text)
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(places, ["internalPorts", "zone", "app"])

    def test_a_bound_that_is_no_number_is_a_finding(self):
        text = builders.build_text(bounds="drainMs=soon,graceS=6")
        with self.assertRaises(errors.InvalidInputError) as caught:
            settings.parse_settings(text)
        places = [finding.place for finding in caught.exception.findings]
        self.assertIn("bounds.drainMs", places)
        self.assertIn("bounds.retrySlack", places)

    def test_the_link_may_be_left_out(self):
        found = settings.parse_settings(builders.build_text())
        self.assertEqual(found.link_mbps, 0)
        text = builders.build_text(**{"limits.linkMbps": "3.25"})
        built = service.build_daemon_settings(settings.parse_settings(text))
        self.assertEqual(built.link_mbps, 3.25)

    def test_a_short_grace_leaves_time_for_requests_in_flight(self):
        """A stop does not cut what is in flight where the kill comes soon.

        The platform kills a process 3 s after the stop signal. With the usual
        time for callers to move, nothing was left of it for their requests.
        """
        text = builders.build_text(
            bounds="drainMs=2000,graceS=3,retryBudgetRatio=0.2,"
            "budgetWindowS=10,retrySlack=62"
        )
        built = service.build_daemon_settings(settings.parse_settings(text))
        self.assertGreater(built.drain_limit_s, 0.5)
        self.assertLess(built.farewell_s + built.drain_limit_s, 3.0)
