"""Tests of the validation of member records."""

from __future__ import annotations

import math
import unittest

from merlintrestle.schema import control_pb2
from tests.members import builders


def build_invalid_members() -> dict[str, control_pb2.Member]:
    """Builds invalid records, whose use would raise, by their fault."""
    members = {
        fault: builders.build_member(2, service="balie")
        for fault in (
            "port",
            "no port",
            "no id",
            "host name",
            "no slots",
            "peer port",
            "no peer port",
            "address",
            "incarnation too high",
            "no incarnation",
            "negative link speed",
            "NaN link speed",
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
    members["incarnation too high"].incarnation = 2**64 - 1
    members["no incarnation"].incarnation = 0
    members["negative link speed"].link_mbps = -1.0
    members["NaN link speed"].link_mbps = math.nan
    return members


class ValidationTest(unittest.TestCase):
    """Invalid records from a peer with a bug or with corrupt memory."""

    def test_invalid_records_are_not_stored(self) -> None:
        """Guards against invalid records that end all daemons of the fleet.

        If a member with port 99999 became the witness of a daemon, sending a
        mark to it would raise. A backend server without slots raises whenever
        an upstream is selected. As records reach every daemon, all daemons
        would end.
        """
        for fault, member in build_invalid_members().items():
            with self.subTest(fault):
                table = builders.build_table()
                changes: list[control_pb2.Member] = []
                table.on_change.append(changes.append)
                self.assertFalse(table.merge(member))
                self.assertEqual(changes, [])
                self.assertEqual(table.get_upstreams("balie"), ())

    def test_local_incarnation_cannot_be_exhausted(self) -> None:
        """Guards against a record of a dead daemon that it cannot refute.

        No incarnation is above the largest integer.
        """
        table = builders.build_table()
        highest = builders.build_member(1, 2**64 - 1, control_pb2.DEAD)
        self.assertFalse(table.merge(highest))
        self.assertEqual(table.local_member.state, control_pb2.ALIVE)
