"""Tests of the commands against a fake store."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from click import testing

from merlintrestle.operators import command
from merlintrestle.operators import exit_codes
from merlintrestle.store import records
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = builders.CommandRunner()

    def test_apply_then_history(self) -> None:
        self.assertEqual(self.desk.run("apply", _MESH).exit_code, exit_codes.OK)
        result = self.desk.run("apply", _ZAANOEVER)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        history = json.loads(
            self.desk.run("history", "--output", "json").output
        )
        versions = [one["version"] for one in history["attempts"]]
        self.assertEqual(versions, [2, 1])

    def test_example_fleets_are_valid(self) -> None:
        for fleet in ("zaanoever", "kochi"):
            files = sorted(map(str, (builders.FLEETS / fleet).glob("*.toml")))
            result = self.desk.run("validate", *files)
            self.assertEqual(result.exit_code, exit_codes.OK, result.output)

    def test_store_down_is_said_at_once(self) -> None:
        self.desk.store.down = True
        result = self.desk.run("apply", _MESH)
        self.assertEqual(result.exit_code, exit_codes.STORE_UNAVAILABLE)
        self.assertIn("Nothing was changed", result.output)

    def test_bad_file_changes_nothing(self) -> None:
        """A file with findings, not UTF-8 or too large is applied.

        The operator sees every finding, and head is as it was.
        """
        self.desk.run("apply", _MESH)
        before = dict(self.desk.store.entries)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "bad.toml"
            for content in (b"a = 1\nb = 2", b"\xff", b"#" * 1_000_001):
                file.write_bytes(content)
                result = self.desk.run("apply", str(file))
                self.assertEqual(result.exit_code, exit_codes.FINDINGS)
                self.assertIn("nothing was changed", result.output)
        self.assertEqual(self.desk.store.entries, before)

    def test_every_command_has_json_output(self) -> None:
        self.desk.run("apply", _MESH)
        for arguments in (
            ("validate", _ZAANOEVER),
            ("diff", _ZAANOEVER),
            ("apply", _ZAANOEVER),
            ("show",),
            ("history",),
            ("audit",),
            ("status",),
            ("watch", "--count", "1"),
            ("withdraw", "mesh"),
            ("withdraw", "zaanoever"),
        ):
            with self.subTest(arguments):
                result = self.desk.run(*arguments, "--output", "json")
                self.assertIn("result", json.loads(result.output))

    def test_wrong_settings_are_told_together(self) -> None:
        result = self.desk.run("history", "--output", "x", "--timeout-s", "-1")
        self.assertEqual(result.exit_code, exit_codes.USAGE)
        self.assertIn("--output", result.output)
        self.assertIn("--timeout-s", result.output)

    def test_completion(self) -> None:
        result = testing.CliRunner().invoke(
            command.main,
            prog_name="merlintrestle",
            env={
                "_MERLINTRESTLE_COMPLETE": "bash_complete",
                "COMP_WORDS": "merlintrestle his",
                "COMP_CWORD": "1",
            },
        )
        self.assertIn("history", result.output)

    def test_record_that_is_gone_is_not_called_an_outage(self) -> None:
        self.desk.run("apply", _MESH)
        for key in list(self.desk.store.entries):
            if key.startswith(records.DOCUMENT_PREFIX):
                del self.desk.store.entries[key]
        result = self.desk.run("show")
        self.assertEqual(result.exit_code, exit_codes.STORE_UNAVAILABLE)
        self.assertIn("is not in the store", result.output)
        self.assertNotIn("does not answer", result.output)

    def test_setting_before_or_after_the_command(self) -> None:
        before = self.desk.run("--output", "json", "history")
        after = self.desk.run("history", "--output", "json")
        self.assertEqual(before.output, after.output)
        self.assertEqual(json.loads(after.output)["attempts"], [])
