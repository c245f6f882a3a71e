"""Tests of the judgement of a new version."""

from __future__ import annotations

import random
import unittest

from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import sequential

_Phase = analysis.Phase
_WITHIN_S = 10.0


def _judge(*evidence: analysis.Evidence, failed: float = 0.0) -> _Phase:
    return analysis.judge(_WITHIN_S, {"lookup": failed}, evidence)


def _see(
    calls: int, bad: int, watched_s: float, suspect: bool = False
) -> analysis.Evidence:
    seen = analysis.ClassEvidence("lookup", calls, bad)
    return analysis.Evidence((seen,), watched_s, suspect)


def _count_until_passed(test, chance, part, allowed, limit) -> int:
    """Returns the calls until a test passes; the limit: it did not."""
    for count in range(1, limit + 1):
        test.note(chance.random() < part, allowed)
        if test.passed:
            return count
    return limit


class JudgementTest(unittest.TestCase):
    def test_without_evidence_the_trial_goes_on(self):
        """Guards against a version that goes on unseen."""
        self.assertIs(_judge(), _Phase.TRIAL)
        few = _see(20, 0, 9.0)
        self.assertIs(_judge(few), _Phase.TRIAL)
        brief = _see(500, 0, 1.0)
        self.assertIs(_judge(brief), _Phase.TRIAL)

    def test_a_sound_version_goes_on_step_by_step(self):
        for watched_s, phase in ((3.5, _Phase.SHARED), (4.5, _Phase.NEW)):
            with self.subTest(watched_s=watched_s):
                seen = _see(200, 3, watched_s)
                self.assertIs(_judge(seen), phase)

    def test_one_sick_backend_server_is_no_bad_version(self):
        """Guards against going back for one that is sick by itself."""
        sick = _see(30, 15, 2.0, suspect=True)
        sound = _see(200, 2, 5.0)
        self.assertIs(_judge(sick, sound), _Phase.NEW)
        self.assertIs(_judge(sick, sound, sick), _Phase.BACK)

    def test_a_few_of_many_are_no_bad_version(self):
        """Guards against going back for a disturbance of some."""
        sick = _see(30, 15, 2.0, suspect=True)
        sound = _see(30, 1, 5.0)
        self.assertIs(_judge(*[sick] * 3, *[sound] * 19), _Phase.NEW)
        self.assertIs(_judge(*[sick] * 9, *[sound] * 13), _Phase.NEW)
        self.assertIs(_judge(*[sick] * 12, *[sound] * 10), _Phase.BACK)

    def test_two_sick_ones_of_many_are_no_bad_version(self):
        """Guards against a trial that begins with two that are sick."""
        sick = _see(30, 15, 2.0, suspect=True)
        unseen = analysis.Evidence((), 0.0, False)
        self.assertIs(_judge(sick, sick, *[unseen] * 20), _Phase.TRIAL)
        self.assertIs(_judge(sick, sick, sick, *[unseen] * 19), _Phase.BACK)
        self.assertIs(_judge(sick, sick, *[unseen] * 5), _Phase.BACK)

    def test_the_only_one_counts_alone(self):
        self.assertIs(_judge(_see(30, 15, 2.0, suspect=True)), _Phase.BACK)

    def test_many_bad_answers_hold_up_a_version(self):
        """Guards against a version that is bad, but not yet surely so."""
        seen = _see(100, 20, 5.0)
        self.assertIs(_judge(seen), _Phase.TRIAL)
        self.assertIs(_judge(seen, failed=0.15), _Phase.NEW)

    def test_one_class_alone_is_not_hidden_by_the_others(self):
        """Guards against a version that fails one class of work only."""
        classes = (
            analysis.ClassEvidence("lookup", 300, 3),
            analysis.ClassEvidence("payout", 30, 13),
        )
        self.assertIs(
            _judge(analysis.Evidence(classes, 5.0, False)), _Phase.BACK
        )

    def test_what_all_show_together_is_enough(self):
        """Guards against waiting for each of many to be suspect by itself."""
        self.assertIs(_judge(*[_see(4, 2, 5.0)] * 20), _Phase.BACK)


class SequentialTestTest(unittest.TestCase):
    def test_a_bad_version_is_found_within_few_calls(self):
        """Guards against callers that get bad answers for long."""
        counts = []
        for seed in range(200):
            test = sequential.SequentialTest()
            chance = random.Random(seed)
            counts.append(_count_until_passed(test, chance, 0.4, 0.12, 400))
        self.assertLess(sorted(counts)[190], 80)

    def test_one_that_turns_bad_is_found_as_soon(self):
        """Guards against a version that fails only after good answers."""
        counts = []
        for seed in range(200):
            test = sequential.SequentialTest()
            chance = random.Random(seed)
            _count_until_passed(test, chance, 0.01, 0.12, 500)
            self.assertFalse(test.passed)
            counts.append(_count_until_passed(test, chance, 0.4, 0.12, 400))
        self.assertLess(sorted(counts)[190], 80)

    def test_a_sound_version_is_not_suspect(self):
        """Guards against going back from a sound version."""
        passed = 0
        for seed in range(1000):
            test = sequential.SequentialTest()
            chance = random.Random(seed)
            _count_until_passed(test, chance, 0.05, 0.12, 300)
            passed += test.passed
        self.assertLessEqual(passed, 10)
