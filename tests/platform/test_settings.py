"""Tests for the settings file of the platform."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from merlintrestle import errors
from merlintrestle import settings_reader
from merlintrestle.platform import service
from merlintrestle.platform import settings
from tests.platform import builders


class SettingsTest(unittest.TestCase):
    def test_all_settings_are_parsed(self):
        """Guards against settings that get a wrong value or unit."""
        parsed = settings.parse_settings(builders.build_settings_text())
        self.assertEqual(parsed.zone, "noord")
        self.assertEqual(
            parsed.callers, settings_reader.Address("127.0.0.1", 8629)
        )
        self.assertEqual((parsed.first_port, parsed.last_port), (7600, 7615))
        self.assertEqual(parsed.heartbeat_s, 1.5)
        self.assertEqual(parsed.retry_slack, 62.0)

    def test_findings_are_reported_together(self):
        """Guards against starts that report only the first mistake."""
        text = builders.build_settings_text(
            **{"app": "nowhere", "zone": None, "internalPorts": "9,1"}
        )
        with self.assertRaises(errors.InvalidInputError) as caught:
            settings.parse_settings(text)
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(places, ["internalPorts", "zone", "app"])

    def test_bounds_that_are_not_numbers_are_findings(self):
        """Guards against malformed bounds that are ignored."""
        text = builders.build_settings_text(bounds="drainMs=soon,graceS=6")
        with self.assertRaises(errors.InvalidInputError) as caught:
            settings.parse_settings(text)
        places = [finding.place for finding in caught.exception.findings]
        self.assertIn("bounds.drainMs", places)
        self.assertIn("bounds.retrySlack", places)

    def test_values_out_of_range_are_findings(self):
        """Guards against settings that no daemon can run with."""
        for name, value in {
            "limits.linkMbps": "1e39",
            "limits.maxFds": "1e300",
            "limits.memoryMb": "9" * 5000,
            "heartbeatMs": "nan",
            "internalPorts": "9" * 5000,
            "zone": "a\x00b",
            "service": "x" * 1000,
        }.items():
            with self.subTest(name=name):
                text = builders.build_settings_text(**{name: value})
                with self.assertRaises(errors.InvalidInputError) as caught:
                    settings.parse_settings(text)
                (finding,) = caught.exception.findings
                self.assertEqual(finding.place, name)
                self.assertLess(len(finding.text), 300)
        bounds = builders.SETTINGS["bounds"]
        text = builders.build_settings_text(
            bounds=bounds.replace("budgetWindowS=10", "budgetWindowS=1e-320")
        )
        with self.assertRaises(errors.InvalidInputError) as caught:
            settings.parse_settings(text)
        (finding,) = caught.exception.findings
        self.assertEqual(finding.place, "bounds.budgetWindowS")

    def test_a_file_that_is_no_text_is_a_finding(self):
        """Guards against a reload that ends with an exception."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "node.conf")
            for data in (b"\xff\xfe", b"#" * 2_000_000):
                path.write_bytes(data)
                with self.assertRaises(errors.InvalidInputError) as caught:
                    settings.read_settings(path)
                (finding,) = caught.exception.findings
                self.assertEqual(finding.place, str(path))

    def test_the_link_capacity_is_optional(self):
        """Guards against settings files without a capacity that are refused."""
        parsed = settings.parse_settings(builders.build_settings_text())
        self.assertEqual(parsed.link_mbps, 0)
        text = builders.build_settings_text(**{"limits.linkMbps": "3.25"})
        daemon_settings = service.build_daemon_settings(
            settings.parse_settings(text)
        )
        self.assertEqual(daemon_settings.link_mbps, 3.25)

    def test_the_bounds_of_quotas_are_optional(self):
        """Guards against settings files without quotas that are refused."""
        text = builders.build_settings_text()
        self.assertEqual(settings.parse_settings(text).quota_slack, 0)
        bounds = "quotaWindowS=4,quotaOvershoot=0.2,quotaSlack=7"
        lines = [
            line + f",{bounds}" if line.startswith("bounds") else line
            for line in text.splitlines()
        ]
        daemon_settings = service.build_daemon_settings(
            settings.parse_settings("\n".join(lines))
        )
        self.assertEqual(daemon_settings.quota_window_s, 4)
        self.assertEqual(daemon_settings.quota_overshoot, 0.2)
        self.assertEqual(daemon_settings.quota_slack, 7)

    def test_a_short_grace_period_leaves_time_for_requests_in_flight(self):
        """Guards against requests that are aborted by an early kill.

        The platform kills the process 3 s after the stop signal. The usual
        time for callers to move would leave no time for requests in flight.
        """
        text = builders.build_settings_text(
            bounds="drainMs=2000,graceS=3,retryBudgetRatio=0.2,"
            "budgetWindowS=10,retrySlack=62"
        )
        daemon_settings = service.build_daemon_settings(
            settings.parse_settings(text)
        )
        self.assertGreater(daemon_settings.drain_limit_s, 0.5)
        self.assertLess(
            daemon_settings.farewell_s + daemon_settings.drain_limit_s, 3.0
        )
