"""Tests of the target document reference against the schema.

`python -m tests.documents.test_reference write` regenerates its tables.
"""

from __future__ import annotations

import pathlib
import re
import sys
import unittest

from merlintrestle.documents import reader
from tests.documents import reference

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "use" / "targets.md"


class ReferenceTest(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.page = _PAGE.read_text(encoding="utf-8")

    def test_tables_match_the_schema(self) -> None:
        self.assertEqual(reference.write_tables(self.page), self.page)

    def test_examples_on_the_page_are_valid(self) -> None:
        examples = re.findall(r"```toml\n(.*?)```", self.page, re.DOTALL)
        self.assertTrue(examples)
        for example in examples:
            reader.read_document(example.encode(), "example.toml")


if __name__ == "__main__":
    if sys.argv[1:] == ["write"]:
        _PAGE.write_text(
            reference.write_tables(_PAGE.read_text(encoding="utf-8")),
            encoding="utf-8",
        )
    else:
        unittest.main()
