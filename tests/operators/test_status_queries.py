"""Tests of the commands that query the fleet, against a fake fleet."""

from __future__ import annotations

import json
import pathlib
import unittest

from merlintrestle.operators import exit_codes
from merlintrestle.operators import fleet
from merlintrestle.schema import control_pb2
from merlintrestle.store import records
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")
_DAEMON = ("--daemon", "127.0.0.1:1001")


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = builders.CommandRunner()
        self.fleet = builders.FakeFleet(3)
        self.runner.use_fleet(self.fleet)
        self.runner.run("apply", _MESH)
        self.runner.activate_accepted_version(self.fleet)

    def _run_json(self, *arguments: str) -> dict:
        """Runs a command and returns its exit code and last JSON output."""
        result = self.runner.run(*arguments, "--output", "json", *_DAEMON)
        return {
            "exit": result.exit_code,
            **json.loads(result.stdout.splitlines()[-1]),
        }

    def _list_states(self) -> list[str]:
        """Returns the states of the daemons, as the command `status` shows."""
        status = self._run_json("status")
        return [daemon["state"] for daemon in status["daemons"]]

    def test_in_force_everywhere(self) -> None:
        """Guards against daemons that are shown in a wrong state.

        All of them run the accepted version.
        """
        status = self._run_json("status")
        self.assertEqual(
            (status["exit"], status["version"]), (exit_codes.OK, 1)
        )
        self.assertEqual(self._list_states(), [fleet.IN_FORCE] * 3)

    def test_daemons_that_do_not_run_the_version(self) -> None:
        """Guards against a version that only seems to be in force.

        One daemon runs an earlier version, one is closed and one does not
        answer.
        """
        self.fleet.replies[0].running.version = 0
        self.fleet.replies[1].closed = True
        self.fleet.replies[1].closed_reason = "no floor yet"
        self.fleet.unreachable.add("127.0.0.1:1003")
        self.assertEqual(
            self._list_states(),
            [fleet.BEHIND, fleet.CLOSED, fleet.UNREACHABLE],
        )
        result = self.runner.run("status", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertIn("no floor yet", result.output)
        self.assertIn("on 0 of 3 daemons", result.output)

    def test_other_snapshot_of_the_same_version(self) -> None:
        """Guards against a comparison by the version number only.

        A daemon runs another snapshot under the accepted version's number.
        """
        self.fleet.replies[2].running.digest = b"other"
        self.assertEqual(self._list_states()[2], fleet.DIFFERS)

    def test_leaving_and_dead_members_are_ignored(self) -> None:
        """Guards against waiting for stopped instances.

        They remain in the list of members, but serve no callers.
        """
        self.fleet.replies[1].self.state = control_pb2.LEAVING
        self.fleet.replies[2].self.state = control_pb2.DEAD
        self.fleet.unreachable.add("127.0.0.1:1003")
        self.assertEqual(self._list_states(), [fleet.IN_FORCE])

    def test_first_daemon_does_not_answer(self) -> None:
        """Guards against taking an unknown fleet for an empty one.

        The daemon that lists the members does not answer.
        """
        self.fleet.unreachable.add("127.0.0.1:1001")
        result = self.runner.run("status", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertIn("Nothing is known of the fleet", result.output)

    def test_fleet_is_shown_while_the_store_is_down(self) -> None:
        """Guards against a status without the fleet while the store is down.

        The accepted version is then unknown, but the daemons still answer.
        """
        self.runner.store.down = True
        status = self._run_json("status")
        self.assertEqual(status["exit"], exit_codes.STORE_UNAVAILABLE)
        self.assertIsNone(status["version"])
        self.assertEqual(
            [daemon["version"] for daemon in status["daemons"]], [1] * 3
        )

    def test_missing_document_is_reported(self) -> None:
        """Guards against a status that hides a document that cannot be read.

        The head can be read, but the document that it refers to was deleted.
        """
        for key in list(self.runner.store.entries):
            if key.startswith(records.DOCUMENT_PREFIX):
                del self.runner.store.entries[key]
        result = self.runner.run("status", *_DAEMON)
        self.assertEqual(
            result.exit_code, exit_codes.STORE_UNAVAILABLE, result.output
        )
        self.assertIn("is not in the store", result.output)

    def test_targets_are_summed_over_daemons(self) -> None:
        """Guards against reporting a target as missed for one daemon's calls.

        The target applies to the calls of the whole fleet, so it holds although
        a single daemon misses it.
        """
        self.runner.run("apply", _ZAANOEVER)
        self.runner.activate_accepted_version(self.fleet)
        self.fleet.add_calls(0, "ticket-lookup", 1000, 1000, 1000)
        self.fleet.add_calls(1, "ticket-lookup", 10, 10, 5)
        status = self._run_json("status")
        states = {
            target["name"]: target["state"] for target in status["targets"]
        }
        self.assertEqual(states["ticket-lookup"], "holds")
        self.assertEqual(states["weighing"], "no calls")
        self.assertEqual(status["exit"], exit_codes.OK)
        self.fleet.add_calls(2, "ticket-lookup", 100, 90, 90)
        status = self._run_json("status")
        self.assertEqual(status["targets"][0]["state"], "missed")
        self.assertEqual(status["exit"], exit_codes.NOT_FULFILLED)

    def test_apply_waits_until_in_force(self) -> None:
        """Guards against a wait that ends too early or only at its timeout.

        The daemons run the new version from the third round of the wait on.
        """
        self.fleet.update = self.runner.activate_accepted_version
        # The first request of the third round, see below.
        self.fleet.update_after_requests = 9
        old_request_count = self.fleet.request_count
        result = self.runner.run("apply", _ZAANOEVER, "--wait", *_DAEMON)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        self.assertIn("in force on all 3 daemons", result.stdout)
        self.assertIn("version 2: 0 of 3 daemons", result.stderr)
        # Three rounds with one request for the list of members and one to each
        # of the three members. A wait until the timeout would send more.
        self.assertEqual(self.fleet.request_count - old_request_count, 12)

    def test_apply_stops_waiting_after_the_timeout(self) -> None:
        """Guards against an accepted change that is not reported as such.

        The daemons never run the new version, so the wait ends by its timeout.
        """
        output = self._run_json(
            "apply", _ZAANOEVER, "--wait", "--wait-timeout", "0"
        )
        self.assertEqual(output["exit"], exit_codes.NOT_FULFILLED)
        self.assertEqual((output["result"], output["version"]), ("accepted", 2))
        self.assertFalse(output["in_force"]["everywhere"])

    def test_watch_lists_changes_between_rounds(self) -> None:
        """Guards against accepted changes that no round lists.

        Another operator's change is accepted in the first round, after the
        store was read.
        """
        proposal = builders.build_proposal(pathlib.Path(_ZAANOEVER), "bram")
        self.fleet.on_next_request = lambda: self.runner.propose(proposal)
        result = self.runner.run(
            "watch", "--count", "2", "--interval", "0", *_DAEMON
        )
        self.assertIn("version 2: apply of zaanoever by bram", result.output)
        # The daemons still run version 1.
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)


class AskDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def test_status_request_by_grpc(self) -> None:
        """Guards against status requests that only the fake fleet answers."""
        async with builders.serve_status(version=7) as address:
            members = await fleet.list_members(address, 5)
            member_statuses = await fleet.ask_members(members, 5)
        self.assertEqual(
            [daemon.state for daemon in self._list_daemons(member_statuses, 7)],
            [fleet.IN_FORCE],
        )

    async def test_daemon_that_does_not_run(self) -> None:
        """Guards against errors of gRPC that the commands do not handle.

        The daemon has stopped, so nothing listens on its port.
        """
        async with builders.serve_status(version=7) as address:
            pass
        with self.assertRaises(fleet.DaemonUnavailableError):
            await fleet.list_members(address, 5)

    def test_stale_daemon_says_so(self) -> None:
        """Guards against refusals that `status` does not explain."""
        reply = control_pb2.StatusReply(stale=True, freshness_age_ms=7250)
        status = fleet.MemberStatus(control_pb2.Member(), reply, "")
        daemon = fleet.check_daemon(status, 0, b"")
        self.assertEqual(daemon.state, fleet.IN_FORCE)
        self.assertIn("newest 7.2 s ago", daemon.detail)

    def _list_daemons(
        self, member_statuses: list[fleet.MemberStatus], version: int
    ) -> list[fleet.Daemon]:
        return [
            fleet.check_daemon(member_status, version, b"")
            for member_status in member_statuses
        ]
