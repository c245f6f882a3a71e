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

    def _explain(self, **logs: str) -> testing.Result:
        """Runs the command on logs, given by the names of their daemons."""
        paths = []
        for name, text in logs.items():
            path = self.folder / f"{name}.log"
            path.write_text(text)
            paths.append(str(path))
        return testing.CliRunner().invoke(
            command.main, ["explain", "r1", *paths]
        )

    def test_lines_of_both_daemons_are_sorted(self):
        """Guards against lines that are out of order, left out or unrelated.

        Two daemons log a request. Their logs also have a line about another
        request, and one that is not JSON but has the id of the request.
        """
        result = self._explain(
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

    def test_request_that_was_not_admitted_is_complete(self):
        """Guards against a refusal without its cause: key, freshness or quota.

        The caller's daemon logs a single line, and no other daemon has any.
        """
        for cause in ("key", "freshness", "quota"):
            result = self._explain(
                near=_build_line("T1", "not admitted", cause=cause, status=503)
            )
            self.assertEqual(
                result.output,
                f"T1 near: not admitted cause={cause} status=503\n",
            )

    def test_missing_lines_are_reported(self):
        """Guards against an incomplete log that looks like a complete one.

        The log of the second daemon is not given, and the first daemon's has no
        final event.
        """
        result = self._explain(
            near=_build_line("T1", "routed")
            + _build_line("T2", "picked", upstream="b")
        )
        self.assertIn("missing: the daemons beside b", result.output)
        self.assertIn("missing: how it ended at near", result.output)

    def test_no_line_of_the_request(self):
        """Guards against an empty output if no log has the request."""
        result = self._explain(near="")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("missing: no line about this request", result.output)

    def test_name_before_the_json_is_the_source(self):
        """Guards against lines with the wrong daemon.

        If the logs of several daemons are in one file, the name before the JSON
        object tells which daemon wrote a line.
        """
        line = "  1.25 sidecar-1 " + _build_line("T1", "routed")
        (log_line,) = explain_command.find_lines("r1", [line], "file")
        self.assertEqual(log_line.source, "sidecar-1")
