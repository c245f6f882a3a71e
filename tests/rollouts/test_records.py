"""Tests of merging roll-out records."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

if TYPE_CHECKING:
    import random

_STATES = (
    control_pb2.ROLLOUT_STATE_UNSPECIFIED,
    control_pb2.RUNNING,
    control_pb2.COMPLETE,
    control_pb2.ROLLED_BACK,
)
_trials = strategies.builds(
    builders.build_trial,
    strategies.just("10.0.1.1:7600"),
    calls=strategies.integers(0, 9),
    bad=strategies.just(0),
    number=strategies.integers(6, 8),
    watched_ms=strategies.integers(0, 9),
    suspect=strategies.booleans(),
    drained=strategies.booleans(),
)


def _merge_all(trials: list[control_pb2.Trial]) -> control_pb2.Trial | None:
    merged: control_pb2.Trial | None = None
    for trial in trials:
        merged = records.merge_trial(merged, trial) or merged
    return merged


class RecordsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(_trials, min_size=1), strategies.randoms()
    )
    def test_order_and_repetition_do_not_matter(
        self, trials: list[control_pb2.Trial], rng: random.Random
    ):
        """Guards against daemons that judge the same evidence differently."""
        repeated = trials * 2
        rng.shuffle(repeated)
        self.assertEqual(_merge_all(trials), _merge_all(repeated))

    def test_restarted_daemon_does_not_reset_records(self):
        """Guards against a suspicion that is lost when its daemon restarts."""
        current = builders.build_trial(
            "a", 30, 15, suspect=True, watched_ms=900
        )
        restarted = builders.build_trial("a", 1, watched_ms=10)
        self.assertIsNone(records.merge_trial(current, restarted))

    def test_end_is_final(self):
        """Guards against a rollback after the old version was stopped."""
        for end in records.ENDED:
            current = builders.build_rollout(state=end)
            for state in _STATES:
                received = builders.build_rollout(state=state)
                self.assertIsNone(records.choose_rollout(current, received))

    def test_later_order_takes_precedence(self):
        """Guards against an order that is confused with the previous one."""
        current = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        later = builders.build_rollout(number=8)
        self.assertIs(records.choose_rollout(current, later), later)
        self.assertIsNone(records.choose_rollout(later, current))

    def test_invalid_orders_are_refused(self):
        for changes in (
            {"service": ""},
            {"version": ""},
            {"number": 0},
            {"within_ms": 0},
            {"version": "v" * 300},
        ):
            with self.subTest(changes):
                rollout = builders.build_rollout(**changes)
                self.assertTrue(records.find_fault(rollout))
        self.assertFalse(records.find_fault(builders.build_rollout()))
