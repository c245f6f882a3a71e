"""Tests of the commands for roll-outs."""

from __future__ import annotations

import asyncio
import json
import unittest

from merlintrestle.operators import exit_codes
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.operators import builders

_MESH = str(builders.FLEETS / "zaanoever" / "mesh.toml")
_ZAANOEVER = str(builders.FLEETS / "zaanoever" / "zaanoever.toml")
_START = ("rollout", "start", "balie", "--to", "v2", "--within", "60")


class RolloutCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = builders.CommandRunner()
        self.runner.run("apply", _MESH)
        self.runner.run("apply", _ZAANOEVER)
        self.storage = storages.RolloutStorage(
            self.runner.store, storages.DefaultFormat()
        )

    def _run_json(self, *arguments: str) -> dict:
        """Runs a command and returns its JSON output."""
        result = self.runner.run(*arguments, "--output", "json")
        return json.loads(result.output)

    def _write_state(self, state: control_pb2.RolloutState) -> None:
        """Writes the state of the only order, as daemons do."""

        async def write() -> None:
            (order,) = await self.storage.read_orders()
            await self.storage.write_state(order, state)

        asyncio.run(write())

    def test_start_then_complete(self) -> None:
        """Guards against a wrong state of a roll-out.

        Daemons write the states of the order; the commands read them.
        """
        result = self.runner.run(*_START)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        status_command = ("rollout", "status", "balie")
        self.assertEqual(self._run_json(*status_command)["state"], "ordered")
        self._write_state(control_pb2.RUNNING)
        self.assertEqual(self._run_json(*status_command)["state"], "running")
        self._write_state(control_pb2.COMPLETE)
        result = self.runner.run("rollout", "wait", "balie")
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        self.assertIn("complete", result.output)

    def test_invalid_orders_change_nothing(self) -> None:
        """Guards against an order that no daemon can execute."""
        for arguments in (
            ("rollout", "start", "nothing", "--to", "v2", "--within", "60"),
            ("rollout", "start", "balie", "--to", "", "--within", "60"),
            ("rollout", "start", "balie", "--to", "v2", "--within", "1"),
            ("rollout", "start", "balie", "--to", "v2", "--within", "nan"),
        ):
            with self.subTest(arguments):
                result = self.runner.run(*arguments)
                self.assertEqual(result.exit_code, exit_codes.FINDINGS)
                self.assertIn("nothing was changed", result.output)
        self.assertEqual(asyncio.run(self.storage.read_orders()), [])

    def test_lost_answer_to_an_order(self) -> None:
        """Guards against calling an order that is in the store no change.

        The store writes the order, but its answer to that write is lost.
        """
        self.runner.store.lost_answers[storages.ORDER_PREFIX + "balie"] = 1
        result = self.runner.run(*_START)
        (order,) = asyncio.run(self.storage.read_orders())
        self.assertEqual(order.version, "v2")
        self.assertIn(
            result.exit_code,
            (exit_codes.OK, exit_codes.UNKNOWN_OUTCOME),
            result.output,
        )
        self.assertNotIn("nothing was changed", result.output.lower())

    def test_unfinished_rollout_is_not_replaced(self) -> None:
        """Guards against an order that replaces one that has not ended.

        An operator orders a roll-out twice. The second order is refused until
        the first one has a final state.
        """
        self.runner.run(*_START)
        result = self.runner.run(*_START)
        self.assertEqual(result.exit_code, exit_codes.FINDINGS)
        self._write_state(control_pb2.ROLLED_BACK)
        result = self.runner.run(*_START)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        status = self._run_json("rollout", "status", "balie")
        self.assertEqual(status["state"], "ordered")

    def test_order_after_the_check_is_not_replaced(self) -> None:
        """Guards against silently replacing the order of another operator.

        It is written after the check that no roll-out runs, at the command's
        first write, which is the one to the audit trail.
        """

        async def write_other_order(method: str, key: str) -> None:
            if method == "put":
                self.runner.store.before_call = None
                order = control_pb2.Rollout(
                    service="balie", version="v3", within_ms=60_000
                )
                await orders.write_order(self.runner.store, order)

        self.runner.store.before_call = write_other_order
        result = self.runner.run(*_START)
        (order,) = asyncio.run(self.storage.read_orders())
        self.assertEqual(
            (result.exit_code, order.version),
            (exit_codes.LOST_RACE, "v3"),
            result.output,
        )

    def test_abort(self) -> None:
        """Guards against a roll-out that continues after it was aborted.

        Daemons poll the orders, but not their states, so the order itself must
        have the state "rolled back".
        """
        self.runner.run(*_START)
        result = self.runner.run("rollout", "abort", "balie")
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        (order,) = asyncio.run(self.storage.read_orders())
        self.assertEqual(order.state, control_pb2.ROLLED_BACK)
        result = self.runner.run("rollout", "wait", "balie")
        self.assertEqual(result.exit_code, exit_codes.NOT_FULFILLED)
        self.assertEqual(self.runner.run(*_START).exit_code, exit_codes.OK)

    def test_complete_rollout_is_not_aborted(self) -> None:
        """Guards against a return to a version that was already stopped.

        The roll-out is complete before the operator aborts it.
        """
        self.runner.run(*_START)
        self._write_state(control_pb2.COMPLETE)
        result = self.runner.run("rollout", "abort", "balie")
        self.assertEqual(result.exit_code, exit_codes.LOST_RACE)
        status = self._run_json("rollout", "status", "balie")
        self.assertEqual(status["state"], "complete")

    def test_history_lists_all_attempts(self) -> None:
        """Guards against a history without refused attempts."""
        self.runner.run(*_START)
        self.runner.run(*_START, operator="bram")
        self.runner.run("rollout", "abort", "balie")
        attempts = self._run_json("rollout", "history", "balie")["attempts"]
        self.assertEqual(
            [(attempt["operator"], attempt["action"]) for attempt in attempts],
            [("anna", "start"), ("bram", "start"), ("anna", "abort")],
        )
        self.assertTrue(attempts[1]["refusals"])

    def test_status_without_a_rollout(self) -> None:
        """Guards against a state of a roll-out that was never ordered."""
        result = self.runner.run("rollout", "status", "balie")
        self.assertEqual(result.exit_code, exit_codes.FINDINGS)
