"""Tests of generic functions that remember their choices."""

from __future__ import annotations

import functools
import unittest

from merlintrestle import generics


class RememberChoicesTest(unittest.TestCase):
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

    def test_takes_a_later_registration_into_account(self) -> None:
        """A choice that was remembered too long.

        A dialect is called before another module has registered its own
        answer for it; the first choice was kept and the module's never used.
        """
        self.assertEqual(self.name(True), "any")
        self.name.register(int, lambda value, suffix="": "number")
        self.assertEqual(self.name(True), "number")


if __name__ == "__main__":
    unittest.main()
