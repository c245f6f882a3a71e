"""Tests of the counts of harmful outcomes."""

from __future__ import annotations

import unittest

from tests.tools import builders
from tools import calls
from tools import harm


class HarmTest(unittest.TestCase):
    def test_run_without_harm_has_zero_counts(self) -> None:
        """A keyed call that runs once and gets the right answer is no harm."""
        result = builders.build_result("r1", calls.Verdict.RIGHT)
        runs = [builders.build_run("r1.0", key="r1")]
        counts = harm.count_harm([result], runs)
        self.assertEqual(counts, harm.Harm(0, 0, 0, 0))

    def test_each_kind_of_harm_is_counted(self) -> None:
        """Each kind of harm has a count of its own.

        One payout runs in two attempts, one attempt that was refused as not
        run did run, one answer belongs to another call, and one body is
        truncated.
        """
        verdicts = calls.Verdict
        results = [
            builders.build_result("r1", verdicts.UNKNOWN, verdicts.RIGHT),
            builders.build_result("r2", verdicts.NOT_RUN),
            builders.build_result("r3", verdicts.WRONG),
            builders.build_result("r4", verdicts.CUT_SHOWN_WHOLE),
        ]
        runs = [
            builders.build_run("r1.0", key="r1"),
            builders.build_run("r1.1", key="r1"),
            builders.build_run("r2.0"),
        ]
        counts = harm.count_harm(results, runs)
        self.assertEqual(counts, harm.Harm(1, 1, 1, 1))

    def test_amplification_is_the_maximum_of_runs_per_attempt(self) -> None:
        """Runs of different attempts are not added up."""
        runs = [builders.build_run(f"r{number}.0") for number in (1, 2, 2, 2)]
        self.assertEqual(harm.compute_amplification(runs), 3)

    def test_new_work_is_counted_within_the_interval(self) -> None:
        """Runs at the bounds or at another backend server do not count."""
        runs = [
            builders.build_run("r", at_ms=at_ms) for at_ms in (5, 10, 11, 20)
        ]
        self.assertEqual(harm.count_new_work(runs, "there", 10, 20), 1)
        self.assertEqual(harm.count_new_work(runs, "elsewhere", 0), 0)

    def test_each_move_to_a_lower_version_is_a_regression(self) -> None:
        """A version that stays the same or skips numbers is no regression."""
        self.assertEqual(harm.count_regressions([1, 2, 2, 5]), 0)
        self.assertEqual(harm.count_regressions([1, 3, 2, 3, 1]), 2)


if __name__ == "__main__":
    unittest.main()
