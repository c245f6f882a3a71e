"""Tests of the headers that are forwarded."""

from __future__ import annotations

import unittest
from unittest import mock

import multidict

from merlintrestle.requests.transport import headers


def _copy(*pairs: tuple[str, str]) -> list[tuple[str, str]]:
    """Copies headers twice: with new names, and with cached names."""
    sent = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
    first = list(headers.copy_end_to_end(sent).items())
    second = list(headers.copy_end_to_end(sent).items())
    assert first == second
    return first


class CopyEndToEndTest(unittest.TestCase):
    """Headers that a daemon forwards or removes."""

    def setUp(self) -> None:
        cache = mock.patch.dict(headers._excluded_by_names, clear=True)
        cache.start()
        self.addCleanup(cache.stop)

    def test_keeps_order_and_repeated_headers(self) -> None:
        pairs = (("A", "1"), ("B", "2"), ("a", "3"))
        self.assertEqual(_copy(*pairs), list(pairs))

    def test_removes_hop_by_hop_headers(self) -> None:
        kept = _copy(("Keep-Alive", "5"), ("A", "1"), ("TE", "x"), ("te", "y"))
        self.assertEqual(kept, [("A", "1")])

    def test_removes_headers_of_this_system(self) -> None:
        kept = _copy(("merlintrestle-Plan", "[]"), ("A", "1"))
        self.assertEqual(kept, [("A", "1")])

    def test_removes_headers_named_in_connection(self) -> None:
        """Header names alone do not determine which headers are removed.

        Two requests have the same header names, but the "Connection" header of
        only one of them names another header. If the result were cached by
        names alone, the other request would lose that header as well.
        """
        self.assertEqual(_copy(("Connection", "A"), ("A", "1")), [])
        kept = _copy(("Connection", "close"), ("A", "1"))
        self.assertEqual(kept, [("A", "1")])

    def test_cache_size_is_limited(self) -> None:
        """Callers that send arbitrary header names cannot exhaust the memory.

        Each request has different names, some of them long. The size of the
        cache stays within its limits, and each request is copied correctly.
        """
        for number in range(headers._MAX_CACHED + 10):
            name = f"X-{number}"
            self.assertEqual(_copy((name, "1"), ("TE", "x")), [(name, "1")])
        long = "X" * (headers._MAX_NAME_CHARACTERS + 1)
        self.assertEqual(_copy((long, "1"), ("TE", "x")), [(long, "1")])
        self.assertLessEqual(
            len(headers._excluded_by_names), headers._MAX_CACHED
        )
        self.assertFalse(
            any(long in names for names in headers._excluded_by_names)
        )


if __name__ == "__main__":
    unittest.main()
