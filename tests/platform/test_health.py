"""Tests of the status that a backend server states on its health path."""

from __future__ import annotations

import types
import unittest

from merlintrestle.platform import health
from tests.platform import builders


class StatusTest(unittest.TestCase):
    def _parse_slots(self, load: str) -> int | None:
        response = types.SimpleNamespace(
            status=200,
            headers={"X-Served-By": "i-1", "X-Server-Load": load},
        )
        status = health.parse_status(
            builders.build_settings(),
            response,  # type: ignore[arg-type]
        )
        return status.slots if status is not None else None

    def test_further_figures_are_ignored(self) -> None:
        """Guards against refusals until the next heartbeat after a restart."""
        for load in ("3,0,8", "3,0,8,100", "3, 0, 8 ,250,x"):
            with self.subTest(load=load):
                self.assertEqual(self._parse_slots(load), 8)

    def test_a_malformed_load_is_no_status(self) -> None:
        """Guards against slots that the backend server does not have."""
        for load in ("", "3,0", "3,0,", "3,0,0,100", "3,0,x,8", "3,0,-8"):
            with self.subTest(load=load):
                self.assertIsNone(self._parse_slots(load))
