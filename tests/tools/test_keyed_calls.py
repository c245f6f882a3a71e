"""Tests for `tools.keyed_calls`."""

from __future__ import annotations

import unittest

from merlintrestle.documents import reader
from merlintrestle.documents import snapshot
from tools import keyed_calls


def _build_results(limited: dict[int, int]) -> list[keyed_calls.GroupResult]:
    return [
        keyed_calls.GroupResult(
            keyed_calls.Group("a key", "", 20, frozenset({401})), {401: 20}, 0.1
        ),
        keyed_calls.GroupResult(
            keyed_calls.Group("a quota", "", 300, frozenset({200, 429, 503})),
            limited,
            0.1,
        ),
    ]


class KeyedCallsTest(unittest.TestCase):
    def test_violations(self) -> None:
        """Guards against a demonstration that holds whatever came of it."""
        for limited, count in (
            ({200: 30, 429: 268, 503: 2}, 0),
            ({200: 98, 429: 202}, 1),
            ({200: 300}, 1),
            ({503: 300}, 1),
            ({200: 30, 429: 269, 0: 1}, 1),
        ):
            with self.subTest(limited=limited):
                violations = keyed_calls.list_violations(
                    _build_results(limited)
                )
                self.assertEqual(len(violations), count)
        results = _build_results({200: 30, 429: 270})
        results[0].statuses[200] = 1
        self.assertEqual(len(keyed_calls.list_violations(results)), 1)

    def test_document_has_the_digests_of_the_example_keys(self) -> None:
        """Guards against an example whose keys no workspace has."""
        path = keyed_calls.find_document("zaanoever")
        assert path is not None
        document = reader.read_document(path.read_bytes(), path.name)
        digests = {
            workspace.name: list(workspace.key_digests)
            for workspace in document.workspaces
        }
        self.assertEqual(
            digests,
            {
                name: [snapshot.hash_key(key)]
                for name, key in keyed_calls.KEYS.items()
            },
        )
        self.assertIsNone(keyed_calls.find_document("kochi"))


if __name__ == "__main__":
    unittest.main()
