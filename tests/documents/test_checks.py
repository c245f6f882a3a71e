"""Tests of the checks across documents."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from merlintrestle.documents import checks
from tests.documents import builders

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2


def _check(*documents: document_pb2.Document) -> list[str]:
    found = checks.check_documents(
        {document.organisation: document for document in documents}
    )
    return [finding.place for finding in found]


class CheckDocumentsTest(unittest.TestCase):
    def test_unknown_service_in_calls(self) -> None:
        service = builders.build_service("balie", calls=["kassa"])
        document = builders.build_document("zaanoever", service)
        self.assertEqual(_check(document), ["zaanoever: services.balie.calls"])

    def test_service_with_two_owners_names_both(self) -> None:
        one = builders.build_document("zaanoever", builders.build_service())
        other = builders.build_document("kochi", builders.build_service())
        self.assertEqual(
            _check(one, other),
            ["kochi: services.balie", "zaanoever: services.balie"],
        )

    def test_class_on_a_service_that_is_not_shared(self) -> None:
        own = builders.build_document("zaanoever", builders.build_service())
        foreign = builders.build_document(
            "kochi", builders.build_service(owner="zaanoever")
        )
        self.assertEqual(_check(own, foreign), ["kochi: services.balie.owner"])
        own.services[0].shared = True
        self.assertEqual(_check(own, foreign), [])

    def test_class_on_a_service_that_nobody_has(self) -> None:
        foreign = builders.build_document(
            "kochi", builders.build_service(owner="zaanoever")
        )
        self.assertEqual(_check(foreign), ["kochi: services.balie.owner"])

    def test_over_budget_names_each_figure(self) -> None:
        mesh = builders.build_mesh_document(slots=1)
        one = builders.build_document(
            "zaanoever",
            builders.build_service("balie", builders.build_class()),
        )
        other = builders.build_document(
            "kochi",
            builders.build_service("dwell-desk", builders.build_class()),
        )
        self.assertEqual(_check(mesh, one), [])
        self.assertEqual(
            _check(mesh, one, other),
            [
                "mesh: budget_slots",
                "kochi: services.dwell-desk.classes.lookup",
                "zaanoever: services.balie.classes.lookup",
            ],
        )

    def test_demand_without_a_budget(self) -> None:
        document = builders.build_document(
            "zaanoever",
            builders.build_service("balie", builders.build_class()),
        )
        self.assertEqual(_check(document), ["mesh: budget_slots"])
