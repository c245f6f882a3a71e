"""Tests of the figures that the measurements print."""

from __future__ import annotations

import pathlib
import unittest
from unittest import mock

from tests.tools import builders
from tools import calls
from tools import convergence
from tools import costs
from tools import failures
from tools import latency
from tools import latency_load
from tools import scenario


class ConvergenceTest(unittest.TestCase):
    def test_figures_are_per_daemon(self) -> None:
        """Control bytes are divided by the number of daemons.

        Delays are those of all daemons and changes. The median delay of the
        last daemon is taken over the changes.
        """
        idle = costs.IdleCosts(200.0, 1.0, {}, 6, [0.01, 0.03], [50.0, 60.0])
        changes = [
            builders.build_change_figures([0.1, 0.4], control_bytes=1000.0),
            builders.build_change_figures([0.2, 0.3], control_bytes=3000.0),
        ]
        figures = convergence.summarize(2, idle, changes)
        self.assertEqual(figures["convergence_p50_s"], 0.2)
        self.assertEqual(figures["convergence_max_s"], 0.4)
        self.assertAlmostEqual(figures["convergence_last_p50_s"], 0.35)
        self.assertEqual(figures["control_bytes_per_daemon_s_idle"], 100.0)
        self.assertEqual(figures["control_bytes_per_daemon_change"], 1000.0)
        self.assertEqual(figures["cpu_share_max"], 0.03)

    def test_missing_daemon_is_counted(self) -> None:
        """A daemon that does not run a version in time is counted.

        It has no delay. A percentile of no delays is None, as JSON has no NaN,
        and so is the delay of the last daemon if any is missing.
        """
        idle = costs.IdleCosts(0.0, 0.0, {}, 0, [0.0], [1.0])
        changes = [builders.build_change_figures([], missing=1)]
        figures = convergence.summarize(1, idle, changes)
        self.assertEqual(figures["not_converged"], 1)
        self.assertIsNone(figures["convergence_p99_s"])
        self.assertIsNone(figures["convergence_last_p50_s"])


class LatencyTest(unittest.TestCase):
    def test_added_latency_is_the_difference_within_a_round(self) -> None:
        """A slowdown of the machine is not counted as added latency.

        In the second round all calls take longer, the direct ones too, while
        the differences within each round are the same.
        """
        added_ms_by_path = {
            "direct": 0,
            "daemon": 1,
            "two_daemons": 2,
            "baseline": 3,
        }
        blocks = [
            latency_load.Block(
                path, rate, [base_ms + added_ms] * 4, 0, 0.004, 1.0
            )
            for rate in (200, 0)
            for base_ms in (1.0, 5.0)
            for path, added_ms in added_ms_by_path.items()
        ]
        figures = latency.summarize(blocks, [200])
        self.assertEqual(figures["added_p50_ms"], 1.0)
        self.assertEqual(figures["two_daemons"]["added_p99_ms"], 2.0)
        self.assertEqual(figures["baseline"]["added_p99_ms"], 3.0)
        self.assertEqual(figures["cpu_us_per_call"], 1000.0)
        self.assertEqual(figures["throughput_ratio"], 1.0)
        self.assertEqual(figures["throughput_ratios"], [1.0, 1.0])


class FailuresTest(unittest.TestCase):
    def test_download_cut_by_a_planned_stop_is_counted(self) -> None:
        """Counts only the downloads that ran at the stopped backend server.

        Two downloads are truncated at the time of the stop. One of them ran at
        another backend server and went through another daemon, so another
        failure truncated it.
        """
        verdict = calls.Verdict.CUT
        results = [
            builders.build_result(request_id, verdict)._replace(large=True)
            for request_id in ("r1", "r2")
        ]
        results = [
            result._replace(
                attempts=[result.attempts[0]._replace(latency_ms=100.0)]
            )
            for result in results
        ]
        runs = [
            builders.build_run("r1.0", at="stopped", at_ms=10),
            builders.build_run("r2.0", at="other", at_ms=10),
        ]
        failure_scenario = self._build_scenario(
            scenario.PlannedStop(50, "entry", "stopped", stops_daemon=False)
        )
        figures = failures.summarize(results, runs, failure_scenario)
        self.assertEqual(figures["downloads_cut_by_planned_stop"], 1)
        self.assertEqual(figures["goodput_ratio"], 0.0)

    def test_crash_requests_are_not_counted_as_unanswered(self) -> None:
        """A request that crashes its backend server has a count of its own.

        It has no right answer, so it would lower the goodput.
        """
        results = [
            builders.build_result("r1", calls.Verdict.RIGHT),
            builders.build_result("r2", calls.Verdict.UNKNOWN)._replace(
                crash=True
            ),
        ]
        figures = failures.summarize(results, [], self._build_scenario())
        self.assertEqual(figures["requests"], 1)
        self.assertEqual(figures["goodput_ratio"], 1.0)
        self.assertEqual(figures["crash_requests"], 1)

    def _build_scenario(self, *stops: scenario.PlannedStop):
        empty_fleet = mock.Mock(instances=[])
        failure_scenario = scenario.Scenario(
            empty_fleet, pathlib.Path(), mock.AsyncMock(), with_versions=False
        )
        failure_scenario.planned_stops = list(stops)
        return failure_scenario


if __name__ == "__main__":
    unittest.main()
