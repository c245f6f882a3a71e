"""Tests of the status of workspaces, against a fake fleet."""

from __future__ import annotations

import json
import unittest

from merlintrestle.operators import exit_codes
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_DAEMON = ("--daemon", "127.0.0.1:1001")


class WorkspaceStatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = builders.CommandRunner()
        self.fleet = builders.FakeFleet(3)
        self.runner.use_fleet(self.fleet)
        self.runner.run("apply", _MESH)
        self.runner.activate_accepted_version(self.fleet)

    def _read_status(self) -> tuple[dict, str]:
        """Returns the status as JSON and as text."""
        result = self.runner.run("status", *_DAEMON, "--output", "json")
        text = self.runner.run("status", *_DAEMON).output
        return json.loads(result.stdout), text

    def test_nothing_is_shown_without_workspaces(self) -> None:
        status, text = self._read_status()
        self.assertIsNone(status["workspaces"])
        self.assertNotIn("uota", text)

    def test_refusals_of_all_daemons_are_added(self) -> None:
        """Guards against a workspace over its quota that looks fine.

        Each daemon refuses a part of its calls.
        """
        for index, count in enumerate((10, 30, 0)):
            refusals = self.fleet.replies[index].refusals
            refusals.window_s, refusals.unknown_key = 10, 5
            if count:
                refusals.workspaces.add(workspace="vecht", over_quota=count)
        self.fleet.replies[0].refusals.workspaces.add(
            workspace="waal", undecided=5, stale=1
        )
        status, text = self._read_status()
        self.assertEqual(status["workspaces"]["unknown_key"], 1.5)
        self.assertEqual(
            [list(one.values()) for one in status["workspaces"]["refusals"]],
            [["vecht", 4.0, 0.0, 0.0, 2], ["waal", 0.0, 0.5, 0.1, 1]],
        )
        self.assertIn("vecht      4 ", text)

    def test_coordinators_that_daemons_know(self) -> None:
        """Guards against two coordinators of which only one is shown."""
        for reply, epoch, port in zip(
            self.fleet.replies, (7, 9, 9), (1001, 1002, 1002), strict=True
        ):
            reply.refusals.window_s = 10
            reply.quotas.epoch = epoch
            reply.quotas.coordinator = f"127.0.0.1:{port}"
        self.fleet.replies[1].quotas.granting = True
        status, text = self._read_status()
        self.assertEqual(
            [
                list(one.values())
                for one in status["workspaces"]["coordinators"]
            ],
            [["127.0.0.1:1002", 9, 2, True], ["127.0.0.1:1001", 7, 1, False]],
        )
        self.assertIn("127.0.0.1:1001, epoch 7, known to 1 daemons;", text)

    def test_daemon_that_refuses_keys_is_shown_though_in_force(self) -> None:
        """Guards against a stale daemon that looks fine.

        It runs the accepted version, and refuses each request with a key.
        """
        self.fleet.replies[1].stale = True
        self.fleet.replies[1].freshness_age_ms = 61_000
        _, text = self._read_status()
        self.assertIn("1 of 3 daemons refuse requests with API keys.", text)
        self.assertIn("127.0.0.1:1002", text)
        self.assertIn("newest 61.0 s ago", text)
        self.assertNotIn("127.0.0.1:1003", text)
        result = self.runner.run("status", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)


if __name__ == "__main__":
    unittest.main()
