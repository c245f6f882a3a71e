"""Tests of the canary analysis of a new version."""

from __future__ import annotations

import random
import unittest

from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import sequential

_Phase = analysis.Phase
_WITHIN_S = 10.0


def _choose_phase(
    *evidence: analysis.Evidence, failure_ratio: float = 0.0
) -> _Phase:
    return analysis.choose_phase(_WITHIN_S, {"lookup": failure_ratio}, evidence)


def _build_evidence(
    calls: int, bad: int, watched_s: float, suspect: bool = False
) -> analysis.Evidence:
    work = analysis.ClassEvidence("lookup", calls, bad)
    return analysis.Evidence((work,), watched_s, suspect)


def _count_until_alarm(test, rng, bad_ratio, allowed, limit) -> int:
    """Returns the calls until a test raises an alarm; the limit: it did not."""
    for count in range(1, limit + 1):
        test.record(rng.random() < bad_ratio, allowed)
        if test.alarmed:
            return count
    return limit


class AnalysisTest(unittest.TestCase):
    def test_trial_continues_without_evidence(self):
        """Guards against a version that leaves its trial without evidence."""
        self.assertIs(_choose_phase(), _Phase.TRIAL)
        few = _build_evidence(20, 0, 9.0)
        self.assertIs(_choose_phase(few), _Phase.TRIAL)
        brief = _build_evidence(500, 0, 1.0)
        self.assertIs(_choose_phase(brief), _Phase.TRIAL)

    def test_healthy_version_passes_phase_by_phase(self):
        for watched_s, phase in ((3.5, _Phase.SHARED), (4.5, _Phase.NEW)):
            with self.subTest(watched_s=watched_s):
                evidence = _build_evidence(200, 3, watched_s)
                self.assertIs(_choose_phase(evidence), phase)

    def test_one_faulty_backend_server_does_not_roll_back(self):
        """Guards against a rollback for a server that is faulty by itself."""
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        healthy = _build_evidence(200, 2, 5.0)
        self.assertIs(_choose_phase(faulty, healthy), _Phase.NEW)
        self.assertIs(_choose_phase(faulty, healthy, faulty), _Phase.BACK)

    def test_few_faulty_servers_of_many_do_not_roll_back(self):
        """Guards against a rollback for a disturbance of a few servers."""
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        healthy = _build_evidence(30, 1, 5.0)
        self.assertIs(_choose_phase(*[faulty] * 3, *[healthy] * 19), _Phase.NEW)
        self.assertIs(_choose_phase(*[faulty] * 9, *[healthy] * 13), _Phase.NEW)
        self.assertIs(
            _choose_phase(*[faulty] * 12, *[healthy] * 10), _Phase.BACK
        )

    def test_first_two_faulty_of_many_do_not_roll_back(self):
        """Guards against a rollback if the trial begins with faulty servers."""
        faulty = _build_evidence(30, 15, 2.0, suspect=True)
        unobserved = analysis.Evidence((), 0.0, False)
        self.assertIs(
            _choose_phase(faulty, faulty, *[unobserved] * 20), _Phase.TRIAL
        )
        self.assertIs(
            _choose_phase(faulty, faulty, faulty, *[unobserved] * 19),
            _Phase.BACK,
        )
        self.assertIs(
            _choose_phase(faulty, faulty, *[unobserved] * 5), _Phase.BACK
        )

    def test_only_backend_server_decides_alone(self):
        self.assertIs(
            _choose_phase(_build_evidence(30, 15, 2.0, suspect=True)),
            _Phase.BACK,
        )

    def test_many_bad_answers_delay_a_version(self):
        """Guards against promoting a version that is probably bad."""
        evidence = _build_evidence(100, 20, 5.0)
        self.assertIs(_choose_phase(evidence), _Phase.TRIAL)
        self.assertIs(_choose_phase(evidence, failure_ratio=0.15), _Phase.NEW)

    def test_one_bad_class_is_not_hidden_by_others(self):
        """Guards against a version that fails only one class of work."""
        classes = (
            analysis.ClassEvidence("lookup", 300, 3),
            analysis.ClassEvidence("payout", 30, 13),
        )
        self.assertIs(
            _choose_phase(analysis.Evidence(classes, 5.0, False)), _Phase.BACK
        )

    def test_evidence_of_all_servers_is_summed(self):
        """Guards against waiting until each of many servers is suspect."""
        self.assertIs(
            _choose_phase(*[_build_evidence(4, 2, 5.0)] * 20), _Phase.BACK
        )


class SequentialTestTest(unittest.TestCase):
    def test_bad_version_is_detected_within_few_calls(self):
        """Guards against callers that get bad answers for a long time."""
        counts = []
        for seed in range(200):
            test = sequential.SequentialTest()
            rng = random.Random(seed)
            counts.append(_count_until_alarm(test, rng, 0.4, 0.12, 400))
        self.assertLess(sorted(counts)[190], 80)

    def test_version_that_turns_bad_is_detected_as_soon(self):
        """Guards against a version that fails only after many good answers."""
        counts = []
        for seed in range(200):
            test = sequential.SequentialTest()
            rng = random.Random(seed)
            _count_until_alarm(test, rng, 0.01, 0.12, 500)
            self.assertFalse(test.alarmed)
            counts.append(_count_until_alarm(test, rng, 0.4, 0.12, 400))
        self.assertLess(sorted(counts)[190], 80)

    def test_healthy_version_is_not_suspect(self):
        """Guards against rolling back a healthy version."""
        alarms = 0
        for seed in range(1000):
            test = sequential.SequentialTest()
            rng = random.Random(seed)
            _count_until_alarm(test, rng, 0.05, 0.12, 300)
            alarms += test.alarmed
        self.assertLessEqual(alarms, 10)
