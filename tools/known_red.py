"""Checks the format of the entries in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
import re
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED_PATH = _ROOT / "KNOWN-RED.txt"
_DEVELOPERS_PAGE_PATH = _ROOT / "DEVELOPERS.md"
# The rule for entries is "keep it short": a reader takes one in at a glance.
_MAX_ENTRY_CHARACTERS = 600
_OPEN_ISSUES_LINE = re.compile(r"^Open issues: ([\d, ]+)\.$", re.MULTILINE)
# An entry is one line that describes one fault. It begins with its head: the
# failing test, a command in backticks that CI cannot run, or both. Then come
# the seed, what was seen and an open issue. For "hunted" and "of a hunt" the
# command in the head names the seed.
_ENTRY_FORMAT = re.compile(
    r"(?P<head>(?P<test>tests(?:\.\w+)+)(?: and `[^`]+`)?|`[^`]+`)"
    r" \((?P<seed>[^)]*\bseeds?\b[^)]*|hunted|of a hunt)\): "
    r"(?P<seen>.{20,}); issue (?P<issue>\d+)\."
)
# The last option of a command that names its seed.
_SEED_OPTION = re.compile(r"--seed \d+`")
# Words by which one entry tells of a second fault.
_SECOND_FAULT_WORDS = re.compile(r"\b(likewise|also|as well as)\b")


def read_entries() -> list[str]:
    """Returns the lines of KNOWN-RED.txt except comments and blank lines."""
    if not KNOWN_RED_PATH.exists():
        return []
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and line[0] != "#"]


def read_known_red() -> dict[str, str]:
    """Returns the entries of the known failing tests by test id."""
    test_entries = [entry for entry in read_entries() if entry[0] != "`"]
    return {entry.split()[0]: entry for entry in test_entries}


def read_open_issues(developers_page: str) -> set[int]:
    """Returns the open issues that the developers' page lists; may be empty."""
    match = _OPEN_ISSUES_LINE.search(developers_page)
    return {int(number) for number in match[1].split(",")} if match else set()


def find_entry_errors(entry: str, open_issues: set[int]) -> list[str]:
    """Returns a message for each error in the format of an entry."""
    match = _ENTRY_FORMAT.fullmatch(entry)
    if match is None:
        return ["not 'TEST or `COMMAND` (SEED): WHAT WAS SEEN; issue N.'"]
    errors = []
    if "seed" not in match["seed"] and not _SEED_OPTION.search(match["head"]):
        errors.append("names no seed")
    if int(match["issue"]) not in open_issues:
        errors.append(f"issue {match['issue']} is not open")
    if match["test"] and not _is_test(match["test"]):
        errors.append("there is no such test")
    if _SECOND_FAULT_WORDS.search(match["seen"]):
        errors.append("tells of more than one fault")
    if len(entry) > _MAX_ENTRY_CHARACTERS:
        errors.append(f"is longer than {_MAX_ENTRY_CHARACTERS} characters")
    return errors


def find_errors(entries: list[str], open_issues: set[int]) -> list[str]:
    """Returns the errors of all entries, each after the head of its entry."""
    errors = []
    heads: set[str] = set()
    for entry in entries:
        head = entry.split(" (", 1)[0]
        entry_errors = find_entry_errors(entry, open_issues)
        if head in heads:
            entry_errors.append("stands twice")
        heads.add(head)
        errors += [f"{head}: {error}" for error in entry_errors]
    return errors


def _is_test(name: str) -> bool:
    """Returns whether a name is the id of exactly one test."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    test_ids = [
        test.id() for test in suite if isinstance(test, unittest.TestCase)
    ]
    return test_ids == [name]


def main() -> int:
    """Prints the entries and their errors; returns 1 if there is an error."""
    entries = read_entries()
    for entry in entries:
        print(f"known red: {entry}")
    developers_page = _DEVELOPERS_PAGE_PATH.read_text(encoding="utf-8")
    errors = find_errors(entries, read_open_issues(developers_page))
    for error in errors:
        print(f"known red, wrong form: {error}", file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
