"""Tests of the settings derived from the schema."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle import config
from merlintrestle import errors
from merlintrestle.schema import settings_pb2

REQUIRED = {"zone": "weeghal-noord", "store": "127.0.0.1:2379"}


class ReadSettingsTest(unittest.TestCase):
    def test_defaults_of_the_schema_pass_their_own_checks(self):
        settings = config.read_settings(settings_pb2.DaemonSettings, REQUIRED)
        self.assertEqual(settings.port, 8080)
        self.assertEqual(settings.spread, "fast")
        self.assertEqual(list(settings.seeds), [])

    def test_address_that_does_not_identify_one_host(self):
        """The daemon does not start and reports the reason.

        Its address is its name in the fleet. With 0.0.0.0, all daemons would
        have the same name, and each would treat the claims and marks of the
        others as its own. Clients do not support names with IPv6 yet.
        """
        for address in ("0.0.0.0", "::", "::1", "224.0.0.1"):
            with self.subTest(address):
                values = {**REQUIRED, "address": address}
                with self.assertRaises(errors.InvalidInputError) as context:
                    config.read_settings(settings_pb2.DaemonSettings, values)
                places = [
                    finding.place for finding in context.exception.findings
                ]
                self.assertEqual(places, ["--address (MERLINTRESTLE_ADDRESS)"])

    def test_every_finding_is_reported_with_flag_and_variable(self):
        values = {
            "address": "localhost",
            "port": "70000",
            "seeds": "10.0.0.1:1,10.0.0.2",
            "spread": "slow",
            "drain_limit_s": "nan",
        }
        with self.assertRaises(errors.InvalidInputError) as context:
            config.read_settings(settings_pb2.DaemonSettings, values)
        places = [finding.place for finding in context.exception.findings]
        self.assertEqual(
            places,
            [
                "--address (MERLINTRESTLE_ADDRESS)",
                "--zone (MERLINTRESTLE_ZONE)",
                "--port (MERLINTRESTLE_PORT)",
                "--store (MERLINTRESTLE_STORE)",
                "--seeds (MERLINTRESTLE_SEEDS)",
                "--spread (MERLINTRESTLE_SPREAD)",
                "--drain-limit-s (MERLINTRESTLE_DRAIN_LIMIT_S)",
            ],
        )

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    setting.name
                    for setting in config.list_settings(
                        settings_pb2.DaemonSettings
                    )
                ]
            ),
            strategies.text(max_size=20),
        )
    )
    def test_any_text_gives_settings_or_findings(self, values):
        try:
            settings = config.read_settings(settings_pb2.DaemonSettings, values)
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)
        else:
            self.assertLessEqual(settings.port, 65535)

    def test_help_shows_default_unit_and_variable(self):
        settings = config.list_settings(settings_pb2.DaemonSettings)
        drain_limit = next(
            setting for setting in settings if setting.name == "drain_limit_s"
        )
        text = config.describe_setting(drain_limit)
        self.assertIn("default: 900", text)
        self.assertIn("unit: s", text)
        self.assertIn("variable: MERLINTRESTLE_DRAIN_LIMIT_S", text)
