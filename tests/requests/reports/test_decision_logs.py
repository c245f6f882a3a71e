"""Tests for `merlintrestle.requests.reports.decision_logs`."""

from __future__ import annotations

import unittest
from unittest import mock

from merlintrestle import events
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.reports import decision_logs

_REFUSAL = outcomes.NotRun("workspace 'vecht' is over its quota", 429, 0.3)


class NotAdmittedTest(unittest.TestCase):
    def setUp(self) -> None:
        bucket = events.TokenBucket(0.0, rate=0.0, burst=2.0)
        patch = mock.patch.object(decision_logs, "_not_admitted_bucket", bucket)
        patch.start()
        self.addCleanup(patch.stop)

    def test_lines_are_bounded_and_tell_the_cause(self) -> None:
        """Guards against a flood of refusals that fills the logs."""
        with self.assertLogs("merlintrestle.requests") as logs:
            for number in range(100):
                decision_logs.write_not_admitted(
                    f"r{number}", "quota", _REFUSAL
                )
        self.assertEqual(len(logs.records), 2)
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(
            (fields["request"], fields["cause"], fields["status"]),
            ("r0", "quota", 429),
        )

    def test_request_without_an_id_takes_no_line_of_another(self) -> None:
        for _ in range(10):
            decision_logs.write_not_admitted("", "key", _REFUSAL)
        with self.assertLogs("merlintrestle.requests") as logs:
            decision_logs.write_not_admitted("r1", "key", _REFUSAL)
        self.assertEqual(len(logs.records), 1)


if __name__ == "__main__":
    unittest.main()
