"""Tests of workspaces in target documents."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

import hypothesis

from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.documents import differences
from merlintrestle.documents import reader
from merlintrestle.documents import snapshot
from merlintrestle.documents import writer
from tests.documents import builders

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

_KEY = "sk-live-4f1d9be0c2"
_DIGEST = snapshot.hash_key(_KEY).hex()
_INVALID = {
    "name": ["1", f'"{_KEY}_"', '""'],
    "key_digests": [
        f'"{_KEY}"',
        f'["{_KEY}"]',
        f'["{_DIGEST[:-1]}"]',
        f'["{_DIGEST}", "{_DIGEST}"]',
        f'{{a = "{_KEY}"}}',
    ],
    "importance": ["6", f'"{_KEY}"', "true"],
    "rate": ["-1", "nan", "inf", f'"{_KEY}"'],
    "burst": ["-0.5", "1e9"],
    "keys": [f'["{_KEY}"]'],
}


def _write_mesh(*tables: dict[str, str], organisation: str = "mesh") -> bytes:
    lines = [f'organisation = "{organisation}"']
    if organisation == "mesh":
        lines.append("budget_slots = 5")
    for table in tables:
        lines.append("[[workspaces]]")
        lines += [f"{key} = {value}" for key, value in table.items()]
    return "\n".join(lines).encode()


def _build_table(name: str = "acme", **values: str) -> dict[str, str]:
    digest = snapshot.hash_key(name).hex()
    return {"name": f'"{name}"', "key_digests": f'["{digest}"]', **values}


class ReadWorkspacesTest(unittest.TestCase):
    def _list_findings(self, content: bytes) -> list[errors.Finding]:
        with self.assertRaises(errors.InvalidInputError) as caught:
            reader.read_document(content, "mesh.toml")
        return caught.exception.findings

    def test_invalid_value_is_reported_without_the_value(self) -> None:
        """An operator writes an API key where another value belongs.

        Findings are printed and end in tickets and logs, so none may contain
        the key.
        """
        for key, values in _INVALID.items():
            for value in values:
                with self.subTest(key=key, value=value):
                    table = _build_table(rate="1") | {key: value}
                    (finding,) = self._list_findings(_write_mesh(table))
                    self.assertTrue(finding.place.endswith(f".{key}"))
                    self.assertNotIn(_KEY, str(finding))
                    self.assertNotIn(_DIGEST, str(finding))

    def test_missing_keys_are_reported(self) -> None:
        self.assertEqual(
            [one.place for one in self._list_findings(_write_mesh({}))],
            [
                "mesh.toml: workspaces[1].name",
                "mesh.toml: workspaces[1].key_digests",
            ],
        )

    def test_burst_without_rate_is_reported(self) -> None:
        table = _build_table(burst="5")
        (finding,) = self._list_findings(_write_mesh(table))
        self.assertEqual(finding.place, "mesh.toml: workspaces.acme.burst")

    def test_key_of_two_workspaces_is_reported(self) -> None:
        second = _build_table("borax") | {
            "key_digests": _build_table()["key_digests"].upper()
        }
        content = _write_mesh(_build_table(), second)
        (finding,) = self._list_findings(content)
        self.assertEqual(
            finding.place, "mesh.toml: workspaces.borax.key_digests"
        )
        self.assertIn("'acme'", finding.text)

    def test_name_of_two_workspaces_is_reported(self) -> None:
        second = _build_table() | {"key_digests": f'["{_DIGEST}"]'}
        (finding,) = self._list_findings(_write_mesh(_build_table(), second))
        self.assertEqual(finding.place, "mesh.toml: workspaces.acme.name")

    def test_only_the_mesh_has_workspaces(self) -> None:
        content = _write_mesh(_build_table(), organisation="kochi")
        (finding,) = self._list_findings(content)
        self.assertEqual(finding.place, "mesh.toml: workspaces")


class CompileWorkspacesTest(unittest.TestCase):
    def test_key_finds_its_workspace_and_anonymous_is_of_the_class(
        self,
    ) -> None:
        workspace = builders.build_workspace(
            "acme", "a", "b", importance=4, rate=40.0, burst=80.0
        )
        service = builders.build_service(
            "balie",
            builders.build_class("lookup", anonymous=True),
            builders.build_class("weighing"),
        )
        compiled = compiler.compile_snapshot(
            1,
            {
                "mesh": builders.build_mesh_document(5, workspace),
                "zaanoever": builders.build_document("zaanoever", service),
            },
        )
        found = compiled.find_workspace(snapshot.hash_key("b"))
        assert found is not None
        self.assertEqual(
            found,
            snapshot.Workspace(
                "acme", tuple(workspace.key_digests), 4, 40.0, 80.0
            ),
        )
        balie = compiled.services["balie"]
        for path, anonymous in (("/lookup", True), ("/weighing", False)):
            route = balie.match("GET", path)
            assert route is not None
            self.assertEqual(route.anonymous, anonymous)


class DifferencesTest(unittest.TestCase):
    def test_changes_of_workspaces_are_listed_with_short_digests(self) -> None:
        old = builders.build_mesh_document(
            5,
            builders.build_workspace("acme", "a", "b", rate=40.0),
            builders.build_workspace("borax", "c"),
        )
        new = builders.build_mesh_document(
            5, builders.build_workspace("acme", "a", "d", rate=20.0, burst=5.0)
        )
        digests = {
            key: snapshot.hash_key(key).hex()[:12] + "..." for key in "bcd"
        }
        self.assertEqual(
            sorted(differences.list_differences(old, new)),
            sorted(
                [
                    "~ workspaces.acme.rate: 40 -> 20",
                    "~ workspaces.acme.burst: 0 -> 5",
                    f"- workspaces.acme.key_digests: {digests['b']}",
                    f"+ workspaces.acme.key_digests: {digests['d']}",
                    "- workspaces.borax: no quota,"
                    " importance that of the class",
                    f"- workspaces.borax.key_digests: {digests['c']}",
                ]
            ),
        )

    @hypothesis.given(builders.draw_documents("mesh"))
    def test_no_line_has_a_whole_digest(
        self, document: document_pb2.Document
    ) -> None:
        shown = writer.write_document(document, whole_digests=False)
        shown += "\n".join(differences.list_differences(None, document))
        for workspace in document.workspaces:
            for digest in workspace.key_digests:
                self.assertNotIn(digest.hex(), shown)


if __name__ == "__main__":
    unittest.main()
