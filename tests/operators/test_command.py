"""Tests of the commands against a fake store."""

from __future__ import annotations

import json
import unittest

from merlintrestle.operators import exits
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = builders.Desk()

    def test_apply_then_history(self) -> None:
        self.assertEqual(self.desk.run("apply", _MESH).exit_code, exits.OK)
        result = self.desk.run("apply", _ZAANOEVER)
        self.assertEqual(result.exit_code, exits.OK, result.output)
        history = json.loads(
            self.desk.run("history", "--output", "json").output
        )
        versions = [one["version"] for one in history["attempts"]]
        self.assertEqual(versions, [2, 1])

    def test_example_fleets_are_valid(self) -> None:
        for fleet in ("zaanoever", "kochi"):
            files = sorted(map(str, (builders.FLEETS / fleet).glob("*.toml")))
            result = self.desk.run("validate", *files)
            self.assertEqual(result.exit_code, exits.OK, result.output)

    def test_store_down_is_said_at_once(self) -> None:
        self.desk.store.down = True
        result = self.desk.run("apply", _MESH)
        self.assertEqual(result.exit_code, exits.STORE_UNAVAILABLE)
        self.assertIn("Nothing was changed", result.output)

    def test_setting_before_or_after_the_command(self) -> None:
        before = self.desk.run("--output", "json", "history")
        after = self.desk.run("history", "--output", "json")
        self.assertEqual(before.output, after.output)
        self.assertEqual(json.loads(after.output)["attempts"], [])
