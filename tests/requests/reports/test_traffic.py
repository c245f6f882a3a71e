"""Tests of the report on traffic and the causes of delays."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import links
from merlintrestle.requests.reports import traffic
from tests.requests import builders
from tests.requests import fakes


class TrafficReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.traffics = traffic.build_traffics()
        self.buffered_bytes = 0
        self.report = traffic.TrafficReport(
            self.traffics,
            links.OutgoingLink(self.clock.get_time),
            lambda: self.buffered_bytes,
            self.clock.get_time,
        )

    def update(self, duration_s: float, lateness_s: float = 0.0) -> None:
        """Updates the report every 0.5 s for `duration_s`."""
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
        """A line is logged if bytes are buffered and the event loop is on time.

        It contains the buffered bytes of earlier updates in the interval, even
        if the write buffers are empty when the line is written.
        """
        self.traffics.peers.sent += 2_000_000
        self.buffered_bytes = 70_000
        self.update(1.0)
        self.buffered_bytes = 0
        with self.assertLogs("merlintrestle.requests") as logs:
            self.update(9.0)
        self.assertEqual(len(logs.records), 1)
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(fields["waiting"], 70_000)
        self.assertEqual(fields["peers_out_kb_s"], 400.0)
        self.assertEqual(fields["loop_late_ms"], 0)

    def test_overloaded_processor(self) -> None:
        """A line is logged if the event loop is late and buffers are empty."""
        with self.assertLogs("merlintrestle.requests") as logs:
            self.update(5.0, lateness_s=0.3)
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(fields["waiting"], 0)
        self.assertEqual(fields["loop_late_ms"], 300)

    def test_no_delay(self) -> None:
        """Traffic alone is not logged, however many bytes are transferred."""
        self.traffics.callers.sent += 9_000_000
        with self.assertNoLogs("merlintrestle.requests"):
            self.update(20.0, lateness_s=0.01)

    def test_metrics(self) -> None:
        self.traffics.backend.received += 5
        self.buffered_bytes = 3
        self.update(0.5, lateness_s=0.2)
        byte_counters = next(iter(self.report.collect()))
        counts = {
            (sample.labels["with"], sample.labels["direction"]): sample.value
            for sample in byte_counters.samples
        }
        self.assertEqual(len(counts), 6)
        self.assertEqual(counts["backend", "in"], 5)
        gauges = self.read_gauges()
        self.assertEqual(gauges["merlintrestle_held_back_bytes"], 3)
        self.assertEqual(
            gauges["merlintrestle_event_loop_lateness_seconds"], 0.2
        )


class ByteCountersTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_by_kind_of_connection(self) -> None:
        """A call is counted on each connection of its path through daemons."""
        async with builders.run_nodes(2) as (local_node, remote_node):
            local_node.table.upstreams["kassa"] = (
                remote_node.build_upstream(),
            )
            async with builders.open_client() as client:
                body = b"x" * 5000
                await builders.fetch(
                    client, f"{local_node.url}/echo", "POST", data=body
                )
            local_traffics, remote_traffics = (
                node.proxy._byte_counters for node in (local_node, remote_node)
            )
        for byte_count in (
            local_traffics.callers.received,
            local_traffics.callers.sent,
            local_traffics.peers.sent,
            local_traffics.peers.received,
            remote_traffics.peers.received,
            remote_traffics.peers.sent,
            remote_traffics.backend.sent,
            remote_traffics.backend.received,
        ):
            self.assertGreater(byte_count, 5000)
        self.assertEqual(local_traffics.backend, traffic.Traffic())
        self.assertEqual(remote_traffics.callers, traffic.Traffic())
