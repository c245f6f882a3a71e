"""Tests of the commands that move services to other versions."""

from __future__ import annotations

import asyncio
import json
import unittest

from merlintrestle.operators import exit_codes
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")
_START = ("rollout", "start", "balie", "--to", "v2", "--within", "60")


class RolloutCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = builders.CommandRunner()
        self.desk.run("apply", _MESH)
        self.desk.run("apply", _ZAANOEVER)
        self.register = storages.RolloutStorage(
            self.desk.store, storages.DefaultFormat()
        )

    def run_json(self, *arguments: str) -> dict:
        """Runs a command and returns what it prints."""
        result = self.desk.run(*arguments, "--output", "json")
        return json.loads(result.output)

    def write_state(self, state: control_pb2.RolloutState) -> None:
        """Writes a state as daemons do."""

        async def run() -> None:
            (order,) = await self.register.read_orders()
            await self.register.write_state(order, state)

        asyncio.run(run())

    def test_start_then_complete(self) -> None:
        result = self.desk.run(*_START)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        status = ("rollout", "status", "balie")
        self.assertEqual(self.run_json(*status)["state"], "ordered")
        self.write_state(control_pb2.RUNNING)
        self.assertEqual(self.run_json(*status)["state"], "running")
        self.write_state(control_pb2.COMPLETE)
        result = self.desk.run("rollout", "wait", "balie")
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        self.assertIn("complete", result.output)

    def test_bad_orders_change_nothing(self) -> None:
        """Guards against an order that no daemon can carry out."""
        for arguments in (
            ("rollout", "start", "nothing", "--to", "v2", "--within", "60"),
            ("rollout", "start", "balie", "--to", "", "--within", "60"),
            ("rollout", "start", "balie", "--to", "v2", "--within", "1"),
            ("rollout", "start", "balie", "--to", "v2", "--within", "nan"),
        ):
            with self.subTest(arguments):
                result = self.desk.run(*arguments)
                self.assertEqual(result.exit_code, exit_codes.FINDINGS)
                self.assertIn("nothing was changed", result.output)
        self.assertEqual(asyncio.run(self.register.read_orders()), [])

    def test_one_at_a_time(self) -> None:
        """Guards against an order that replaces one that runs."""
        self.desk.run(*_START)
        again = self.desk.run(*_START)
        self.assertEqual(again.exit_code, exit_codes.FINDINGS)
        self.write_state(control_pb2.ROLLED_BACK)
        again = self.desk.run(*_START)
        self.assertEqual(again.exit_code, exit_codes.OK, again.output)
        status = self.run_json("rollout", "status", "balie")
        self.assertEqual(status["state"], "ordered")

    def test_abort(self) -> None:
        """Guards against a roll-out that goes on though it was ended."""
        self.desk.run(*_START)
        result = self.desk.run("rollout", "abort", "balie")
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        (order,) = asyncio.run(self.register.read_orders())
        self.assertEqual(order.state, control_pb2.ROLLED_BACK)
        result = self.desk.run("rollout", "wait", "balie")
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertEqual(self.desk.run(*_START).exit_code, exit_codes.OK)

    def test_what_is_complete_is_not_aborted(self) -> None:
        """Guards against going back to what was stopped already."""
        self.desk.run(*_START)
        self.write_state(control_pb2.COMPLETE)
        result = self.desk.run("rollout", "abort", "balie")
        self.assertEqual(result.exit_code, exit_codes.LOST_RACE)
        status = self.run_json("rollout", "status", "balie")
        self.assertEqual(status["state"], "complete")

    def test_history_names_who_tried_what(self) -> None:
        self.desk.run(*_START)
        self.desk.run(*_START, operator="bram")
        self.desk.run("rollout", "abort", "balie")
        attempts = self.run_json("rollout", "history", "balie")["attempts"]
        self.assertEqual(
            [(one["operator"], one["action"]) for one in attempts],
            [("anna", "start"), ("bram", "start"), ("anna", "abort")],
        )
        self.assertTrue(attempts[1]["refusals"])

    def test_a_service_without_a_roll_out(self) -> None:
        result = self.desk.run("rollout", "status", "balie")
        self.assertEqual(result.exit_code, exit_codes.FINDINGS)
