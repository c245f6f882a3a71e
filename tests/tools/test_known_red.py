"""The form of the entries in KNOWN-RED.txt."""

from __future__ import annotations

import unittest

from tools import known_red

_TEST = "tests.tools.test_known_red.FormTest.test_whole_entries_pass"
_SEEN = "eight of ten calls are answered 504"
_OPEN = {7, 28}


def build_entry(
    head: str = _TEST, seed: str = "seed 3", seen: str = _SEEN, issue: int = 7
) -> str:
    """Returns an entry; each part may be another."""
    return f"{head} ({seed}): {seen}; issue {issue}."


class FormTest(unittest.TestCase):
    def assert_fault(self, entry: str, fault: str) -> None:
        """Asserts that an entry is refused, and why."""
        faults = known_red.find_entry_errors(entry, _OPEN)
        self.assertIn(fault, " ".join(faults))

    def test_whole_entries_pass(self) -> None:
        entries = [
            build_entry(),
            build_entry(f"{_TEST} and `bench run site.toml day`"),
            build_entry("`bench run site.toml day`", "seed of the day"),
            build_entry("`bench run site.toml day --seed 4`", "hunted"),
        ]
        self.assertEqual(known_red.find_errors(entries, _OPEN), [])

    def test_many_entries_pass(self) -> None:
        """Guards against faults joined or dropped to keep to a number."""
        entries = [build_entry(f"`bench run day-{i}`") for i in range(40)]
        self.assertEqual(known_red.find_errors(entries, _OPEN), [])

    def test_entry_without_its_parts(self) -> None:
        """Guards against entries that nobody can reproduce."""
        self.assert_fault(f"{_TEST}: {_SEEN}; issue 7.", "not 'TEST")
        self.assert_fault(build_entry("`bench` and `bench 2`"), "not 'TEST")
        self.assert_fault(build_entry(seen="fails"), "not 'TEST")
        self.assert_fault(build_entry("`bench run day`", "hunted"), "no seed")
        self.assert_fault(build_entry(_TEST + "_gone"), "no such test")
        self.assert_fault(build_entry(seen=_SEEN * 30), "longer than")

    def test_issue_that_is_not_open(self) -> None:
        """Guards against faults listed under an issue that nobody works on."""
        self.assert_fault(build_entry(issue=12), "issue 12 is not open")

    def test_entry_with_two_faults(self) -> None:
        """Guards against joined entries, of which none can leave the list."""
        self.assert_fault(
            build_entry(seen=f"{_SEEN}; likewise another day, too slow"),
            "more than one fault",
        )

    def test_entry_that_stands_twice(self) -> None:
        faults = known_red.find_errors([build_entry()] * 2, _OPEN)
        self.assertIn("stands twice", " ".join(faults))

    def test_open_issues_of_the_developers_page(self) -> None:
        text = "Before.\n\nOpen issues: 2, 28.\n"
        self.assertEqual(known_red.read_open_issues(text), {2, 28})
        self.assertEqual(known_red.read_open_issues("none"), set())
