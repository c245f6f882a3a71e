"""What daemons tell each other of a call."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import intake
from merlintrestle.requests.calls import passing


class PassingTest(unittest.TestCase):
    def test_comes_as_it_was_sent(self) -> None:
        for asked in (
            intake.Asked(700, "id with spaces", "kassa", 2, 1, 30),
            intake.Asked(1, "", "", suspect=True),
            intake.Asked(1, "x", "", wait=calls.Wait.NONE, suspect=True),
            intake.Asked(1, "x", "", repeat=True, wait=calls.Wait.SHORT),
            intake.Asked(9, "x", "", repeat=True, way_back_ms=250),
        ):
            with self.subTest(asked=asked):
                text = passing.encode_asked(asked)
                self.assertEqual(passing.decode_asked(text), asked)

    def test_malformed(self) -> None:
        self.assertEqual(passing.decode_asked(None), intake.Asked(None))
        for text in ("", "1 2 3 4 s kassa", "x 0 0 0  kassa id", "1  0 0   "):
            with self.subTest(text=text):
                self.assertIsNone(passing.decode_asked(text))
