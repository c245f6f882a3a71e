"""Checks KNOWN-RED.txt: three lines at most, each with its issue.

A line begins with the test that fails, or with a command between backticks
that CI cannot run.
"""

from __future__ import annotations

import pathlib
import re
import sys

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_MAX_LINES = 3
_ISSUE = re.compile(r"\bissue \d+")


def read_lines() -> list[str]:
    """Returns the lines that are no comments."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and line[0] != "#"]


def read_known_red() -> dict[str, str]:
    """Returns the known failing tests: test id to its whole line."""
    named = [line for line in read_lines() if line[0] != "`"]
    return {line.split()[0]: line for line in named}


def main() -> int:
    """Prints each line; fails for more than three or one without its issue."""
    lines = read_lines()
    for line in lines:
        print(f"known red: {line}")
    listed = all(_ISSUE.search(line) for line in lines)
    return 0 if listed and len(lines) <= _MAX_LINES else 1


if __name__ == "__main__":
    sys.exit(main())
