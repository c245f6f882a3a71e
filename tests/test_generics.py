"""Tests of generic functions that cache their implementations."""

from __future__ import annotations

import functools
import unittest

from merlintrestle import generics


class CacheDispatchTest(unittest.TestCase):
    def setUp(self) -> None:
        @generics.cache_dispatch
        @functools.singledispatch
        def format_value(value: object, suffix: str = "") -> str:
            return "any" + suffix

        self.format_value = format_value

    def test_class_of_the_first_argument_selects_the_implementation(
        self,
    ) -> None:
        self.format_value.register(
            int, lambda value, suffix="": "number" + suffix
        )
        for _ in range(2):
            self.assertEqual(self.format_value(1, "!"), "number!")
            self.assertEqual(self.format_value("text"), "any")

    def test_later_registration_is_used(self) -> None:
        """Guards against a cache that is not cleared by a registration.

        A generic function may be called before another module registers an
        implementation. If the cache kept the previous implementation, that of
        the module would never be called.
        """
        self.assertEqual(self.format_value(True), "any")
        self.format_value.register(int, lambda value, suffix="": "number")
        self.assertEqual(self.format_value(True), "number")


if __name__ == "__main__":
    unittest.main()
