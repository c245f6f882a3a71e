"""Tests of the metrics of call latencies and failure reasons."""

from __future__ import annotations

import unittest
from unittest import mock

import prometheus_client

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import latencies
from tests.requests import builders


class LatenciesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.latencies = latencies.Latencies()
        self.plan = builders.build_plan()

    def render_metrics(self) -> str:
        """Returns the metrics in the text format of Prometheus."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self.latencies)
        return prometheus_client.generate_latest(registry).decode()

    def test_refusal_is_counted_by_reason(self):
        refusal = outcomes.NotRun("no free slot in time", overloaded=True)
        self.latencies.record(self.plan, "kassa", refusal, 0.06)
        metrics_text = self.render_metrics()
        self.assertIn(
            'merlintrestle_request_failures_total{outcome="refused",'
            'reason="no free slot in time",service="kassa"} 1.0',
            metrics_text,
        )
        self.assertIn(
            'le="0.05",outcome="refused",service="kassa"} 0.0', metrics_text
        )
        self.assertIn(
            'le="0.075",outcome="refused",service="kassa"} 1.0', metrics_text
        )

    def test_label_values_are_bounded(self):
        """Guards against memory that grows with the input of callers.

        Reasons contain names of services, so many different ones can occur in a
        day. Those beyond the maximum are counted together.
        """
        with mock.patch.object(latencies, "MAX_LABEL_SETS", 2):
            for number in range(9):
                refusal = outcomes.NotRun(f"reason {number}")
                self.latencies.record(self.plan, "kassa", refusal, 0.06)
        metrics_text = self.render_metrics()
        self.assertIn('reason="other",service="other"} 7.0', metrics_text)
        self.assertNotIn("reason 5", metrics_text)
