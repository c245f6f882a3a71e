"""Compares whole sessions with their golden files.

`python -m tests.roots.test_sessions write` writes the files anew; read the
difference before you commit it.
"""

from __future__ import annotations

import pathlib
import sys
import unittest

from tests.roots import sessions

_FILES = pathlib.Path(__file__).parent


class SessionsTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_are_as_in_their_golden_files(self) -> None:
        for name, run in sessions.SESSIONS.items():
            with self.subTest(name):
                golden = _find(name).read_text(encoding="utf-8")
                self.assertEqual(run(), golden)


def write_files() -> None:
    """Writes the golden file of each session."""
    for name, run in sessions.SESSIONS.items():
        _find(name).write_text(run(), encoding="utf-8")


def _find(name: str) -> pathlib.Path:
    return _FILES / f"{name}.golden.txt"


if __name__ == "__main__":
    if sys.argv[1:] == ["write"]:
        write_files()
    else:
        unittest.main()
