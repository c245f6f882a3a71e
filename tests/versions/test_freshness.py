"""Tests for proofs of freshness."""

from __future__ import annotations

import dataclasses
import time
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from merlintrestle import clocks
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import freshness as freshness_lib
from tests.versions import freshness_fleets

_LIMIT_S = 5.0
_DAEMONS = 2


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.active_version = active_version_lib.ActiveVersion()
        self.freshness = freshness_lib.Freshness(
            _LIMIT_S, self.active_version, lambda: self.now
        )
        self.activate(1)

    def activate(self, version: int) -> None:
        self.active_version.activate(freshness_fleets.build_snapshot(version))

    def test_a_proof_ends_before_the_limit(self) -> None:
        """Guards against keys that work until the limit has passed."""
        self.assertFalse(self.freshness.is_fresh())
        self.freshness.record_read(1, 100.0)
        self.now = 104.8
        self.assertTrue(self.freshness.is_fresh())
        self.now = 104.9
        self.assertFalse(self.freshness.is_fresh())

    def test_a_proof_of_a_later_version_waits_for_it(self) -> None:
        """Guards against a proof that is used early, or lost."""
        self.freshness.record_read(1, 98.0)
        self.freshness.record_read(2, 100.0)
        self.assertEqual(self.freshness.get_age(), 2.0)
        self.now = 103.0
        self.assertFalse(self.freshness.is_fresh())
        self.activate(2)
        self.assertTrue(self.freshness.is_fresh())

    def test_an_answer_counts_from_its_question_and_age(self) -> None:
        """Guards against a delayed answer that seems recent."""
        self.now = 104.0
        self.freshness.record_answer(1, 0.5, 100.0)
        self.assertEqual(self.freshness.get_age(), 4.5)

    def test_a_late_answer_replaces_no_later_proof(self) -> None:
        self.freshness.record_read(1, 99.0)
        self.freshness.record_answer(1, 3.0, 99.0)
        self.assertEqual(self.freshness.get_age(), 1.0)

    def test_an_earlier_version_than_a_known_one_proves_nothing(self) -> None:
        """Guards against a store that came back from a copy.

        It has an earlier version than this daemon runs, and may have lost later
        ones, too, until the operators have written theirs again.
        """
        self.activate(7)
        self.freshness.learn_version(7)
        self.now = 101.0
        self.freshness.record_read(5, 101.0)
        self.assertFalse(self.freshness.is_fresh())
        self.freshness.record_read(7, 101.0)
        self.assertTrue(self.freshness.is_fresh())

    def test_a_read_before_a_version_was_known_counts(self) -> None:
        """Guards against refusals while versions are accepted all the time."""
        self.freshness.learn_version(2)
        self.freshness.record_read(1, 99.9)
        self.assertTrue(self.freshness.is_fresh())

    def test_no_limit_refuses_nothing(self) -> None:
        freshness = freshness_lib.Freshness(0.0, self.active_version)
        self.assertTrue(freshness.is_fresh())
        self.assertFalse(freshness.is_required())

    def test_start_and_end_of_refusals_are_logged_once(self) -> None:
        with self.assertLogs("merlintrestle.versions", "INFO") as logs:
            for _ in range(3):
                self.freshness.is_fresh()
            self.freshness.record_read(1, self.now)
            for _ in range(3):
                self.freshness.is_fresh()
        self.assertEqual(len(logs.output), 2)

    def test_the_clock_ignores_steps_and_counts_freezes(self) -> None:
        """Guards against clocks that step, or stop with the process."""
        now = clocks.get_boot_time()
        with (
            mock.patch.object(time, "time", lambda: 0.0),
            mock.patch.object(time, "monotonic", lambda: 0.0),
        ):
            self.assertGreaterEqual(clocks.get_boot_time(), now)
        self.assertAlmostEqual(
            clocks.get_boot_time(),
            time.clock_gettime(time.CLOCK_BOOTTIME),
            delta=1.0,
        )


@dataclasses.dataclass
class _Message:
    """A read of the store, or a question, on its way.

    Attributes:
        asking: The daemon that asks.
        answering: The daemon that answers; None for the store.
        asked_at: When it was asked, by the clock of `asking`.
        proof: Version and age in the answer; None before the answer.
    """

    asking: int
    answering: int | None
    asked_at: float
    proof: tuple[int, float] | None = None


