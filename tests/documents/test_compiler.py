"""Tests of compiling documents and loading snapshots."""

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


def _draw_accepted() -> st.SearchStrategy[Documents]:
    """Draws documents that fit together, by giving up those that do not."""
    return st.fixed_dictionaries(
        {name: builders.draw_documents(name) for name in builders.ORGANISATIONS}
    ).map(_keep_fitting)


def _keep_fitting(drawn: Documents) -> Documents:
    kept = {"mesh": builders.build_mesh_document()}
    for name, document in drawn.items():
        if not checks.check_documents({**kept, name: document}):
            kept[name] = document
    return kept


class CompileSnapshotTest(unittest.TestCase):
    @hypothesis.given(_draw_accepted(), st.randoms(use_true_random=False))
    def test_order_of_organisations_does_not_matter(
        self, documents: Documents, random: object
    ) -> None:
        names = list(documents)
        random.shuffle(names)  # type: ignore[attr-defined]
        one = compiler.compile_snapshot(3, documents)
        other = compiler.compile_snapshot(
            3, {name: documents[name] for name in names}
        )
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.resources, other.resources)

    def test_order_does_not_matter_on_a_shared_service(self) -> None:
        """Daemons read the documents of three organisations in any order.

        All have classes on one service. If its resource listed them in the
        order of reading, daemons would run other bytes under one version and
        each would refuse the other's deltas.
        """
        own = builders.build_service("balie", builders.build_class("a"))
        own.shared = True
        documents = {"zaanoever": builders.build_document("zaanoever", own)}
        for name in ("kochi", "haven"):
            documents[name] = builders.build_document(
                name,
                builders.build_service(
                    "balie", builders.build_class("b"), owner="zaanoever"
                ),
            )
        digests = {
            compiler.compile_snapshot(1, dict(ordered)).digest
            for ordered in itertools.permutations(documents.items())
        }
        self.assertEqual(len(digests), 1)

    @hypothesis.given(_draw_accepted())
    def test_loading_gives_the_same_snapshot(
        self, documents: Documents
    ) -> None:
        compiled = compiler.compile_snapshot(3, documents)
        loaded = loader.load_snapshot(3, compiled.resources)
        self.assertEqual(loaded.digest, compiled.digest)
        self.assertEqual(loaded.services, compiled.services)
        for service in loaded.services.values():
            self.assertLessEqual({*service.calls}, {*loaded.services})

    @hypothesis.given(_draw_accepted(), st.data())
    def test_lost_resource_is_refused_or_gives_another_digest(
        self, documents: Documents, data: st.DataObject
    ) -> None:
        """A proxy misses one resource of a snapshot, say by a bad delta.

        Its routes would point at a service or class that it does not have,
        and calls would fail though the version is in force. Loading refuses
        it; a service that nothing refers to shows in the digest alone.
        """
        compiled = compiler.compile_snapshot(3, documents)
        name = data.draw(st.sampled_from(sorted(compiled.resources)))
        rest = {**compiled.resources}
        del rest[name]
        try:
            loaded = loader.load_snapshot(3, rest)
        except errors.SnapshotError:
            return
        self.assertFalse(name.startswith("class/"))
        self.assertNotEqual(loaded.digest, compiled.digest)

    @hypothesis.given(_draw_accepted(), _draw_accepted())
    def test_base_changes_nothing_of_what_is_loaded(
        self, before: Documents, after: Documents
    ) -> None:
        """A daemon reads only what a version changed and keeps the rest.

        A part kept though it changed would route calls by targets that are
        no longer in force, while the digest still says that all is well.
        """
        base = compiler.compile_snapshot(3, before)
        whole = compiler.compile_snapshot(4, after)
        loaded = loader.load_snapshot(
            4,
            whole.resources,
            base,
            snapshot.compute_digest(4, whole.resources),
        )
        self.assertEqual(loaded.services, whole.services)
        self.assertEqual(loaded.digest, whole.digest)

    def test_unchanged_service_is_shared_with_the_base(self) -> None:
        """At 740 services reading all anew held the loop for 58 ms."""
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        base = compiler.compile_snapshot(1, documents)
        loaded = loader.load_snapshot(2, dict(base.resources), base)
        self.assertIs(loaded.services["balie"], base.services["balie"])

    def test_changed_class_is_not_kept_from_the_base(self) -> None:
        """An operator changes one latency target and nothing else.

        The service's own resource stays the same; a service kept for that
        would serve by the old target though the new version is in force.
        """
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        base = compiler.compile_snapshot(1, documents)
        service.classes[0].latency_ms += 1
        documents = {"a": builders.build_document("a", service)}
        whole = compiler.compile_snapshot(2, documents)
        loaded = compiler.compile_snapshot(2, documents, base)
        self.assertEqual(loaded.services, whole.services)
        self.assertNotEqual(loaded.services, base.services)

    def test_empty_digest_from_a_peer_is_refused(self) -> None:
        with self.assertRaises(errors.SnapshotError):
            loader.load_snapshot(1, {}, None, b"")

    @hypothesis.given(st.binary(max_size=60))
    def test_any_bytes_load_or_are_refused(self, noise: bytes) -> None:
        for name in ("budget", "service/balie", "class/balie/a/b", "route/x"):
            with self.assertRaises(errors.SnapshotError):
                loader.load_snapshot(1, {name: noise, "class/": noise})

    def test_class_of_a_removed_service_is_refused(self) -> None:
        """An organisation withdraws a service that another's class is on.

        A route to a service that is not there would answer nothing; the
        whole version is refused and the proxy stays where it is.
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

    def test_class_that_its_service_does_not_list_is_refused(self) -> None:
        """A delta brings a class but not the service that lists it.

        Its calls would get no route though its targets are in force.
        """
        service = builders.build_service("balie", builders.build_class())
        documents = {"a": builders.build_document("a", service)}
        whole = dict(compiler.compile_snapshot(1, documents).resources)
        del service.classes[:]
        documents = {"a": builders.build_document("a", service)}
        bare = compiler.compile_snapshot(1, documents).resources
        with self.assertRaisesRegex(errors.SnapshotError, "not listed"):
            loader.load_snapshot(1, {**whole, **bare})

    def test_too_large_is_refused(self) -> None:
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
            builders.build_class("any", match=["* /"]),
            builders.build_class("all", match=["GET /tickets"]),
            builders.build_class("one", match=["GET /tickets/one"]),
            builders.build_class("open", match=["* /tickets"]),
        ]
        document = builders.build_document(
            "zaanoever", builders.build_service("balie", *classes)
        )
        compiled = compiler.compile_snapshot(1, {"zaanoever": document})
        self.service = compiled.services["balie"]

    def _match(self, method: str, path: str, organisation: str = "") -> str:
        plan = self.service.match(method, path, organisation)
        return plan.name if plan else ""

    def test_longest_prefix_then_named_method(self) -> None:
        self.assertEqual(self._match("GET", "/tickets/one/2"), "one")
        self.assertEqual(self._match("GET", "/tickets/2"), "all")
        self.assertEqual(self._match("PUT", "/tickets/one"), "open")
        self.assertEqual(self._match("GET", "/other"), "any")

    def test_other_organisation_has_no_route(self) -> None:
        self.assertEqual(self._match("GET", "/tickets", "kochi"), "")
