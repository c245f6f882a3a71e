"""Tests of merging what daemons tell of roll-outs."""

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


def _merge_all(told: list[control_pb2.Trial]) -> control_pb2.Trial | None:
    held: control_pb2.Trial | None = None
    for one in told:
        held = records.merge_trial(held, one) or held
    return held


class RecordsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(_trials, min_size=1), strategies.randoms()
    )
    def test_order_and_repetition_do_not_matter(
        self, told: list[control_pb2.Trial], chance: random.Random
    ):
        """Guards against daemons that judge the same evidence differently."""
        others = told * 2
        chance.shuffle(others)
        self.assertEqual(_merge_all(told), _merge_all(others))

    def test_a_restarted_daemon_takes_nothing_back(self):
        """Guards against a suspicion that ends with the daemon that had it."""
        held = builders.build_trial("a", 30, 15, suspect=True, watched_ms=900)
        anew = builders.build_trial("a", 1, watched_ms=10)
        self.assertIsNone(records.merge_trial(held, anew))

    def test_an_end_stays(self):
        """Guards against a roll-back after the old ones were stopped."""
        for end in records.ENDED:
            held = builders.build_rollout(state=end)
            for state in _STATES:
                told = builders.build_rollout(state=state)
                self.assertIsNone(records.choose_rollout(held, told))

    def test_a_later_order_goes_first(self):
        """Guards against an order that is taken for the one before it."""
        held = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        again = builders.build_rollout(number=8)
        self.assertIs(records.choose_rollout(held, again), again)
        self.assertIsNone(records.choose_rollout(again, held))

    def test_orders_that_make_no_sense_are_found(self):
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