class _Fleet:
    """Daemons that record proofs, with clocks of their own."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.accepted_at = {1: self.now}
        self.messages: list[_Message] = []
        self.active_versions: list[active_version_lib.ActiveVersion] = []
        self.proofs: list[freshness_lib.Freshness] = []
        for number in range(_DAEMONS):
            self.active_versions.append(active_version_lib.ActiveVersion())
            self.proofs.append(self._build_proofs(number))
            self.activate(number)

    def _build_proofs(self, number: int) -> freshness_lib.Freshness:
        return freshness_lib.Freshness(
            _LIMIT_S,
            self.active_versions[number],
            lambda: self.now + 1000.0 * number,
        )

    def activate(self, number: int) -> None:
        """Activates the newest version, as when it was pushed."""
        version = max(self.accepted_at)
        self.active_versions[number].activate(
            freshness_fleets.build_snapshot(version)
        )
        self.proofs[number].learn_version(version)

    def restart(self, number: int) -> None:
        """Restarts a daemon, whose questions are lost."""
        self.active_versions[number].active_snapshot = None
        self.proofs[number] = self._build_proofs(number)
        self.messages = [
            message for message in self.messages if message.asking != number
        ]

    def ask(self, asking: int, answering: int | None) -> None:
        """Asks the store or a daemon; nothing arrives by itself."""
        asked_at = self.proofs[asking].get_time()
        self.messages.append(_Message(asking, answering, asked_at))

    def read(self, number: int) -> None:
        """Reads the store, with an immediate answer."""
        proofs = self.proofs[number]
        proofs.record_read(max(self.accepted_at), proofs.get_time())

    def question(self, asking: int, answering: int) -> None:
        """Asks a daemon, with an immediate answer."""
        self.ask(asking, answering)
        for _ in range(2):
            if self.messages[-1:] and self.messages[-1].asking == asking:
                self.move(-1)

    def move(self, index: int) -> None:
        """Moves a message on: it is answered, or the answer arrives."""
        if not self.messages:
            return
        message = self.messages[index % len(self.messages)]
        proofs = self.proofs[message.asking]
        if message.proof is not None:
            version, age_s = message.proof
            proofs.record_answer(version, age_s, message.asked_at)
            self.messages.remove(message)
        elif message.answering is None:
            message.proof = (max(self.accepted_at), 0.0)
        else:
            other = self.proofs[message.answering]
            proof = other.get_newest_proof()
            if proof is None:
                self.messages.remove(message)
            else:
                age_s = other.get_time() - proof.time
                message.proof = (proof.version, age_s)

    def list_violations(self) -> list[int]:
        """Returns fresh daemons that miss a version for too long."""
        return [
            number
            for number, proofs in enumerate(self.proofs)
            if proofs.is_fresh()
            and any(
                version > self.active_versions[number].version
                and self.now > accepted_at + _LIMIT_S
                for version, accepted_at in self.accepted_at.items()
            )
        ]


_NUMBERS = strategies.integers(0, _DAEMONS - 1)
# Some end just after the limit, or just before it.
_WAITS = strategies.sampled_from([0.2, 1.0, 2.5, 4.6, 4.95, 5.2])
_STEPS = strategies.one_of(
    strategies.tuples(strategies.just("wait"), _WAITS),
    strategies.tuples(strategies.just("accept")),
    strategies.tuples(strategies.just("read"), _NUMBERS),
    strategies.tuples(strategies.just("question"), _NUMBERS, _NUMBERS),
    strategies.tuples(strategies.just("ask"), _NUMBERS, _NUMBERS),
    strategies.tuples(strategies.just("ask"), _NUMBERS, strategies.none()),
    strategies.tuples(strategies.just("move"), strategies.integers(0, 1)),
    strategies.tuples(strategies.just("move"), strategies.integers(0, 1)),
    strategies.tuples(strategies.just("activate"), _NUMBERS),
    strategies.tuples(strategies.just("restart"), _NUMBERS),
)


class RevocationTest(unittest.TestCase):
    """Daemons that are cut off, freeze, restart and get late answers."""

    @hypothesis.settings(max_examples=1000, deadline=None)
    @hypothesis.given(strategies.lists(_STEPS, max_size=25))
    # The other daemon's proof is from before the version.
    @hypothesis.example(
        [("read", 1), ("accept",), ("wait", 1.0), ("question", 0, 1)]
        + [("wait", 4.6)]
    )
    # The answer is delayed.
    @hypothesis.example(
        [("read", 1), ("ask", 0, 1), ("move", 0), ("accept",), ("wait", 1.0)]
        + [("move", 0), ("wait", 4.6)]
    )
    def test_no_daemon_is_fresh_that_misses_a_version(self, steps) -> None:
        """Guards against a removed key that works later than the limit.

        A message that is not moved on is delayed or lost; a daemon that does
        nothing is frozen or cut off.
        """
        fleet = _Fleet()
        for name, *arguments in steps:
            if name == "wait":
                fleet.now += arguments[0]
            elif name == "accept":
                fleet.accepted_at[max(fleet.accepted_at) + 1] = fleet.now
            else:
                getattr(fleet, name)(*arguments)
            self.assertEqual(fleet.list_violations(), [])
