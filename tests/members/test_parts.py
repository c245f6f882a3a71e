"""Tests of splitting messages into parts."""

from __future__ import annotations

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle.members import parts as parts_lib
from merlintrestle.schema import control_pb2


def build_reply(data: bytes = b"x" * 1000) -> control_pb2.FetchReply:
    """Builds a reply that contains the given data."""
    return control_pb2.FetchReply(
        offer=control_pb2.Offer(version=1, digest=data)
    )


class PartsTest(unittest.TestCase):
    @hypothesis.given(strategies.binary(), strategies.integers(1, 50))
    def test_joined_parts_equal_the_message(
        self, data: bytes, size: int
    ) -> None:
        with mock.patch.object(parts_lib, "PART_BYTES", size):
            parts = list(parts_lib.split_message(build_reply(data)))
        self.assertEqual(parts_lib.join_parts(parts), build_reply(data))

    @hypothesis.given(strategies.lists(strategies.binary(max_size=20)))
    def test_corrupt_parts_raise_broken_parts_error(
        self, chunks: list[bytes]
    ) -> None:
        """Guards against other exceptions if a peer sends corrupt parts.

        After a `BrokenPartsError`, the daemon asks another peer. Any other
        exception would end the task that fetches, and with it the daemon.
        """
        corrupt = [control_pb2.FetchPart(data=chunk) for chunk in chunks]
        with self.assertRaises(parts_lib.BrokenPartsError):
            parts_lib.join_parts(corrupt)

    def test_incomplete_parts_are_rejected(self) -> None:
        parts = list(parts_lib.split_message(build_reply()))
        truncated = control_pb2.FetchPart(data=parts[0].data[:-1])
        with self.assertRaises(parts_lib.BrokenPartsError):
            parts_lib.join_parts([truncated])

    def test_too_large_message_is_rejected(self) -> None:
        with (
            mock.patch.object(parts_lib, "MAX_MESSAGE_BYTES", 500),
            self.assertRaises(parts_lib.BrokenPartsError),
        ):
            parts_lib.join_parts(parts_lib.split_message(build_reply()))


if __name__ == "__main__":
    unittest.main()
