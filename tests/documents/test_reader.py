"""Tests of the reader of target documents."""

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

_VALID_CLASS = {
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
# Values of each key that have an invalid type, range or format.
_INVALID_VALUES = {
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
    "anonymous": ["1", '"yes"'],
    "latency": ["250"],
    "importancy": ["5"],
}


def _write_file(classes: dict[str, dict[str, str]]) -> bytes:
    lines = ['organisation = "zaanoever"']
    for name, keys in classes.items():
        lines.append(f"[services.balie.classes.{name}]")
        lines += [f"{key} = {value}" for key, value in keys.items()]
    return "\n".join(lines).encode()


def _draw_invalid_values() -> st.SearchStrategy[dict[str, str]]:
    return st.sets(
        st.sampled_from(sorted(_INVALID_VALUES)), min_size=1
    ).flatmap(
        lambda keys: st.fixed_dictionaries(
            {key: st.sampled_from(_INVALID_VALUES[key]) for key in sorted(keys)}
        )
    )


class ReadDocumentTest(unittest.TestCase):
    def _list_findings(self, content: bytes) -> list[errors.Finding]:
        with self.assertRaises(errors.InvalidInputError) as caught:
            reader.read_document(content, "a.toml")
        return caught.exception.findings

    @hypothesis.given(
        st.sampled_from((*builders.ORGANISATIONS, "mesh")).flatmap(
            builders.draw_documents
        )
    )
    def test_written_document_reads_back_equal(
        self, document: document_pb2.Document
    ) -> None:
        text = writer.write_document(document)
        self.assertEqual(reader.read_document(text.encode(), "a"), document)

    @hypothesis.given(_draw_invalid_values(), _draw_invalid_values())
    def test_reports_every_invalid_value(
        self, first: dict[str, str], second: dict[str, str]
    ) -> None:
        content = _write_file(
            {
                "lookup": {**_VALID_CLASS, **first},
                "payout": {**_VALID_CLASS, **second},
            }
        )
        places = {finding.place for finding in self._list_findings(content)}
        for name, invalid in (("lookup", first), ("payout", second)):
            for key in invalid:
                place = f"a.toml: services.balie.classes.{name}.{key}"
                # key_required = true is only invalid with repeatable = true.
                if key != "key_required" or "repeatable" not in invalid:
                    self.assertIn(place, places)

    @hypothesis.given(st.binary(max_size=200))
    def test_any_bytes_give_a_document_or_findings(
        self, content: bytes
    ) -> None:
        try:
            reader.read_document(content, "a.toml")
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)

    def test_every_missing_key_is_reported(self) -> None:
        findings = self._list_findings(b"[services.balie.classes.lookup]")
        keys = {finding.place.rpartition(".")[2] for finding in findings}
        self.assertLessEqual({*_VALID_CLASS} - {"importance", "size"}, keys)
        self.assertIn(
            "a.toml: organisation", [finding.place for finding in findings]
        )

    def test_invalid_utf8_reports_the_line(self) -> None:
        (finding,) = self._list_findings(b'organisation = "a"\n# \xff')
        self.assertEqual(finding.place, "a.toml:2")
        self.assertIn("UTF-8", finding.text)

    def test_invalid_toml_reports_line_and_column(self) -> None:
        (finding,) = self._list_findings(b'organisation = "a"\nservices = ]')
        self.assertIn("line 2", finding.text)

    def test_file_larger_than_a_megabyte_is_reported(self) -> None:
        (finding,) = self._list_findings(b"#" * (reader.MAX_FILE_BYTES + 1))
        self.assertIn("1000000 bytes", finding.text)

    def test_too_deep_nesting_is_reported(self) -> None:
        (finding,) = self._list_findings(b"a = " + b"[" * 100_000)
        self.assertEqual(finding.place, "a.toml")

    def test_only_the_mesh_declares_a_budget(self) -> None:
        (finding,) = self._list_findings(
            b'organisation = "a"\nbudget_slots = 5'
        )
        self.assertEqual(finding.place, "a.toml: budget_slots")
        (finding,) = self._list_findings(b'organisation = "mesh"')
        self.assertEqual(finding.place, "a.toml: budget_slots")

    def test_equal_match_of_two_classes_is_reported(self) -> None:
        (finding,) = self._list_findings(
            _write_file({"a": _VALID_CLASS, "b": _VALID_CLASS})
        )
        self.assertEqual(
            finding.place, "a.toml: services.balie.classes.b.match"
        )

    def test_class_that_is_not_repeatable_requires_a_key_by_default(
        self,
    ) -> None:
        content = _write_file(
            {"payout": {**_VALID_CLASS, "repeatable": "false"}}
        )
        document = reader.read_document(content, "a.toml")
        self.assertTrue(document.services[0].classes[0].key_required)
