"""Tests of operators who order and abort roll-outs of a service at once."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple, TYPE_CHECKING
import unittest

from merlintrestle.operators import exit_codes
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.operators import builders

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click import testing

    _Situation = Callable[[builders.CommandRunner], None]

_SERVICE = "balie"
_ORDER_KEY = storages.ORDER_PREFIX + _SERVICE
_OWN_START = ("rollout", "start", _SERVICE, "--to", "v2", "--within", "60")
_OTHER_START = ("rollout", "start", _SERVICE, "--to", "v3", "--within", "60")
_ABORT = ("rollout", "abort", _SERVICE)


def _order_earlier(runner: builders.CommandRunner) -> None:
    runner.run("rollout", "start", _SERVICE, "--to", "v1", "--within", "60")


def _end_earlier(
    state: control_pb2.RolloutState,
) -> _Situation:
    """Returns a function that orders a roll-out which daemons then end."""

    def play(runner: builders.CommandRunner) -> None:
        _order_earlier(runner)
        builders.write_rollout_state(runner.store, state)

    return play


def _abort_earlier(runner: builders.CommandRunner) -> None:
    _order_earlier(runner)
    runner.run(*_ABORT)


def _stop_clock(runner: builders.CommandRunner) -> None:
    runner.dependencies = runner.dependencies._replace(
        read_clock_ms=lambda: builders.START_MS
    )


def _write_malformed_order(runner: builders.CommandRunner) -> None:
    asyncio.run(runner.store.put(_ORDER_KEY, b"\xff", 0))


# What happened to the service before both operators order a roll-out of it.
_SITUATIONS: dict[str, _Situation] = {
    "no order": lambda runner: None,
    "complete": _end_earlier(control_pb2.COMPLETE),
    "rolled back": _end_earlier(control_pb2.ROLLED_BACK),
    "aborted": _abort_earlier,
    "malformed": _write_malformed_order,
}


def _build_runner(prepare: _Situation) -> builders.CommandRunner:
    """Returns a runner whose store has the service and its earlier order."""
    runner = builders.CommandRunner()
    for name in ("mesh", "zaanoever"):
        path = builders.FLEETS / "zaanoever" / f"{name}.toml"
        runner.run("apply", str(path))
    prepare(runner)
    return runner


class _Play(NamedTuple):
    """A command before one of whose calls of the store others ran.

    Attributes:
        name: Number and kind of that call.
        runner: Runs further commands.
        result: Result of the command.
        other_exit_codes: Exit codes of the other operator's commands.
        overtaken: Whether they came after the command had read the last order.
    """

    name: str
    runner: builders.CommandRunner
    result: testing.Result
    other_exit_codes: list[int]
    overtaken: bool


class RaceTest(unittest.TestCase):
    """Another operator's commands come before any call of the store."""

    def play_each_call(
        self,
        prepare: _Situation,
        command: tuple[str, ...],
        other_commands: list[tuple[str, ...]],
    ) -> Iterator[_Play]:
        """Plays the other commands before each call of a command in turn."""
        calls = self._list_calls(prepare, command)
        checked_at = calls.index(("get", _ORDER_KEY))
        for position, call in enumerate(calls):
            runner = _build_runner(prepare)
            race = builders.Race(runner, position, other_commands)
            result = runner.run(*command)
            yield _Play(
                f"call {position}, {' '.join(call)}",
                runner,
                result,
                race.exit_codes,
                position > checked_at,
            )

    def check_status(self, runner: builders.CommandRunner, status: str) -> None:
        """Checks the status of the service's last roll-out."""
        result = runner.run("rollout", "status", _SERVICE)
        self.assertIn(status, result.output)

    def _list_calls(
        self, prepare: _Situation, command: tuple[str, ...]
    ) -> list[tuple[str, str]]:
        """Returns the calls of the store of an undisturbed command."""
        runner = _build_runner(prepare)
        race = builders.Race(runner, None, [])
        result = runner.run(*command)
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        return race.calls


class StartRaceTest(RaceTest):
    def test_overtaken_order_replaces_nothing(self) -> None:
        """Guards against replacing the order of another operator.

        It is written before any call of the store that `rollout start` makes,
        in each situation. After the check it makes this command lose the race;
        before, it is found by the check.
        """
        for name, prepare in _SITUATIONS.items():
            for play in self.play_each_call(
                prepare, _OWN_START, [_OTHER_START]
            ):
                expected = (
                    exit_codes.LOST_RACE
                    if play.overtaken
                    else exit_codes.FINDINGS
                )
                with self.subTest(name, before=play.name):
                    self.assertEqual(
                        (play.result.exit_code, play.other_exit_codes),
                        (expected, [exit_codes.OK]),
                        play.result.output,
                    )
                    self.check_status(play.runner, "v3: ordered")

    def test_overtaken_by_a_rollout_that_has_ended(self) -> None:
        """Guards against an order that rests on one which was replaced.

        The other operator orders a roll-out and aborts it, so that a roll-out
        may be ordered again, but not by a command whose check came before.
        """
        for name, prepare in _SITUATIONS.items():
            for play in self.play_each_call(
                prepare, _OWN_START, [_OTHER_START, _ABORT]
            ):
                expected = (
                    exit_codes.LOST_RACE if play.overtaken else exit_codes.OK
                )
                with self.subTest(name, before=play.name):
                    self.assertEqual(
                        (play.result.exit_code, play.other_exit_codes),
                        (expected, [exit_codes.OK] * 2),
                        play.result.output,
                    )

    def test_all_attempts_of_a_race_are_listed(self) -> None:
        """Guards against an attempt that is missing after a race.

        Both operators' attempts are in the same millisecond.
        """
        for play in self.play_each_call(
            _stop_clock, _OWN_START, [_OTHER_START]
        ):
            history = play.runner.run(
                "rollout", "history", _SERVICE, "--output", "json"
            )
            attempts = json.loads(history.output)["attempts"]
            with self.subTest(before=play.name):
                self.assertCountEqual(
                    [attempt["operator"] for attempt in attempts],
                    ["anna", builders.OTHER_OPERATOR],
                )


class AbortRaceTest(RaceTest):
    def test_overtaken_abort_ends_no_other_rollout(self) -> None:
        """Guards against calling an abort done while another order stands.

        The other operator aborts the roll-out and orders the next one, before
        any call of the store that `rollout abort` makes.
        """
        for play in self.play_each_call(
            _order_earlier, _ABORT, [_ABORT, _OTHER_START]
        ):
            if play.overtaken:
                expected, status = exit_codes.LOST_RACE, "v3: ordered"
            else:
                expected, status = exit_codes.OK, "v3: rolled back"
            with self.subTest(before=play.name):
                self.assertEqual(
                    (play.result.exit_code, play.other_exit_codes),
                    (expected, [exit_codes.OK] * 2),
                    play.result.output,
                )
                self.check_status(play.runner, status)
