"""Tests of the call counts over the sliding window and since the start."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import outcome_counts
from tests.requests import builders


class OutcomeCountsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.outcome_counts = outcome_counts.OutcomeCounts(lambda: self.now)
        self.plan = builders.build_plan()

    def record(self, *recorded_outcomes: outcomes.Outcome) -> None:
        """Records calls with these outcomes and a latency of 0 s."""
        for outcome in recorded_outcomes:
            self.outcome_counts.record(self.plan, outcome, 0.0)

    def list_window_counts(self) -> list[tuple[int, int, int, int]]:
        """Returns calls, refused, failed and unknown of each class of work."""
        return [
            (
                class_status.calls,
                class_status.refused,
                class_status.failed,
                class_status.unknown,
            )
            for class_status in self.outcome_counts.get_statuses()
        ]

    def read_total(self, outcome: str) -> float:
        """Returns the metric of the calls with an outcome since the start."""
        family = next(iter(self.outcome_counts.collect()))
        return sum(
            sample.value
            for sample in family.samples
            if sample.labels["outcome"] == outcome
        )

    def test_calls_in_several_buckets(self) -> None:
        """Guards against losing the counts of earlier buckets.

        They stay both in the window and in the totals.
        """
        self.record(outcomes.NotRun("full"), outcomes.Ran("broke"))
        self.now += 7.0
        self.record(outcomes.Unknown("silent"), outcomes.NotRun("full"))
        self.assertEqual(self.list_window_counts(), [(4, 2, 1, 1)])
        self.assertEqual(self.read_total("refused"), 2)

    def test_calls_leave_window_but_stay_in_totals(self) -> None:
        """Guards against totals that lose or double calls.

        Calls that have left the window stay in the totals. The last assertion
        checks that a second collection does not add the current bucket again.
        """
        self.record(outcomes.NotRun("full"))
        self.now += 2 * outcome_counts.WINDOW_S
        self.assertEqual(self.list_window_counts(), [])
        self.assertEqual(self.read_total("refused"), 1)
        self.record(outcomes.NotRun("full"))
        self.assertEqual(self.list_window_counts(), [(1, 1, 0, 0)])
        self.assertEqual(self.read_total("refused"), 2)
        self.assertEqual(self.read_total("refused"), 2)

    def test_answer_after_latency_target_is_not_within_latency(self) -> None:
        """An answer exactly at the latency target is still within it."""
        replayed = outcomes.Replayed(200, (), b"")
        self.outcome_counts.record(self.plan, replayed, self.plan.latency_s)
        self.outcome_counts.record(
            self.plan, replayed, self.plan.latency_s + 0.001
        )
        (class_status,) = self.outcome_counts.get_statuses()
        self.assertEqual(
            (class_status.answered, class_status.within_latency), (2, 1)
        )
