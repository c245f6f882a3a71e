"""Tests of the validation of orders and the merging of orders and reports."""

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
_reports = strategies.builds(
    builders.build_report,
    strategies.just("10.0.1.1:7600"),
    calls=strategies.integers(0, 9),
    bad=strategies.just(0),
    number=strategies.integers(6, 8),
    watched_ms=strategies.integers(0, 9),
    suspect=strategies.booleans(),
    drained=strategies.booleans(),
)


def _merge_all(reports: list[control_pb2.Trial]) -> control_pb2.Trial | None:
    merged: control_pb2.Trial | None = None
    for report in reports:
        merged = records.merge_report(merged, report) or merged
    return merged


class RecordsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(_reports, min_size=1), strategies.randoms()
    )
    def test_sequence_and_repetition_do_not_matter(
        self, reports: list[control_pb2.Trial], rng: random.Random
    ):
        """Guards against different phases at daemons with the same reports."""
        repeated = reports * 2
        rng.shuffle(repeated)
        self.assertEqual(_merge_all(reports), _merge_all(repeated))

    def test_restarted_daemon_does_not_reset_its_report(self):
        """Guards against losing that a server is suspect on a restart."""
        current = builders.build_report(
            "a", 30, 15, suspect=True, watched_ms=900
        )
        restarted = builders.build_report("a", 1, watched_ms=10)
        self.assertIsNone(records.merge_report(current, restarted))

    def test_final_state_is_never_replaced(self):
        """Guards against a rollback after the old version was stopped."""
        for final_state in records.FINAL_STATES:
            current = builders.build_rollout(state=final_state)
            for state in _STATES:
                received = builders.build_rollout(state=state)
                self.assertIsNone(records.choose_rollout(current, received))

    def test_later_order_takes_precedence(self):
        """Guards against ignoring an order because the previous one ended."""
        current = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        later = builders.build_rollout(number=8)
        self.assertIs(records.choose_rollout(current, later), later)
        self.assertIsNone(records.choose_rollout(later, current))

    def test_invalid_orders_are_refused(self):
        """Guards against roll-outs that cannot be carried out."""
        for changes in (
            {"service": ""},
            {"version": ""},
            {"number": 0},
            {"within_ms": 0},
            {"version": "v" * 300},
        ):
            with self.subTest(changes):
                rollout = builders.build_rollout(**changes)
                self.assertTrue(records.find_error(rollout))
        self.assertFalse(records.find_error(builders.build_rollout()))
