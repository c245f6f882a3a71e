"""Tests of the validation of member records."""

from __future__ import annotations

import math
import unittest

from merlintrestle.schema import control_pb2
from tests.members import builders


def build_invalid_members() -> dict[str, control_pb2.Member]:
    """Builds invalid records that would raise when used, keyed by fault."""
    members = {
        name: builders.build_member(2, service="balie")
        for name in (
            "port",
            "no port",
            "no id",
            "host name",
            "no slots",
            "peer port",
            "no peer port",
            "address",
            "incarnation",
            "no incarnation",
            "link",
            "no number",
        )
    }
    members["port"].id = "127.0.0.1:99999"
    members["no port"].id = "127.0.0.1"
    members["no id"].id = ""
    members["host name"].id = "a\0:1"
    members["no slots"].backend.slots = 0
    members["peer port"].peer_port = 99999
    members["no peer port"].peer_port = 0
    members["address"].address = "x["
    members["incarnation"].incarnation = 2**64 - 1
    members["no incarnation"].incarnation = 0
    members["link"].link_mbps = -1.0
    members["no number"].link_mbps = math.nan
    return members


class ValidationTest(unittest.TestCase):
    """Invalid records from a peer with a bug or with corrupt memory."""

    def test_invalid_records_are_not_stored(self) -> None:
        """Invalid records are ignored.

        If a member with port 99999 became the witness of a daemon, the mark of
        that daemon would raise; a backend server without slots raises in every
        pick. As records reach every daemon, all daemons would end.
        """
        for name, member in build_invalid_members().items():
            with self.subTest(name):
                table = builders.build_table()
                changes: list[control_pb2.Member] = []
                table.on_change.append(changes.append)
                self.assertFalse(table.merge(member))
                self.assertEqual(changes, [])
                self.assertEqual(table.get_upstreams("balie"), ())

    def test_local_incarnation_cannot_be_exhausted(self) -> None:
        """A record with the highest number cannot declare a daemon dead."""
        table = builders.build_table()
        highest = builders.build_member(1, 2**64 - 1, control_pb2.DEAD)
        self.assertFalse(table.merge(highest))
        self.assertEqual(table.local_member.state, control_pb2.ALIVE)
