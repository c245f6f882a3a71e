"""Records of members that cannot be used."""

from __future__ import annotations

import math
import unittest

from merlintrestle.schema import control_pb2
from tests.members import builders


def build_bad_members() -> dict[str, control_pb2.Member]:
    """Builds records that raise where they are used, by what is wrong."""
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


class ValidityTest(unittest.TestCase):
    """What a peer tells, by mistake or because its memory is broken."""

    def test_bad_records_are_neither_kept_nor_passed_on(self) -> None:
        """Daemons go on as if they had not been told.

        A member with port 99999 becomes the witness of some daemon, whose
        mark then raises; a backend server without slots raises in every pick.
        As records spread, each daemon that hears of one would end.
        """
        for name, member in build_bad_members().items():
            with self.subTest(name):
                table = builders.build_table()
                told: list[control_pb2.Member] = []
                table.on_change.append(told.append)
                self.assertFalse(table.merge(member))
                self.assertEqual(told, [])
                self.assertEqual(table.get_upstreams("balie"), ())

    def test_own_incarnation_cannot_be_used_up(self) -> None:
        """A daemon that is held for dead at the last number stays alive."""
        table = builders.build_table()
        last = builders.build_member(1, 2**64 - 1, control_pb2.DEAD)
        self.assertFalse(table.merge(last))
        self.assertEqual(table.local_member.state, control_pb2.ALIVE)
