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
        self.runner = builders.CommandRunner()

    def test_apply_then_history(self) -> None:
        """Guards against accepted changes that the history does not list."""
        self.assertEqual(
            self.runner.run("apply", _MESH).exit_code, exit_codes.OK
        )
        result = self.runner.run("apply", _ZAANOEVER)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        history = json.loads(
            self.runner.run("history", "--output", "json").output
        )
        versions = [attempt["version"] for attempt in history["attempts"]]
        self.assertEqual(versions, [2, 1])

    def test_example_fleets_are_valid(self) -> None:
        """Guards against example documents that are refused."""
        for fleet in ("zaanoever", "kochi"):
            files = sorted(map(str, (builders.FLEETS / fleet).glob("*.toml")))
            result = self.runner.run("validate", *files)
            self.assertEqual(result.exit_code, exit_codes.OK, result.output)

    def test_store_down_is_reported(self) -> None:
        """Guards against an outage that leaves the operator in doubt.

        The store is down before the change is proposed, so the output must say
        that nothing was changed.
        """
        self.runner.store.down = True
        result = self.runner.run("apply", _MESH)
        self.assertEqual(result.exit_code, exit_codes.STORE_UNAVAILABLE)
        self.assertIn("Nothing was changed", result.output)

    def test_invalid_file_changes_nothing(self) -> None:
        """Guards against accepting an invalid document.

        The files have findings, are not UTF-8 or are one byte larger than
        allowed. Each is refused with findings, and the store stays unchanged.
        """
        self.runner.run("apply", _MESH)
        old_entries = dict(self.runner.store.entries)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "bad.toml"
            for content in (b"a = 1\nb = 2", b"\xff", b"#" * 1_000_001):
                file.write_bytes(content)
                result = self.runner.run("apply", str(file))
                self.assertEqual(result.exit_code, exit_codes.FINDINGS)
                self.assertIn("nothing was changed", result.output)
        self.assertEqual(self.runner.store.entries, old_entries)

    def test_every_command_has_json_output(self) -> None:
        """Guards against results that have no JSON form."""
        self.runner.run("apply", _MESH)
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
                result = self.runner.run(*arguments, "--output", "json")
                self.assertIn("result", json.loads(result.output))

    def test_all_wrong_settings_are_reported(self) -> None:
        """Guards against reporting only the first of several wrong settings."""
        result = self.runner.run(
            "history", "--output", "x", "--timeout-s", "-1"
        )
        self.assertEqual(result.exit_code, exit_codes.USAGE)
        self.assertIn("--output", result.output)
        self.assertIn("--timeout-s", result.output)

    def test_shell_completion(self) -> None:
        """Guards against a completion that does not know the commands."""
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

    def test_flag_before_the_command_overrides_its_variable(self) -> None:
        """Guards against a change under another operator's name.

        The operator is given by a flag before the command's name, and the
        environment variable names another operator.
        """
        self.runner.run("--operator", "bram", "apply", _MESH, operator="anna")
        history = json.loads(
            self.runner.run("history", "--output", "json").output
        )
        operators = [attempt["operator"] for attempt in history["attempts"]]
        self.assertEqual(operators, ["bram"])

    def test_missing_record_is_not_reported_as_outage(self) -> None:
        """Guards against calling a missing record an outage of the store.

        The store answers, but the document that the head refers to was deleted.
        """
        self.runner.run("apply", _MESH)
        for key in list(self.runner.store.entries):
            if key.startswith(records.DOCUMENT_PREFIX):
                del self.runner.store.entries[key]
        result = self.runner.run("show")
        self.assertEqual(result.exit_code, exit_codes.STORE_UNAVAILABLE)
        self.assertIn("is not in the store", result.output)
        self.assertNotIn("does not answer", result.output)

    def test_settings_before_and_after_the_command(self) -> None:
        """Guards against ignoring a setting because of where it is given.

        The group and each command have the same options, so a value may be
        given to either of them.
        """
        settings_first = self.runner.run("--output", "json", "history")
        settings_last = self.runner.run("history", "--output", "json")
        self.assertEqual(settings_first.output, settings_last.output)
        self.assertEqual(json.loads(settings_last.output)["attempts"], [])
