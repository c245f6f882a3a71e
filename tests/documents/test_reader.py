"""Tests of reading target documents."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle import errors
from merlintrestle.documents import reader
from merlintrestle.documents import writer
from tests.documents import builders

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

_GOOD = {
    "match": '["GET /tickets"]',
    "latency_ms": "250",
    "share": "0.99",
    "availability": "0.999",
    "repeatable": "true",
    "importance": "3",
    "rate": "120.0",
    "work_ms": "10",
    "size": '"small"',
    "deadline_ms": "2000",
}
# For each key, values that are wrong in type, range or form.
_BAD = {
    "match": ["[]", '"GET /a"', '["FETCH /a"]', '["GET a"]', "[1]"],
    "latency_ms": ["0", "600001", "1.5", '"fast"', "true", "-1"],
    "share": ["0", "1.01", "nan", "inf", '"most"', "[1]", "-0.5"],
    "availability": ["nan", "2", "false"],
    "repeatable": ["1", '"yes"', "0.5"],
    "importance": ["0", "6", "true", "1.0"],
    "rate": ["-1", "nan", "1e9", "1979-05-27"],
    "work_ms": ["0", "-3", "inf", "9" * 400],
    "size": ['"huge"', "1", '""'],
    "deadline_ms": ["0", "3600001", "{}"],
    "key_required": ["1", "true"],
    "latency": ["250"],
    "importancy": ["5"],
}


def _write_file(classes: dict[str, dict[str, str]]) -> bytes:
    lines = ['organisation = "zaanoever"']
    for name, keys in classes.items():
        lines.append(f"[services.balie.classes.{name}]")
        lines += [f"{key} = {value}" for key, value in keys.items()]
    return "\n".join(lines).encode()


def _plant_faults() -> st.SearchStrategy[dict[str, str]]:
    return st.sets(st.sampled_from(sorted(_BAD)), min_size=1).flatmap(
        lambda keys: st.fixed_dictionaries(
            {key: st.sampled_from(_BAD[key]) for key in sorted(keys)}
        )
    )


class ReadDocumentTest(unittest.TestCase):
    def _find(self, content: bytes) -> list[errors.Finding]:
        with self.assertRaises(errors.InvalidInputError) as caught:
            reader.read_document(content, "a.toml")
        return caught.exception.findings

    @hypothesis.given(
        st.sampled_from(builders.ORGANISATIONS).flatmap(builders.draw_documents)
    )
    def test_written_document_reads_back_equal(
        self, document: document_pb2.Document
    ) -> None:
        text = writer.write_document(document)
        self.assertEqual(reader.read_document(text.encode(), "a"), document)

    @hypothesis.given(_plant_faults(), _plant_faults())
    def test_reports_every_planted_finding(
        self, first: dict[str, str], second: dict[str, str]
    ) -> None:
        content = _write_file(
            {"lookup": {**_GOOD, **first}, "payout": {**_GOOD, **second}}
        )
        places = {finding.place for finding in self._find(content)}
        for name, planted in (("lookup", first), ("payout", second)):
            for key in planted:
                place = f"a.toml: services.balie.classes.{name}.{key}"
                # key_required = true is a fault only beside repeatable = true.
                if key != "key_required" or "repeatable" not in planted:
                    self.assertIn(place, places)

    @hypothesis.given(st.binary(max_size=200))
    def test_any_bytes_give_a_document_or_findings(self, noise: bytes) -> None:
        try:
            reader.read_document(noise, "a.toml")
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)

    def test_missing_keys_are_all_named(self) -> None:
        found = self._find(b"[services.balie.classes.lookup]")
        keys = {finding.place.rpartition(".")[2] for finding in found}
        self.assertLessEqual({*_GOOD} - {"importance", "size"}, keys)
        self.assertIn("a.toml: organisation", [one.place for one in found])

    def test_not_utf8_names_the_line(self) -> None:
        (finding,) = self._find(b'organisation = "a"\n# \xff')
        self.assertEqual(finding.place, "a.toml:2")
        self.assertIn("UTF-8", finding.text)

    def test_not_toml_names_line_and_column(self) -> None:
        (finding,) = self._find(b'organisation = "a"\nservices = ]')
        self.assertIn("line 2", finding.text)

    def test_over_a_megabyte(self) -> None:
        (finding,) = self._find(b"#" * (reader.MAX_FILE_BYTES + 1))
        self.assertIn("1000000 bytes", finding.text)

    def test_nested_too_deeply(self) -> None:
        (finding,) = self._find(b"a = " + b"[" * 100_000)
        self.assertEqual(finding.place, "a.toml")

    def test_budget_is_for_the_mesh_alone(self) -> None:
        (finding,) = self._find(b'organisation = "a"\nbudget_slots = 5')
        self.assertEqual(finding.place, "a.toml: budget_slots")
        (finding,) = self._find(b'organisation = "mesh"')
        self.assertEqual(finding.place, "a.toml: budget_slots")

    def test_two_classes_with_equal_match(self) -> None:
        (finding,) = self._find(_write_file({"a": _GOOD, "b": _GOOD}))
        self.assertEqual(
            finding.place, "a.toml: services.balie.classes.b.match"
        )

    def test_payout_needs_a_key_unless_said_otherwise(self) -> None:
        content = _write_file({"payout": {**_GOOD, "repeatable": "false"}})
        document = reader.read_document(content, "a.toml")
        self.assertTrue(document.services[0].classes[0].key_required)
