"""Tests of status, wait and watch against a fake fleet."""

from __future__ import annotations

import json
import pathlib
import unittest

from merlintrestle.operators import exit_codes
from merlintrestle.operators import fleet
from merlintrestle.schema import control_pb2
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")
_DAEMON = ("--daemon", "127.0.0.1:1001")


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = builders.CommandRunner()
        self.fleet = builders.FakeFleet(3)
        self.desk.use_fleet(self.fleet)
        self.desk.run("apply", _MESH)
        self.desk.run_accepted_version(self.fleet)

    def _read(self, *arguments: str) -> dict:
        result = self.desk.run(*arguments, "--output", "json", *_DAEMON)
        return {
            "exit": result.exit_code,
            **json.loads(result.stdout.splitlines()[-1]),
        }

    def _list_states(self) -> list[str]:
        return [one["state"] for one in self._read("status")["daemons"]]

    def test_in_force_everywhere(self) -> None:
        found = self._read("status")
        self.assertEqual((found["exit"], found["version"]), (exit_codes.OK, 1))
        self.assertEqual(self._list_states(), [fleet.IN_FORCE] * 3)

    def test_daemons_that_do_not_run_it(self) -> None:
        self.fleet.replies[0].running.version = 0
        self.fleet.replies[1].closed = True
        self.fleet.replies[1].closed_reason = "no floor yet"
        self.fleet.unreachable.add("127.0.0.1:1003")
        self.assertEqual(
            self._list_states(),
            [fleet.BEHIND, fleet.CLOSED, fleet.UNREACHABLE],
        )
        result = self.desk.run("status", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertIn("no floor yet", result.output)
        self.assertIn("on 0 of 3 daemons", result.output)

    def test_other_snapshot_of_the_same_version(self) -> None:
        """A daemon runs the accepted number with other content.

        By the number alone it would pass as in force.
        """
        self.fleet.replies[2].running.digest = b"other"
        self.assertEqual(self._list_states()[2], fleet.DIFFERS)

    def test_leaving_and_dead_members_do_not_count(self) -> None:
        """A stopped instance stays listed; no caller is served by it."""
        self.fleet.replies[1].self.state = control_pb2.LEAVING
        self.fleet.replies[2].self.state = control_pb2.DEAD
        self.fleet.unreachable.add("127.0.0.1:1003")
        self.assertEqual(self._list_states(), [fleet.IN_FORCE])

    def test_first_daemon_does_not_answer(self) -> None:
        self.fleet.unreachable.add("127.0.0.1:1001")
        result = self.desk.run("status", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertIn("Nothing is known of the fleet", result.output)

    def test_store_down_still_shows_the_fleet(self) -> None:
        self.desk.store.down = True
        found = self._read("status")
        self.assertEqual(found["exit"], exit_codes.STORE_UNAVAILABLE)
        self.assertIsNone(found["version"])
        self.assertEqual([one["version"] for one in found["daemons"]], [1] * 3)

    def test_targets_are_summed_over_daemons(self) -> None:
        """One daemon misses a target that the fleet as a whole keeps."""
        self.desk.run("apply", _ZAANOEVER)
        self.desk.run_accepted_version(self.fleet)
        self.fleet.count_calls(0, "ticket-lookup", 1000, 1000, 1000)
        self.fleet.count_calls(1, "ticket-lookup", 10, 10, 5)
        found = self._read("status")
        states = {one["name"]: one["state"] for one in found["targets"]}
        self.assertEqual(states["ticket-lookup"], "holds")
        self.assertEqual(states["weighing"], "no calls")
        self.assertEqual(found["exit"], exit_codes.OK)
        self.fleet.count_calls(2, "ticket-lookup", 100, 90, 90)
        found = self._read("status")
        self.assertEqual(found["targets"][0]["state"], "missed")
        self.assertEqual(found["exit"], exit_codes.NOT_FULFILLED)

    def test_apply_waits_until_in_force(self) -> None:
        self.fleet.update = self.desk.run_accepted_version
        self.fleet.update_after_requests = 9
        before = self.fleet.request_count
        result = self.desk.run("apply", _ZAANOEVER, "--wait", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        self.assertIn("in force on all 3 daemons", result.stdout)
        self.assertIn("version 2: 0 of 3 daemons", result.stderr)
        # Three rounds of one daemon for the members and three for theirs; a
        # wait that went on to its timeout would ask more.
        self.assertEqual(self.fleet.request_count - before, 12)

    def test_apply_gives_up_waiting(self) -> None:
        """A daemon never follows; the change itself is accepted."""
        found = self._read("apply", _ZAANOEVER, "--wait", "--wait-timeout", "0")
        self.assertEqual(found["exit"], exit_codes.NOT_FULFILLED)
        self.assertEqual((found["result"], found["version"]), ("accepted", 2))
        self.assertFalse(found["in_force"]["everywhere"])

    def test_watch_names_changes_between_rounds(self) -> None:
        proposal = builders.build_proposal(pathlib.Path(_ZAANOEVER), "bram")
        self.fleet.on_next_request = lambda: self.desk.propose_now(proposal)
        result = self.desk.run(
            "watch", "--count", "2", "--interval", "0", *_DAEMON
        )
        self.assertIn("version 2: apply of zaanoever by bram", result.output)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)


class AskDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def test_asks_over_grpc(self) -> None:
        async with builders.serve_status(version=7) as address:
            members = await fleet.list_members(address, 5)
            answers = await fleet.ask_members(members, 5)
        self.assertEqual(
            [one.state for one in self._judge(answers, 7)], [fleet.IN_FORCE]
        )

    async def test_nobody_listens(self) -> None:
        async with builders.serve_status(version=7) as address:
            pass
        with self.assertRaises(fleet.DaemonUnavailableError):
            await fleet.list_members(address, 5)

    def _judge(
        self, answers: list[fleet.MemberStatus], version: int
    ) -> list[fleet.Daemon]:
        return [fleet.check_daemon(one, version, b"") for one in answers]
