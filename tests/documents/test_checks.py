"""Tests of the consistency checks across documents."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from merlintrestle.documents import checks
from tests.documents import builders

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2


def _check(*documents: document_pb2.Document) -> list[str]:
    """Returns the `place` of each finding about the documents."""
    findings = checks.check_documents(
        {document.organisation: document for document in documents}
    )
    return [finding.place for finding in findings]


class CheckDocumentsTest(unittest.TestCase):
    def test_call_to_unknown_service_is_reported(self) -> None:
        service = builders.build_service("balie", calls=["kassa"])
        document = builders.build_document("zaanoever", service)
        self.assertEqual(_check(document), ["zaanoever: services.balie.calls"])

    def test_two_owners_of_a_service_are_both_reported(self) -> None:
        zaanoever = builders.build_document(
            "zaanoever", builders.build_service()
        )
        kochi = builders.build_document("kochi", builders.build_service())
        self.assertEqual(
            _check(zaanoever, kochi),
            ["kochi: services.balie", "zaanoever: services.balie"],
        )

    def test_declaration_for_unshared_service_is_reported(self) -> None:
        owning = builders.build_document("zaanoever", builders.build_service())
        foreign = builders.build_document(
            "kochi", builders.build_service(owner="zaanoever")
        )
        self.assertEqual(
            _check(owning, foreign), ["kochi: services.balie.owner"]
        )
        owning.services[0].shared = True
        self.assertEqual(_check(owning, foreign), [])

    def test_declaration_for_unowned_service_is_reported(self) -> None:
        foreign = builders.build_document(
            "kochi", builders.build_service(owner="zaanoever")
        )
        self.assertEqual(_check(foreign), ["kochi: services.balie.owner"])

    def test_over_budget_reports_the_demand_of_each_class(self) -> None:
        mesh = builders.build_mesh_document(slots=1)
        zaanoever = builders.build_document(
            "zaanoever",
            builders.build_service("balie", builders.build_class()),
        )
        kochi = builders.build_document(
            "kochi",
            builders.build_service("dwell-desk", builders.build_class()),
        )
        self.assertEqual(_check(mesh, zaanoever), [])
        self.assertEqual(
            _check(mesh, zaanoever, kochi),
            [
                "mesh: budget_slots",
                "kochi: services.dwell-desk.classes.lookup",
                "zaanoever: services.balie.classes.lookup",
            ],
        )

    def test_demand_without_a_budget_is_reported(self) -> None:
        document = builders.build_document(
            "zaanoever",
            builders.build_service("balie", builders.build_class()),
        )
        self.assertEqual(_check(document), ["mesh: budget_slots"])
