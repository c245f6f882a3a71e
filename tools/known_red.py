"""Checks the form of the entries in KNOWN-RED.txt.

An entry is one line and tells of one fault: the test that fails or a command
between backticks that CI cannot run, its seed, what was seen, an open issue.
"""

from __future__ import annotations

import pathlib
import re
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED_PATH = _ROOT / "KNOWN-RED.txt"
_DEVELOPERS = _ROOT / "DEVELOPERS.md"
# "keep it short": what a reader takes in at once.
_MAX_CHARACTERS = 600
_OPEN_ISSUES = re.compile(r"^Open issues: ([\d, ]+)\.$", re.MULTILINE)
_FORM = re.compile(
    r"(?P<head>(?P<test>tests(?:\.\w+)+)(?: and `[^`]+`)?|`[^`]+`)"
    r" \((?P<seed>[^)]*\bseeds?\b[^)]*|hunted|of a hunt)\): "
    r"(?P<seen>.{20,}); issue (?P<issue>\d+)\."
)
_NAMED_SEED = re.compile(r"--seed \d+`")
_MORE_FAULTS = re.compile(r"\b(likewise|also|as well as)\b")


def read_entries() -> list[str]:
    """Returns the lines that are no comments."""
    if not KNOWN_RED_PATH.exists():
        return []
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and line[0] != "#"]


def read_known_red() -> dict[str, str]:
    """Returns the known failing tests: test id to its whole entry."""
    named = [entry for entry in read_entries() if entry[0] != "`"]
    return {entry.split()[0]: entry for entry in named}


def read_open_issues(text: str) -> set[int]:
    """Returns the numbers that the developers' page lists as open."""
    found = _OPEN_ISSUES.search(text)
    return {int(one) for one in found[1].split(",")} if found else set()


def find_entry_errors(entry: str, open_issues: set[int]) -> list[str]:
    """Returns what is wrong with the form of an entry."""
    form = _FORM.fullmatch(entry)
    if form is None:
        return ["not 'TEST or `COMMAND` (SEED): WHAT WAS SEEN; issue N.'"]
    faults = []
    if "seed" not in form["seed"] and not _NAMED_SEED.search(form["head"]):
        faults.append("names no seed")
    if int(form["issue"]) not in open_issues:
        faults.append(f"issue {form['issue']} is not open")
    if form["test"] and not _is_test(form["test"]):
        faults.append("there is no such test")
    if _MORE_FAULTS.search(form["seen"]):
        faults.append("tells of more than one fault")
    if len(entry) > _MAX_CHARACTERS:
        faults.append(f"is longer than {_MAX_CHARACTERS} characters")
    return faults


def find_errors(entries: list[str], open_issues: set[int]) -> list[str]:
    """Returns what is wrong with the entries, each fault with its entry."""
    faults = []
    heads: set[str] = set()
    for entry in entries:
        head = entry.split(" (", 1)[0]
        found = find_entry_errors(entry, open_issues)
        if head in heads:
            found.append("stands twice")
        heads.add(head)
        faults += [f"{head}: {fault}" for fault in found]
    return faults


def _is_test(name: str) -> bool:
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    loaded = [
        test.id() for test in suite if isinstance(test, unittest.TestCase)
    ]
    return loaded == [name]


def main() -> int:
    """Prints each entry and what is wrong with its form; fails for any."""
    entries = read_entries()
    for entry in entries:
        print(f"known red: {entry}")
    developers = _DEVELOPERS.read_text(encoding="utf-8")
    faults = find_errors(entries, read_open_issues(developers))
    for fault in faults:
        print(f"known red, wrong form: {fault}", file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
