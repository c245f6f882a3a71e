"""Tests of the compiler of documents and the loader of snapshots."""

from __future__ import annotations

import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle import errors
from merlintrestle.documents import checks
from merlintrestle.documents import compiler
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2
from tests.documents import builders

Documents = dict[str, document_pb2.Document]


def _draw_consistent_documents() -> st.SearchStrategy[Documents]:
    """Draws documents and drops each that is inconsistent with earlier ones."""
    return st.fixed_dictionaries(
        {name: builders.draw_documents(name) for name in builders.ORGANISATIONS}
    ).map(_drop_inconsistent)


def _drop_inconsistent(drawn: Documents) -> Documents:
    consistent = {"mesh": builders.build_mesh_document()}
    for name, document in drawn.items():
        if not checks.check_documents({**consistent, name: document}):
            consistent[name] = document
    return consistent


class CompileSnapshotTest(unittest.TestCase):
    @hypothesis.given(
        _draw_consistent_documents(), st.randoms(use_true_random=False)
    )
    def test_snapshot_does_not_depend_on_order_of_organisations(
        self, documents: Documents, random: object
    ) -> None:
        names = list(documents)
        random.shuffle(names)  # type: ignore[attr-defined]
        ordered = compiler.compile_snapshot(3, documents)
        shuffled = compiler.compile_snapshot(
            3, {name: documents[name] for name in names}
        )
        self.assertEqual(ordered.digest, shuffled.digest)
        self.assertEqual(ordered.resources, shuffled.resources)

    def test_shared_service_does_not_depend_on_order_of_organisations(
        self,
    ) -> None:
        """Daemons read the documents of three organisations in any order.

        All three have classes on the same service. If its resource listed the
        classes in the order of reading, daemons would run different bytes for
        the same version and reject each other's incremental updates (deltas).
        """
        service = builders.build_service("balie", builders.build_class("a"))
        service.shared = True
        documents = {"zaanoever": builders.build_document("zaanoever", service)}
        for name in ("kochi", "haven"):
            documents[name] = builders.build_document(
                name,
                builders.build_service(
                    "balie", builders.build_class("b"), owner="zaanoever"
                ),
            )
        digests = {
            compiler.compile_snapshot(1, dict(permutation)).digest
            for permutation in itertools.permutations(documents.items())
        }
        self.assertEqual(len(digests), 1)

    @hypothesis.given(_draw_consistent_documents())
    def test_loaded_snapshot_equals_the_compiled_one(
        self, documents: Documents
    ) -> None:
        compiled = compiler.compile_snapshot(3, documents)
        loaded = loader.load_snapshot(3, compiled.resources)
        self.assertEqual(loaded.digest, compiled.digest)
        self.assertEqual(loaded.services, compiled.services)
        for service in loaded.services.values():
            self.assertLessEqual({*service.calls}, {*loaded.services})

    @hypothesis.given(_draw_consistent_documents(), st.data())
    def test_missing_resource_is_rejected_or_changes_the_digest(
        self, documents: Documents, data: st.DataObject
    ) -> None:
        """A resource is missing, for example from a peer's incremental update.

        Routes would refer to a missing service or class, and calls would fail
        although the version is in force. The loader rejects such a snapshot.
        If nothing refers to the missing resource, only the digest changes.
        """
        compiled = compiler.compile_snapshot(3, documents)
        name = data.draw(st.sampled_from(sorted(compiled.resources)))
        remaining = {**compiled.resources}
        del remaining[name]
        try:
            loaded = loader.load_snapshot(3, remaining)
        except errors.SnapshotError:
            return
        self.assertFalse(name.startswith("class/"))
        self.assertNotEqual(loaded.digest, compiled.digest)

    @hypothesis.given(
        _draw_consistent_documents(), _draw_consistent_documents()
    )
    def test_base_does_not_change_the_loaded_snapshot(
        self, old: Documents, new: Documents
    ) -> None:
        """A daemon parses only the changed resources of a version.

        If it reused the parsed form of a changed resource, it would apply
        targets that are no longer in force, although the digest is correct.
        """
        base = compiler.compile_snapshot(3, old)
        expected = compiler.compile_snapshot(4, new)
        loaded = loader.load_snapshot(
            4,
            expected.resources,
            base,
            snapshot.compute_digest(4, expected.resources),
        )
        self.assertEqual(loaded.services, expected.services)
        self.assertEqual(loaded.digest, expected.digest)

    def test_unchanged_service_is_shared_with_the_base(self) -> None:
        """A new version must not parse unchanged services again.

        Parsing 740 services again blocked the event loop for 58 ms.
        """
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        base = compiler.compile_snapshot(1, documents)
        loaded = loader.load_snapshot(2, dict(base.resources), base)
        self.assertIs(loaded.services["balie"], base.services["balie"])

    def test_changed_class_is_not_reused_from_the_base(self) -> None:
        """An operator changes one latency target and nothing else.

        The service resource itself does not change. If the service were
        reused because of that, the old target would be applied although the
        new version is in force.
        """
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        base = compiler.compile_snapshot(1, documents)
        service.classes[0].latency_ms += 1
        documents = {"a": builders.build_document("a", service)}
        expected = compiler.compile_snapshot(2, documents)
        loaded = compiler.compile_snapshot(2, documents, base)
        self.assertEqual(loaded.services, expected.services)
        self.assertNotEqual(loaded.services, base.services)

    def test_empty_digest_from_a_peer_is_rejected(self) -> None:
        with self.assertRaises(errors.SnapshotError):
            loader.load_snapshot(1, {}, None, b"")

    @hypothesis.given(st.binary(max_size=60))
    def test_malformed_resource_raises_only_snapshot_error(
        self, value: bytes
    ) -> None:
        """A peer sends arbitrary bytes; no other exception may be raised."""
        # Some bytes are a valid resource. "class/" has no valid name, so the
        # snapshot is always rejected.
        for name in ("budget", "service/balie", "class/balie/a/b", "route/x"):
            with self.assertRaises(errors.SnapshotError):
                loader.load_snapshot(1, {name: value, "class/": value})

    def test_class_of_a_removed_service_is_rejected(self) -> None:
        """An organisation withdraws a service on which another has a class.

        No call could be answered through a route to a missing service. The
        entire version is rejected and the daemon keeps its current version.
        """
        documents = {
            "zaanoever": builders.build_document(
                "zaanoever", builders.build_service("balie", shared=True)
            ),
            "kochi": builders.build_document(
                "kochi",
                builders.build_service(
                    "balie", builders.build_class(), owner="zaanoever"
                ),
            ),
        }
        compiler.compile_snapshot(1, documents)
        del documents["zaanoever"]
        with self.assertRaises(errors.SnapshotError):
            compiler.compile_snapshot(2, documents)

    def test_class_that_its_service_does_not_list_is_rejected(self) -> None:
        """An incremental update has a class but not the service that lists it.

        The calls of the class would have no route although its targets are in
        force.
        """
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        resources = dict(compiler.compile_snapshot(1, documents).resources)
        del service.classes[:]
        documents = {"a": builders.build_document("a", service)}
        without_class = compiler.compile_snapshot(1, documents).resources
        with self.assertRaisesRegex(errors.SnapshotError, "not listed"):
            loader.load_snapshot(1, {**resources, **without_class})

    def test_too_large_snapshot_is_rejected(self) -> None:
        matches = [f"GET /{'x' * 150}/{i}" for i in range(1000)]
        services = [
            builders.build_service(f"s{i}", builders.build_class(match=matches))
            for i in range(25)
        ]
        documents = {"a": builders.build_document("a", *services)}
        with self.assertRaisesRegex(errors.SnapshotError, "are allowed"):
            compiler.compile_snapshot(1, documents)


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        classes = [
            builders.build_class("fallback", match=["* /"]),
            builders.build_class("get-tickets", match=["GET /tickets"]),
            builders.build_class("get-ticket-one", match=["GET /tickets/one"]),
            builders.build_class("any-method-tickets", match=["* /tickets"]),
        ]
        document = builders.build_document(
            "zaanoever", builders.build_service("balie", *classes)
        )
        compiled = compiler.compile_snapshot(1, {"zaanoever": document})
        self.service = compiled.services["balie"]

    def _match(self, method: str, path: str, organisation: str = "") -> str:
        route = self.service.match(method, path, organisation)
        return route.plan.name if route else ""

    def test_longest_prefix_precedes_named_method(self) -> None:
        self.assertEqual(self._match("GET", "/tickets/one/2"), "get-ticket-one")
        self.assertEqual(self._match("GET", "/tickets/2"), "get-tickets")
        self.assertEqual(
            self._match("PUT", "/tickets/one"), "any-method-tickets"
        )
        self.assertEqual(self._match("GET", "/other"), "fallback")

    def test_other_organisation_has_no_route(self) -> None:
        self.assertEqual(self._match("GET", "/tickets", "kochi"), "")
