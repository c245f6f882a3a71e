"""Tests of the headers that are passed on."""

from __future__ import annotations

import unittest
from unittest import mock

import multidict

from merlintrestle.requests.transport import headers


def _copy(*pairs: tuple[str, str]) -> list[tuple[str, str]]:
    """Copies headers twice: as new, and as ones whose names are known."""
    sent = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
    first = list(headers.copy_end_to_end(sent).items())
    second = list(headers.copy_end_to_end(sent).items())
    assert first == second
    return first


class CopyEndToEndTest(unittest.TestCase):
    """What a daemon passes on, and what ends at it."""

    def setUp(self) -> None:
        known = mock.patch.dict(headers._known, clear=True)
        known.start()
        self.addCleanup(known.stop)

    def test_keeps_order_and_repeated_headers(self) -> None:
        pairs = (("A", "1"), ("B", "2"), ("a", "3"))
        self.assertEqual(_copy(*pairs), list(pairs))

    def test_leaves_out_what_describes_the_connection(self) -> None:
        kept = _copy(("Keep-Alive", "5"), ("A", "1"), ("TE", "x"), ("te", "y"))
        self.assertEqual(kept, [("A", "1")])

    def test_leaves_out_the_products_own(self) -> None:
        kept = _copy(("merlintrestle-Plan", "[]"), ("A", "1"))
        self.assertEqual(kept, [("A", "1")])

    def test_leaves_out_what_connection_names_today(self) -> None:
        """Names alone do not say what is left out.

        Two requests have the same names, and the "Connection" of only one of
        them names another header. Remembered by names alone, that header of
        the other request was lost as well.
        """
        self.assertEqual(_copy(("Connection", "A"), ("A", "1")), [])
        kept = _copy(("Connection", "close"), ("A", "1"))
        self.assertEqual(kept, [("A", "1")])

    def test_remembers_only_so_much_of_what_callers_make_up(self) -> None:
        """Callers that make up names would fill the memory.

        Each request has other names, some of them long; what is remembered
        stays within its bounds, and each request is still copied rightly.
        """
        for number in range(headers._MAX_KNOWN + 10):
            name = f"X-{number}"
            self.assertEqual(_copy((name, "1"), ("TE", "x")), [(name, "1")])
        long = "X" * (headers._MAX_NAME_CHARACTERS + 1)
        self.assertEqual(_copy((long, "1"), ("TE", "x")), [(long, "1")])
        self.assertLessEqual(len(headers._known), headers._MAX_KNOWN)
        self.assertFalse(any(long in names for names in headers._known))


if __name__ == "__main__":
    unittest.main()
