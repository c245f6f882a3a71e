"""Tests of the encoding of a load as the text of a header."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import loads


class LoadTest(unittest.TestCase):
    def test_decodes_what_was_encoded(self) -> None:
        """Guards against fields that are mixed up or rounded to nothing."""
        load = loads.Load(3, 10, 0.25, 1.5, 0.55)
        self.assertEqual(loads.decode_load(loads.encode_load(load)), load)

    def test_values_above_the_maximum(self) -> None:
        """The load of an overloaded upstream is known, although not exactly.

        The backlog of its link is half an hour. If daemons could not decode the
        header, they would keep the last decoded load and continue to pick the
        upstream.
        """
        load = loads.Load(2_000_000, 10, 5000.0, 1988.0)
        decoded = loads.decode_load(loads.encode_load(load))
        self.assertEqual(decoded, loads.Load(1_000_000, 10, 1000.0, 1000.0))

    def test_daemon_of_an_earlier_release(self) -> None:
        """Loads with only three or four values are decoded."""
        self.assertEqual(loads.decode_load("3,10,250"), loads.Load(3, 10, 0.25))
        self.assertEqual(
            loads.decode_load("3,10,250,1500"), loads.Load(3, 10, 0.25, 1.5)
        )

    def test_malformed(self) -> None:
        """A malformed load is ignored and raises no exception."""
        for text in ("", "3,10", "3,10,250,1,1,1,1", "3,10,-1", "3,10,1000001"):
            with self.subTest(text=text):
                self.assertIsNone(loads.decode_load(text))
