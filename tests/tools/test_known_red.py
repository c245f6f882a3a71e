"""Tests of the format of the entries in KNOWN-RED.txt."""

from __future__ import annotations

import unittest

from tools import known_red

_TEST = "tests.tools.test_known_red.FormatTest.test_valid_entries_pass"
_SEEN = "eight of ten calls are answered 504"
_OPEN_ISSUES = {7, 28}


def build_entry(
    head: str = _TEST, seed: str = "seed 3", seen: str = _SEEN, issue: int = 7
) -> str:
    """Builds an entry; arguments replace the default parts."""
    return f"{head} ({seed}): {seen}; issue {issue}."


class FormatTest(unittest.TestCase):
    def assert_error(self, entry: str, message: str) -> None:
        """Asserts that the errors of an entry contain a message."""
        errors = known_red.find_entry_errors(entry, _OPEN_ISSUES)
        self.assertIn(message, " ".join(errors))

    def test_valid_entries_pass(self) -> None:
        """Guards against the refusal of an entry that names all it must."""
        entries = [
            build_entry(),
            build_entry(f"{_TEST} and `bench run site.toml day`"),
            build_entry("`bench run site.toml day`", "seed of the day"),
            build_entry("`bench run site.toml day --seed 4`", "hunted"),
        ]
        self.assertEqual(known_red.find_errors(entries, _OPEN_ISSUES), [])

    def test_many_entries_pass(self) -> None:
        """Guards against a limit on the number of entries.

        Such a limit would lead to faults that are merged or left out.
        """
        entries = [build_entry(f"`bench run day-{i}`") for i in range(40)]
        self.assertEqual(known_red.find_errors(entries, _OPEN_ISSUES), [])

    def test_incomplete_entry_is_reported(self) -> None:
        """Guards against entries that cannot be reproduced or read quickly.

        They lack a part, a seed or the test itself, or are too long.
        """
        self.assert_error(f"{_TEST}: {_SEEN}; issue 7.", "not 'TEST")
        self.assert_error(build_entry("`bench` and `bench 2`"), "not 'TEST")
        self.assert_error(build_entry(seen="fails"), "not 'TEST")
        self.assert_error(build_entry("`bench run day`", "hunted"), "no seed")
        self.assert_error(build_entry(_TEST + "_gone"), "no such test")
        self.assert_error(build_entry(seen=_SEEN * 30), "longer than")

    def test_closed_issue_is_reported(self) -> None:
        """Guards against faults listed under an issue that nobody works on."""
        self.assert_error(build_entry(issue=12), "issue 12 is not open")

    def test_two_faults_in_one_entry_are_reported(self) -> None:
        """Guards against an entry that outlives one of its faults.

        An entry that joins two faults cannot be removed when one is mended.
        """
        self.assert_error(
            build_entry(seen=f"{_SEEN}; likewise another day, too slow"),
            "more than one fault",
        )

    def test_duplicate_entry_is_reported(self) -> None:
        """Guards against an entry that is removed once and still stands."""
        errors = known_red.find_errors([build_entry()] * 2, _OPEN_ISSUES)
        self.assertIn("stands twice", " ".join(errors))

    def test_open_issues_are_read_from_developers_page(self) -> None:
        """Guards against open issues that are not found on their page.

        A page without the line of open issues lists none.
        """
        text = "Before.\n\nOpen issues: 2, 28.\n"
        self.assertEqual(known_red.read_open_issues(text), {2, 28})
        self.assertEqual(known_red.read_open_issues("none"), set())
