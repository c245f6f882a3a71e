"""Tests of the metrics of latencies and failure reasons."""

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

    def render(self) -> str:
        """Returns the metrics in the text format of Prometheus."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self.latencies)
        return prometheus_client.generate_latest(registry).decode()

    def test_a_refusal_is_counted_by_its_reason(self):
        refusal = outcomes.NotRun("no free slot in time", overloaded=True)
        self.latencies.record(self.plan, "kassa", refusal, 0.06)
        text = self.render()
        self.assertIn(
            'merlintrestle_request_failures_total{outcome="refused",'
            'reason="no free slot in time",service="kassa"} 1.0',
            text,
        )
        self.assertIn('le="0.05",outcome="refused",service="kassa"} 0.0', text)
        self.assertIn('le="0.075",outcome="refused",service="kassa"} 1.0', text)

    def test_label_values_are_bounded(self):
        """The memory of a daemon does not grow with the input of callers.

        Reasons contain names of services, so there can be many of them in a
        day. Reasons beyond the maximum are counted together.
        """
        with mock.patch.object(latencies, "MAX_LABEL_SETS", 2):
            for number in range(9):
                refusal = outcomes.NotRun(f"reason {number}")
                self.latencies.record(self.plan, "kassa", refusal, 0.06)
        text = self.render()
        self.assertIn('reason="other",service="other"} 7.0', text)
        self.assertNotIn("reason 5", text)
