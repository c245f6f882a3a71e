"""Tests of the encoding of call metadata between daemons."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import parsing


class MetadataTest(unittest.TestCase):
    def test_decodes_what_was_encoded(self) -> None:
        for call_metadata in (
            parsing.CallMetadata(700, "id with spaces", "kassa", 2, 1, 30),
            parsing.CallMetadata(1, "", "", suspect=True),
            parsing.CallMetadata(
                1, "x", "", wait=calls.Wait.NONE, suspect=True
            ),
            parsing.CallMetadata(
                1, "x", "", repeat=True, wait=calls.Wait.SHORT
            ),
            parsing.CallMetadata(9, "x", "", repeat=True, return_trip_ms=250),
        ):
            with self.subTest(call_metadata=call_metadata):
                text = metadata.encode_metadata(call_metadata)
                self.assertEqual(metadata.decode_metadata(text), call_metadata)

    def test_malformed(self) -> None:
        self.assertEqual(
            metadata.decode_metadata(None), parsing.CallMetadata(None)
        )
        for text in ("", "1 2 3 4 s kassa", "x 0 0 0  kassa id", "1  0 0   "):
            with self.subTest(text=text):
                self.assertIsNone(metadata.decode_metadata(text))
