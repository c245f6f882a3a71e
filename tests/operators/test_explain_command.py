"""Tests of the command `explain`."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from click import testing

from merlintrestle.operators import command
from merlintrestle.operators import explain_command


def _build_line(time: str, event: str, request: str = "r1", **fields) -> str:
    line = {"time": time, "level": "info", "part": "requests", "event": event}
    return json.dumps({**line, "request": request, **fields}) + "\n"


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, **logs: str) -> testing.Result:
        """Runs the command on logs by the names of their daemons."""
        paths = []
        for name, text in logs.items():
            path = self.folder / f"{name}.log"
            path.write_text(text)
            paths.append(str(path))
        return testing.CliRunner().invoke(
            command.main, ["explain", "r1", *paths]
        )

    def test_lines_of_both_daemons_come_in_order(self):
        result = self.explain(
            near=_build_line("T1", "routed", version=3)
            + _build_line("T2", "picked", upstream="b")
            + _build_line("T5", "refused", status=503)
            + _build_line("T2", "routed", request="r2"),
            far="not JSON r1\n"
            + _build_line("T3", "passed on", left_ms=400)
            + _build_line("T4", "refused", reason="no free slot in time"),
        )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(
            result.output.splitlines(),
            [
                "T1 near: routed version=3",
                "T2 near: picked upstream=b",
                "T3 far: passed on left_ms=400",
                "T4 far: refused reason=no free slot in time",
                "T5 near: refused status=503",
            ],
        )

    def test_what_is_missing_is_said(self):
        result = self.explain(
            near=_build_line("T1", "routed")
            + _build_line("T2", "picked", upstream="b")
        )
        self.assertIn("missing: the daemons beside b", result.output)
        self.assertIn("missing: how it ended at near", result.output)

    def test_no_line_at_all(self):
        result = self.explain(near="")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("missing: no line about this request", result.output)

    def test_a_name_before_the_line_tells_its_daemon(self):
        text = "  1.25 sidecar-1 " + _build_line("T1", "routed")
        (found,) = explain_command.find_lines("r1", [text], "file")
        self.assertEqual(found.source, "sidecar-1")
