"""Tests of the status that a backend server states on its health path."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING
import unittest

from merlintrestle.platform import health
from merlintrestle.schema import control_pb2
from tests.platform import builders

if TYPE_CHECKING:
    from merlintrestle.daemon import heartbeats


class StatusTest(unittest.TestCase):
    def _parse(
        self, load: str, status: int = 200, **headers: str
    ) -> heartbeats.Heartbeat | None:
        response = types.SimpleNamespace(
            status=status,
            headers={"X-Served-By": "i-1", "X-Server-Load": load, **headers},
        )
        return health.parse_status(
            builders.build_settings(),
            response,  # type: ignore[arg-type]
        )

    def _parse_slots(self, load: str) -> int | None:
        status = self._parse(load)
        return status.slots if status is not None else None

    def test_a_failed_check_says_that_the_process_drains(self) -> None:
        """Guards against calls to a process that left before a restart."""
        status = self._parse("3,0,8", 503)
        assert status is not None
        self.assertEqual(status.state, control_pb2.DRAINING)

    def test_a_rejected_check_says_nothing(self) -> None:
        """Guards against a full process that is taken for one that leaves."""
        rejected = {"X-Not-Executed": "1"}
        self.assertIsNone(self._parse("8,9,8", 503, **rejected))
        self.assertIsNone(self._parse("3,0,8", 500))

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
