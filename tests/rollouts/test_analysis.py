"""Tests of the canary analysis of a new version."""

from __future__ import annotations

import random
import unittest

from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import cusum

_Phase = analysis.Phase
_WITHIN_S = 10.0


def _choose_phase(
    *evidence: analysis.Evidence, failure_ratio: float = 0.0
) -> _Phase:
    return analysis.choose_phase(_WITHIN_S, {"lookup": failure_ratio}, evidence)


def _build_evidence(
    calls: int, bad: int, observed_s: float, suspect: bool = False
) -> analysis.Evidence:
    class_evidence = analysis.ClassEvidence("lookup", calls, bad)
    return analysis.Evidence((class_evidence,), observed_s, suspect)


def _count_until_alarm(
    detector, rng, bad_ratio, allowed_ratio, max_answers
) -> int:
    """Returns the number of random answers until a detector raises an alarm.

    Args:
        detector: The detector.
        rng: Random number generator that determines which answers are bad.
        bad_ratio: Expected ratio of bad answers.
        allowed_ratio: Ratio of a healthy version's answers that may be bad.
        max_answers: Maximum number of answers. It is also returned if there is
            no alarm.
    """
    for count in range(1, max_answers + 1):
        detector.record(rng.random() < bad_ratio, allowed_ratio)
        if detector.alarmed:
            return count
    return max_answers


class AnalysisTest(unittest.TestCase):
    def test_trial_continues_without_evidence(self):
        """Guards against leaving the trial phase early or after few calls."""
        self.assertIs(_choose_phase(), _Phase.TRIAL)
        few_calls = _build_evidence(20, 0, 9.0)
        self.assertIs(_choose_phase(few_calls), _Phase.TRIAL)
        short_time = _build_evidence(500, 0, 1.0)
        self.assertIs(_choose_phase(short_time), _Phase.TRIAL)

    def test_healthy_version_passes_all_phases_in_order(self):
        """Guards against moving all calls before the shared phase."""
        for observed_s, phase in ((3.5, _Phase.SHARED), (4.5, _Phase.NEW)):
            with self.subTest(observed_s=observed_s):
                evidence = _build_evidence(200, 3, observed_s)
                self.assertIs(_choose_phase(evidence), phase)

    def test_one_faulty_backend_server_does_not_roll_back(self):
        """Guards against a rollback for one server with a fault of its own."""
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        healthy = _build_evidence(200, 2, 5.0)
        self.assertIs(_choose_phase(faulty, healthy), _Phase.NEW)
        self.assertIs(_choose_phase(faulty, healthy, faulty), _Phase.BACK)

    def test_few_faulty_servers_of_many_do_not_roll_back(self):
        """Guards against a rollback when less than half of the servers fail."""
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        healthy = _build_evidence(30, 1, 5.0)
        self.assertIs(_choose_phase(*[faulty] * 3, *[healthy] * 19), _Phase.NEW)
        self.assertIs(_choose_phase(*[faulty] * 9, *[healthy] * 13), _Phase.NEW)
        self.assertIs(
            _choose_phase(*[faulty] * 12, *[healthy] * 10), _Phase.BACK
        )

    def test_first_two_faulty_of_many_do_not_roll_back(self):
        """Guards against a rollback if the first two servers happen to fail.

        In a small service, two suspects are enough for a rollback.
        """
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        without_calls = analysis.Evidence((), 0.0, False)
        self.assertIs(
            _choose_phase(faulty, faulty, *[without_calls] * 20), _Phase.TRIAL
        )
        self.assertIs(
            _choose_phase(faulty, faulty, faulty, *[without_calls] * 19),
            _Phase.BACK,
        )
        self.assertIs(
            _choose_phase(faulty, faulty, *[without_calls] * 5), _Phase.BACK
        )

    def test_only_backend_server_rolls_back(self):
        """Guards against keeping a bad version that has one backend server."""
        self.assertIs(
            _choose_phase(_build_evidence(30, 15, 2.0, suspect=True)),
            _Phase.BACK,
        )

    def test_many_bad_answers_hold_version_in_trial(self):
        """Guards against moving more calls to a version that is probably bad.

        The same ratio is allowed if the old version fails as well.
        """
        evidence = _build_evidence(100, 20, 5.0)
        self.assertIs(_choose_phase(evidence), _Phase.TRIAL)
        self.assertIs(_choose_phase(evidence, failure_ratio=0.15), _Phase.NEW)

    def test_one_bad_class_is_not_hidden_by_others(self):
        """Guards against accepting a version that fails in one class only."""
        classes = (
            analysis.ClassEvidence("lookup", 300, 3),
            analysis.ClassEvidence("payout", 30, 13),
        )
        self.assertIs(
            _choose_phase(analysis.Evidence(classes, 5.0, False)), _Phase.BACK
        )

    def test_evidence_of_all_servers_is_summed(self):
        """Guards against a late rollback if each server gets only few calls."""
        self.assertIs(
            _choose_phase(*[_build_evidence(4, 2, 5.0)] * 20), _Phase.BACK
        )


class CusumDetectorTest(unittest.TestCase):
    def test_bad_version_is_detected_within_few_calls(self):
        """Guards against callers that get bad answers for a long time."""
        counts = []
        for seed in range(200):
            detector = cusum.CusumDetector()
            rng = random.Random(seed)
            counts.append(_count_until_alarm(detector, rng, 0.4, 0.12, 400))
        # The 95th percentile of the number of answers until the alarm.
        self.assertLess(sorted(counts)[190], 80)

    def test_version_that_turns_bad_is_detected_as_quickly(self):
        """Guards against late detection after many good answers."""
        counts = []
        for seed in range(200):
            detector = cusum.CusumDetector()
            rng = random.Random(seed)
            _count_until_alarm(detector, rng, 0.01, 0.12, 500)
            self.assertFalse(detector.alarmed)
            counts.append(_count_until_alarm(detector, rng, 0.4, 0.12, 400))
        # The 95th percentile of the number of answers until the alarm.
        self.assertLess(sorted(counts)[190], 80)

    def test_healthy_version_is_not_suspect(self):
        """Guards against false alarms, which roll back a healthy version."""
        alarms = 0
        for seed in range(1000):
            detector = cusum.CusumDetector()
            rng = random.Random(seed)
            _count_until_alarm(detector, rng, 0.05, 0.12, 300)
            alarms += detector.alarmed
        self.assertLessEqual(alarms, 10)
