"""Tests of the settings file."""

from __future__ import annotations

import unittest

from merlintrestle import errors
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
