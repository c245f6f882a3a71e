"""Tests for `merlintrestle.decoding`."""

from __future__ import annotations

import json
import math
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle import decoding

_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=3), children, max_size=3)
    ),
    max_leaves=20,
)


class DecodeJsonTest(unittest.TestCase):
    @hypothesis.given(_VALUES)
    def test_values_within_the_bounds_are_decoded(self, value: object) -> None:
        """Guards against sound values that are refused."""
        data = json.dumps(value).encode()
        self.assertEqual(decoding.decode_json(data, len(data)), value)

    @hypothesis.given(st.binary(max_size=200) | st.text(max_size=200))
    def test_any_bytes_give_a_value_or_the_error(
        self, data: bytes | str
    ) -> None:
        """Guards against an exception that no caller expects."""
        try:
            decoding.decode_json(data, 100)
        except decoding.MalformedValueError:
            return
        self.assertLessEqual(len(data), 100)

    def test_deep_values_are_refused(self) -> None:
        """Guards against an exception where a deep value is used or logged."""
        for depth in (decoding.MAX_DEPTH + 2, 900, 100_000):
            for opening, closing in (("[", "]"), ('{"a":', "}")):
                value = f"{opening * depth}1{closing * depth}"
                for data in (value, value.encode(), opening * depth):
                    with (
                        self.subTest(depth=depth, opening=opening),
                        self.assertRaises(decoding.MalformedValueError),
                    ):
                        decoding.decode_json(data, 10**6)

    def test_wide_values_are_no_deep_ones(self) -> None:
        """Guards against a large configuration that counts as nested."""
        value: list[object] = [[{"a": []}] for _ in range(10_000)]
        data = json.dumps(value)
        self.assertEqual(decoding.decode_json(data, len(data)), value)

    def test_numbers_with_many_digits_are_infinite(self) -> None:
        """Guards against numbers that fit no field, and are used."""
        for digits in (21, 4300, 100_000):
            number = "9" * digits
            data = f'{{"a": {number}, "b": -{number}, "c": 1e{number[:4]}}}'
            decoded = decoding.decode_json(data, 10**6)
            self.assertEqual(decoded["a"], math.inf)
            self.assertEqual(decoded["b"], -math.inf)
            self.assertFalse(decoding.is_number(decoded["c"], 1e300))

    def test_large_values_are_refused(self) -> None:
        """Guards against a value that fills the memory."""
        with self.assertRaises(decoding.MalformedValueError):
            decoding.decode_json(b" " * 101, 100)


class ParseWholeNumberTest(unittest.TestCase):
    def test_only_ascii_digits_within_the_bound_are_a_number(self) -> None:
        """Guards against texts that `int` takes, or fails on."""
        for text, expected in {
            "0": 0,
            "007": 7,
            str(2**64 - 1): 2**64 - 1,
            str(2**64): None,
            "9" * 5000: None,
            "": None,
            "-1": None,
            "+1": None,
            " 1": None,
            "1_0": None,
            "1.0": None,
            "\u0661": None,
            "\u00b2": None,
        }.items():
            with self.subTest(text=text[:30]):
                self.assertEqual(decoding.parse_whole_number(text), expected)
        self.assertIsNone(decoding.parse_whole_number("11", 10))


class ShowValueTest(unittest.TestCase):
    def test_long_values_are_cut(self) -> None:
        """Guards against log lines as large as what they refuse."""
        self.assertEqual(decoding.show_value("a"), "'a'")
        self.assertLessEqual(len(decoding.show_value("a" * 10**6)), 100)


if __name__ == "__main__":
    unittest.main()
