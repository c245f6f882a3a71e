"""Tests of the loopback server."""

from __future__ import annotations

import json
import unittest

from merlintrestle import errors
from merlintrestle.daemon import admin
from merlintrestle.schema import control_pb2

VALID = {
    "service": "kassa",
    "address": "127.0.0.1:9000",
    "slots": 12,
    "state": "ready",
}


class ReadAnnouncementTest(unittest.TestCase):
    def test_valid_announcement_is_read(self):
        announcement = admin.read_announcement(json.dumps(VALID).encode())
        self.assertEqual(
            announcement,
            admin.Announcement(
                "kassa", "127.0.0.1:9000", 12, control_pb2.READY
            ),
        )

    def test_all_findings_are_reported(self):
        invalid = {"service": 3, "slots": True, "state": ["ready"]}
        with self.assertRaises(errors.InvalidInputError) as context:
            admin.read_announcement(json.dumps(invalid).encode())
        places = [finding.place for finding in context.exception.findings]
        self.assertEqual(places, ["service", "address", "slots", "state"])

    def test_anything_but_an_object_is_refused(self):
        for body in (b"", b"[]", b"\xff", b"null"):
            with self.assertRaises(errors.InvalidInputError):
                admin.read_announcement(body)
