"""Tests of the observation of a backend server during a roll-out."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import observer as observers
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

_OLD = "10.0.0.1:7600"
_NEW = "10.0.1.1:7600"


class ObserverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = builders.ServiceFixture()
        self.backend = backends.LocalBackend()
        self.backend.service = builders.SERVICE
        self.in_flight = 0

    def observe(self, member_id: str, version: str) -> observers.Observer:
        """Orders a roll-out, and builds the observer of a backend server."""
        self.backend.version = version
        self.fixture.tracker.merge_rollout(builders.build_rollout())
        return observers.Observer(
            self.fixture.tracker,
            self.backend,
            lambda: member_id,
            lambda: self.in_flight,
            self.fixture.clock,
        )

    def record_calls(
        self,
        observer: observers.Observer,
        calls: int,
        failed: bool = False,
        took_s: float = 0.1,
    ) -> None:
        """Records calls at a rate of twenty per second."""
        for _ in range(calls):
            self.fixture.clock.now += 0.05
            observer.record_answer("lookup", failed, took_s)

    def set_baseline(self, calls: int = 100, bad: int = 0) -> None:
        """Sets the baseline, with a mean duration of 0.1 s."""
        trial = builders.build_trial(_OLD, calls, bad)
        self.fixture.tracker.merge_trial(trial)

    def test_failing_version_is_suspect(self) -> None:
        observer = self.observe(_NEW, "v2")
        self.record_calls(observer, 30, failed=True)
        self.assertTrue(self.fixture.progress.is_suspect(_NEW))

    def test_slow_version_is_suspect(self) -> None:
        """Guards against a version that answers correctly but far too late."""
        observer = self.observe(_NEW, "v2")
        self.set_baseline()
        self.record_calls(observer, 30, took_s=0.5)
        self.assertTrue(self.fixture.progress.is_suspect(_NEW))

    def test_cold_start_is_not_slow(self) -> None:
        """Guards against a rollback of a version that has just started."""
        observer = self.observe(_NEW, "v2")
        self.set_baseline()
        self.backend.warm_at = self.fixture.clock.now + 10.0
        self.record_calls(observer, 30, took_s=0.5)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_nothing_is_slow_without_baseline(self) -> None:
        """Guards against judging durations without a comparison."""
        observer = self.observe(_NEW, "v2")
        self.set_baseline(calls=3)
        self.record_calls(observer, 30, took_s=0.5)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_failures_of_both_versions_are_not_suspect(self) -> None:
        """Guards against a rollback for a disturbance of both versions."""
        observer = self.observe(_NEW, "v2")
        self.set_baseline(bad=30)
        for _ in range(20):
            self.record_calls(observer, 1, failed=True)
            self.record_calls(observer, 2)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_old_version_is_closed_and_drained(self) -> None:
        """Guards against calls to servers that are about to be stopped."""
        observer = self.observe(_OLD, "v1")
        good = builders.build_trial(_NEW, 500, 0, watched_ms=9_000)
        self.fixture.tracker.merge_trial(good)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.NEW)
        self.assertTrue(observer.may_run())
        self.in_flight = 1
        self.fixture.clock.now += 1.0
        self.assertFalse(observer.may_run())
        observer.update()
        self.assertFalse(self.fixture.progress.is_drained(_OLD))
        self.in_flight = 0
        observer.update()
        self.assertTrue(self.fixture.progress.is_drained(_OLD))

    def test_rolled_back_version_runs_no_calls(self) -> None:
        """Guards against senders that do not know of the end."""
        observer = self.observe(_NEW, "v2")
        self.assertTrue(observer.may_run())
        end = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(end)
        self.assertFalse(observer.may_run())

    def observe_unknown_version(self) -> observers.Observer:
        """Orders a roll-out for a backend server without a known version."""
        unknown = self.fixture.upstreams[0]._replace(version="")
        self.fixture.upstreams = (unknown, *self.fixture.upstreams[1:])
        return self.observe(_OLD, "")

    def end_rollout(self, state: control_pb2.RolloutState) -> None:
        """Ends the roll-out."""
        self.fixture.tracker.merge_rollout(builders.build_rollout(state=state))

    def test_unknown_version_reports_nothing(self) -> None:
        """Guards against answers of a new version in the baseline."""
        observer = self.observe_unknown_version()
        self.record_calls(observer, 30, failed=True)
        observer.update()
        self.assertEqual(self.fixture.tracker.list_trials(), [])

    def test_server_that_lost_its_version_reports_nothing(self) -> None:
        """Guards against a restart that the member table shows later."""
        observer = self.observe(_OLD, "v1")
        self.backend.version = ""
        self.record_calls(observer, 30, failed=True)
        self.assertEqual(self.fixture.tracker.list_trials(), [])

    def test_unknown_version_runs_no_calls_during_rollout(self) -> None:
        """Guards against senders that do not know that a version is bad."""
        observer = self.observe_unknown_version()
        self.assertFalse(observer.may_run())
        self.fixture.clock.now += 7.9
        self.assertFalse(observer.may_run())
        self.fixture.clock.now += 0.2
        self.fixture.tracker.update(builders.SERVICE)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.BACK)
        self.assertFalse(observer.may_run())
        self.end_rollout(control_pb2.ROLLED_BACK)
        self.assertFalse(observer.may_run())
        self.backend.version = "v1"
        self.assertTrue(observer.may_run())

    def test_unknown_version_is_not_reported_drained(self) -> None:
        """Guards against a new version that counts as a drained old one."""
        observer = self.observe_unknown_version()
        good = builders.build_trial(_NEW, 500, 0, watched_ms=9_000)
        self.fixture.tracker.merge_trial(good)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.NEW)
        self.fixture.clock.now += 1.0
        self.assertFalse(observer.may_run())
        observer.update()
        self.assertFalse(self.fixture.progress.is_drained(_OLD))

    def test_unknown_version_runs_calls_after_completion(self) -> None:
        """Guards against refused calls after each restart of a daemon."""
        observer = self.observe_unknown_version()
        self.end_rollout(control_pb2.COMPLETE)
        self.fixture.clock.now += 1.0
        self.assertTrue(observer.may_run())

    def test_unknown_version_is_not_closed_permanently(self) -> None:
        """Guards against closing servers that the roll-out does not concern."""
        observer = self.observe_unknown_version()
        self.end_rollout(control_pb2.ROLLED_BACK)
        self.fixture.clock.now += 5.0
        self.assertFalse(observer.may_run())
        self.fixture.clock.now += 10.0
        self.assertTrue(observer.may_run())

    def observe_completed(self, version: str) -> observers.Observer:
        """Completes a roll-out, and returns the observer of a version."""
        observer = self.observe("10.0.2.1:7600", version)
        self.end_rollout(control_pb2.COMPLETE)
        self.fixture.clock.now += 1.0
        observer.update()
        return observer

    def test_old_version_stays_closed_while_new_one_serves(self) -> None:
        """Guards against calls that are lost when their server is stopped."""
        self.assertFalse(self.observe_completed("v1").may_run())

    def test_old_version_serves_again_without_the_new_one(self) -> None:
        """Guards against refusing all calls after the new version left."""
        observer = self.observe_completed("v1")
        self.fixture.upstreams = self.fixture.upstreams[:3]
        observer.update()
        self.assertTrue(observer.may_run())

    def test_later_version_is_not_closed(self) -> None:
        """Guards against confusing a later version with the old one."""
        self.assertTrue(self.observe_completed("v3").may_run())

    def test_later_version_serves_after_the_new_one_left(self) -> None:
        """Guards against a daemon that has never seen the old version."""
        self.fixture.upstreams = self.fixture.upstreams[3:]
        observer = self.observe_completed("v3")
        self.assertFalse(observer.may_run())
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        self.fixture.upstreams = (later,)
        observer.update()
        self.assertTrue(observer.may_run())

    def test_service_without_rollout_is_not_observed(self) -> None:
        observer = observers.Observer(
            self.fixture.tracker, self.backend, lambda: _OLD, lambda: 0
        )
        observer.record_answer("lookup", True, 1.0)
        observer.update()
        self.assertTrue(observer.may_run())
        self.assertEqual(self.fixture.tracker.list_trials(), [])
