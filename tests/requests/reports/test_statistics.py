"""Tests of the counts of calls over the window and since the start."""

from __future__ import annotations

import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import statistics
from tests.requests import builders


class StatisticsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.statistics = statistics.Statistics(lambda: self.now)
        self.plan = builders.build_plan()

    def record(self, *ended: outcomes.Outcome) -> None:
        for outcome in ended:
            self.statistics.record(self.plan, outcome, 0.0)

    def list_window(self) -> list[tuple[int, int, int, int]]:
        return [
            (status.calls, status.refused, status.failed, status.unknown)
            for status in self.statistics.get_statuses()
        ]

    def read_total(self, outcome: str) -> float:
        family = next(iter(self.statistics.collect()))
        return sum(
            sample.value
            for sample in family.samples
            if sample.labels["outcome"] == outcome
        )

    def test_calls_in_several_buckets(self) -> None:
        self.record(outcomes.NotRun("full"), outcomes.Ran("broke"))
        self.now += 7.0
        self.record(outcomes.Unknown("silent"), outcomes.NotRun("full"))
        self.assertEqual(self.list_window(), [(4, 2, 1, 1)])
        self.assertEqual(self.read_total("refused"), 2)

    def test_window_ends_and_totals_stay(self) -> None:
        self.record(outcomes.NotRun("full"))
        self.now += 2 * statistics.WINDOW_S
        self.assertEqual(self.list_window(), [])
        self.assertEqual(self.read_total("refused"), 1)
        self.record(outcomes.NotRun("full"))
        self.assertEqual(self.list_window(), [(1, 1, 0, 0)])
        self.assertEqual(self.read_total("refused"), 2)
        self.assertEqual(self.read_total("refused"), 2)

    def test_latency_counts_for_complete_answers_only(self) -> None:
        replayed = outcomes.Replayed(200, (), b"")
        self.statistics.record(self.plan, replayed, self.plan.latency_s)
        self.statistics.record(self.plan, replayed, self.plan.latency_s + 0.001)
        (status,) = self.statistics.get_statuses()
        self.assertEqual((status.answered, status.within_latency), (2, 1))
