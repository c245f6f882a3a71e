"""Tests of the commands with workspaces, against a fake store."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from click import testing

from merlintrestle.documents import snapshot
from merlintrestle.documents import writer
from merlintrestle.operators import command
from merlintrestle.operators import exit_codes
from tests.documents import builders as document_builders
from tests.operators import builders

_KEY = "sk-live-4f1d9be0c2"
_DIGEST = snapshot.hash_key(_KEY).hex()


class KeyDigestTest(unittest.TestCase):
    def _run(self, content: bytes) -> testing.Result:
        return testing.CliRunner().invoke(
            command.main, ["key-digest"], input=content
        )

    def test_digest_is_that_of_the_key_without_the_line_end(self) -> None:
        """Guards against a digest that includes the line end of the key."""
        for content in (_KEY, f"{_KEY}\n", f" {_KEY}\r\n"):
            result = self._run(content.encode())
            self.assertEqual(result.output, _DIGEST + "\n")

    def test_input_that_is_no_key_is_refused_without_showing_it(self) -> None:
        for content in (
            b"",
            b"\n",
            f"{_KEY}\n{_KEY}x".encode(),
            f"Bearer {_KEY}".encode(),
            f"{_KEY}\xff".encode("latin-1"),
            _KEY.encode() * 1000,
        ):
            result = self._run(content)
            self.assertEqual(result.exit_code, exit_codes.FINDINGS)
            self.assertIn("standard input", result.output)
            self.assertNotIn(_KEY, result.output)

    def test_key_is_not_an_argument(self) -> None:
        """Guards against keys in the list of processes."""
        result = testing.CliRunner().invoke(
            command.main, ["key-digest", _KEY], input=b""
        )
        self.assertEqual(result.exit_code, exit_codes.USAGE)


class WorkspaceCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = builders.CommandRunner()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "mesh.toml"

    def _write(self, *keys: str, **fields: float) -> str:
        workspace = document_builders.build_workspace("acme", *keys, **fields)
        mesh = document_builders.build_mesh_document(5, workspace)
        self.file.write_text(writer.write_document(mesh))
        return str(self.file)

    def test_change_of_keys_and_quota_is_in_diff_history_and_audit(
        self,
    ) -> None:
        """Guards against changes of keys that the audit trail does not show.

        No command shows a whole digest unless it is asked for.
        """
        self.runner.run("apply", self._write(_KEY, rate=40.0))
        path = self._write("new", rate=20.0)
        outputs = [
            self.runner.run(*arguments).output
            for arguments in (
                ("diff", path),
                ("apply", path),
                ("history",),
                ("audit",),
            )
        ]
        for output in outputs:
            self.assertIn("~ workspaces.acme.rate: 40 -> 20", output)
            self.assertIn(
                f"- workspaces.acme.key_digests: {_DIGEST[:12]}...", output
            )
        outputs.append(self.runner.run("show").output)
        self.assertNotIn(_DIGEST, "".join(outputs))

    def test_shown_file_can_be_applied_only_with_whole_digests(self) -> None:
        """Guards against short digests that replace the whole ones."""
        self.runner.run("apply", self._write(_KEY))
        for options, exit_code in (
            ((), exit_codes.FINDINGS),
            (("--whole-digests",), exit_codes.OK),
        ):
            shown = self.runner.run("show", "mesh", *options).output
            self.file.write_text(shown)
            result = self.runner.run("apply", str(self.file))
            self.assertEqual(result.exit_code, exit_code, result.output)
        self.assertIn("Nothing to change", result.output)


if __name__ == "__main__":
    unittest.main()
