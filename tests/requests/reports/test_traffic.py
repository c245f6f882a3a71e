"""Tests of the reports that tell a full link from an overloaded processor."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import links
from merlintrestle.requests.reports import traffic
from tests.requests import builders
from tests.requests import fakes


class TrafficReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.Clock()
        self.traffics = traffic.build_traffics()
        self.held_back = 0
        self.report = traffic.TrafficReport(
            self.traffics,
            links.OutgoingLink(self.clock.get_time),
            lambda: self.held_back,
            self.clock.get_time,
        )

    def update(self, duration_s: float, lateness_s: float = 0.0) -> None:
        """Updates the report twice a second during a time."""
        for _ in range(round(duration_s * 2)):
            self.clock.now += 0.5
            self.report.update(lateness_s)

    def read_gauges(self) -> dict[str, float]:
        """Returns the metrics that have a single value."""
        return {
            family.name: family.samples[0].value
            for family in self.report.collect()
            if len(family.samples) == 1
        }

    def test_full_link(self) -> None:
        """If bytes wait while the event loop is on time, one line is written.

        A write buffer that was full in between counts as well, even if it is
        empty when the line is written.
        """
        self.traffics.peers.sent += 2_000_000
        self.held_back = 70_000
        self.update(1.0)
        self.held_back = 0
        with self.assertLogs("merlintrestle.requests") as logs:
            self.update(9.0)
        self.assertEqual(len(logs.records), 1)
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(fields["waiting"], 70_000)
        self.assertEqual(fields["peers_out_kb_s"], 400.0)
        self.assertEqual(fields["loop_late_ms"], 0)

    def test_overloaded_processor(self) -> None:
        """No bytes wait while the event loop is late."""
        with self.assertLogs("merlintrestle.requests") as logs:
            self.update(5.0, lateness_s=0.3)
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(fields["waiting"], 0)
        self.assertEqual(fields["loop_late_ms"], 300)

    def test_nothing_waits(self) -> None:
        """No line is written, however many bytes are transferred."""
        self.traffics.callers.sent += 9_000_000
        with self.assertNoLogs("merlintrestle.requests"):
            self.update(20.0, lateness_s=0.01)

    def test_metrics(self) -> None:
        self.traffics.backend.received += 5
        self.held_back = 3
        self.update(0.5, lateness_s=0.2)
        byte_counts = next(iter(self.report.collect()))
        counts = {
            (sample.labels["with"], sample.labels["direction"]): sample.value
            for sample in byte_counts.samples
        }
        self.assertEqual(len(counts), 6)
        self.assertEqual(counts["backend", "in"], 5)
        gauges = self.read_gauges()
        self.assertEqual(gauges["merlintrestle_held_back_bytes"], 3)
        self.assertEqual(
            gauges["merlintrestle_event_loop_lateness_seconds"], 0.2
        )


class CountedBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_by_kind_of_connection(self) -> None:
        """A call through another daemon is counted on each connection."""
        async with builders.run_nodes(2) as (first, second):
            first.table.upstreams["kassa"] = (second.build_upstream(),)
            async with builders.open_client() as client:
                body = b"x" * 5000
                await builders.fetch(
                    client, f"{first.url}/echo", "POST", data=body
                )
            near, far = (node.proxy._traffics for node in (first, second))
        for count in (
            near.callers.received,
            near.callers.sent,
            near.peers.sent,
            near.peers.received,
            far.peers.received,
            far.peers.sent,
            far.backend.sent,
            far.backend.received,
        ):
            self.assertGreater(count, 5000)
        self.assertEqual(near.backend, traffic.Traffic())
        self.assertEqual(far.callers, traffic.Traffic())
