"""Tests of large messages in parts."""

from __future__ import annotations

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle.members import parts
from merlintrestle.schema import control_pb2


def build_reply(text: bytes = b"x" * 1000) -> control_pb2.FetchReply:
    """Builds a reply with some bytes in it."""
    return control_pb2.FetchReply(
        offer=control_pb2.Offer(version=1, digest=text)
    )


class PartsTest(unittest.TestCase):
    @hypothesis.given(strategies.binary(), strategies.integers(1, 50))
    def test_what_is_split_is_joined(self, text: bytes, size: int) -> None:
        with mock.patch.object(parts, "PART_BYTES", size):
            split = list(parts.split(build_reply(text)))
        self.assertEqual(parts.join(split), build_reply(text))

    @hypothesis.given(strategies.lists(strategies.binary(max_size=20)))
    def test_other_parts_are_an_error_of_their_own(
        self, pieces: list[bytes]
    ) -> None:
        """A daemon goes on and asks another peer.

        What a peer sends is broken. Any other error would end the task that
        fetches, and with it the daemon.
        """
        found = [control_pb2.FetchPart(data=piece) for piece in pieces]
        with self.assertRaises(parts.BrokenPartsError):
            parts.join(found)

    def test_missing_parts_are_noticed(self) -> None:
        split = list(parts.split(build_reply()))
        cut = control_pb2.FetchPart(data=split[0].data[:-1])
        with self.assertRaises(parts.BrokenPartsError):
            parts.join([cut])

    def test_too_much_is_not_taken_in(self) -> None:
        with (
            mock.patch.object(parts, "MAX_BYTES", 500),
            self.assertRaises(parts.BrokenPartsError),
        ):
            parts.join(parts.split(build_reply()))


if __name__ == "__main__":
    unittest.main()
