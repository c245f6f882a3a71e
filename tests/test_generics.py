"""Tests of generic functions that cache their implementations."""

from __future__ import annotations

import functools
import unittest

from merlintrestle import generics


class CacheDispatchTest(unittest.TestCase):
    def setUp(self) -> None:
        @generics.cache_dispatch
        @functools.singledispatch
        def name(value: object, suffix: str = "") -> str:
            return "any" + suffix

        self.name = name

    def test_chooses_by_the_class_of_the_first_argument(self) -> None:
        self.name.register(int, lambda value, suffix="": "number" + suffix)
        for _ in range(2):
            self.assertEqual(self.name(1, "!"), "number!")
            self.assertEqual(self.name("text"), "any")

    def test_later_registration_is_used(self) -> None:
        """Guards against a cache that is not cleared by a registration.

        A function of a dialect is called before another module registers its
        implementation. The cached first implementation was kept, and that of
        the module was never used.
        """
        self.assertEqual(self.name(True), "any")
        self.name.register(int, lambda value, suffix="": "number")
        self.assertEqual(self.name(True), "number")


if __name__ == "__main__":
    unittest.main()
