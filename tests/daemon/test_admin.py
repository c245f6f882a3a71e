"""Tests of the loopback port."""

from __future__ import annotations

import json
import unittest

from merlintrestle import errors
from merlintrestle.daemon import admin
from merlintrestle.schema import control_pb2

GOOD = {
    "service": "kassa",
    "address": "127.0.0.1:9000",
    "slots": 12,
    "state": "ready",
}


class ReadAnnouncementTest(unittest.TestCase):
    def test_a_good_one_is_read(self):
        announcement = admin.read_announcement(json.dumps(GOOD).encode())
        self.assertEqual(
            announcement,
            admin.Announcement(
                "kassa", "127.0.0.1:9000", 12, control_pb2.READY
            ),
        )

    def test_every_fault_is_found(self):
        bad = {"service": 3, "slots": True, "state": ["ready"]}
        with self.assertRaises(errors.InvalidInputError) as caught:
            admin.read_announcement(json.dumps(bad).encode())
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(places, ["service", "address", "slots", "state"])

    def test_what_is_not_an_object_is_refused(self):
        for body in (b"", b"[]", b"\xff", b"null"):
            with self.assertRaises(errors.InvalidInputError):
                admin.read_announcement(body)
