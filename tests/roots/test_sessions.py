"""Compares transcripts of sessions with their golden files."""

from __future__ import annotations

import pathlib
import sys
import unittest

from tests.roots import sessions

_FOLDER = pathlib.Path(__file__).parent


class SessionsTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_match_their_golden_files(self) -> None:
        """Guards against an unintended change of what operators see."""
        for name, run in sessions.SESSIONS.items():
            with self.subTest(name):
                expected_text = _get_path(name).read_text(encoding="utf-8")
                self.assertEqual(run(), expected_text)


def write_golden_files() -> None:
    """Rewrites the golden file of each session.

    `python -m tests.roots.test_sessions write` calls this. Review the
    difference before you commit it.
    """
    for name, run in sessions.SESSIONS.items():
        _get_path(name).write_text(run(), encoding="utf-8")


def _get_path(name: str) -> pathlib.Path:
    """Returns the path of a session's golden file."""
    return _FOLDER / f"{name}.golden.txt"


if __name__ == "__main__":
    if sys.argv[1:] == ["write"]:
        write_golden_files()
    else:
        unittest.main()
