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

    def start_rollout(self, member_id: str, version: str) -> observers.Observer:
        """Starts a roll-out, and builds the observer of a backend server."""
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
        duration_s: float = 0.1,
    ) -> None:
        """Records calls at a rate of twenty per second."""
        for _ in range(calls):
            self.fixture.clock.now += 0.05
            observer.record_call("lookup", failed, duration_s)

    def set_baseline(self, calls: int = 100, bad: int = 0) -> None:
        """Sets the baseline, with a mean duration of 0.1 s."""
        report = builders.build_report(_OLD, calls, bad)
        self.fixture.tracker.merge_report(report)

    def test_failing_version_is_suspect(self) -> None:
        """Guards against a failing version that is never rolled back."""
        observer = self.start_rollout(_NEW, "v2")
        self.record_calls(observer, 30, failed=True)
        self.assertTrue(self.fixture.progress.is_suspect(_NEW))

    def test_slow_version_is_suspect(self) -> None:
        """Guards against accepting a version whose answers are far too slow."""
        observer = self.start_rollout(_NEW, "v2")
        self.set_baseline()
        self.record_calls(observer, 30, duration_s=0.5)
        self.assertTrue(self.fixture.progress.is_suspect(_NEW))

    def test_cold_start_is_not_slow(self) -> None:
        """Guards against a rollback because the version has just started."""
        observer = self.start_rollout(_NEW, "v2")
        self.set_baseline()
        self.backend.warmup_ends_at = self.fixture.clock.now + 10.0
        self.record_calls(observer, 30, duration_s=0.5)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_nothing_is_slow_without_baseline(self) -> None:
        """Guards against a rollback for durations without a comparison."""
        observer = self.start_rollout(_NEW, "v2")
        self.set_baseline(calls=3)
        self.record_calls(observer, 30, duration_s=0.5)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_failures_of_both_versions_are_not_suspect(self) -> None:
        """Guards against a rollback for faults that affect both versions."""
        observer = self.start_rollout(_NEW, "v2")
        self.set_baseline(bad=30)
        for _ in range(20):
            self.record_calls(observer, 1, failed=True)
            self.record_calls(observer, 2)
        self.assertFalse(self.fixture.progress.is_suspect(_NEW))

    def test_old_version_refuses_calls_and_drains(self) -> None:
        """Guards against calls to servers that are about to be stopped."""
        observer = self.start_rollout(_OLD, "v1")
        healthy = builders.build_report(_NEW, 500, 0, watched_ms=9_000)
        self.fixture.tracker.merge_report(healthy)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.NEW)
        self.assertTrue(observer.may_serve())
        self.in_flight = 1
        self.fixture.clock.now += 1.0
        self.assertFalse(observer.may_serve())
        observer.update()
        self.assertFalse(self.fixture.progress.is_drained(_OLD))
        self.in_flight = 0
        observer.update()
        self.assertTrue(self.fixture.progress.is_drained(_OLD))

    def test_rolled_back_version_runs_no_calls(self) -> None:
        """Guards against calls from daemons that have not learned of it yet."""
        observer = self.start_rollout(_NEW, "v2")
        self.assertTrue(observer.may_serve())
        rolled_back = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.fixture.tracker.merge_rollout(rolled_back)
        self.assertFalse(observer.may_serve())

    def start_with_unknown_version(self) -> observers.Observer:
        """Starts a roll-out, with a local backend server of unknown version."""
        unknown = self.fixture.upstreams[0]._replace(version="")
        self.fixture.upstreams = (unknown, *self.fixture.upstreams[1:])
        return self.start_rollout(_OLD, "")

    def end_rollout(self, state: control_pb2.RolloutState) -> None:
        """Ends the roll-out with a final state."""
        self.fixture.tracker.merge_rollout(builders.build_rollout(state=state))

    def test_unknown_version_reports_nothing(self) -> None:
        """Guards against calls of the new version in the baseline."""
        observer = self.start_with_unknown_version()
        self.record_calls(observer, 30, failed=True)
        observer.update()
        self.assertEqual(self.fixture.tracker.list_reports(), [])

    def test_server_that_lost_its_version_reports_nothing(self) -> None:
        """Guards against counting a restarted server as one of the old version.

        The member table lists its former version for some time after a restart.
        """
        observer = self.start_rollout(_OLD, "v1")
        self.backend.version = ""
        self.record_calls(observer, 30, failed=True)
        self.assertEqual(self.fixture.tracker.list_reports(), [])

    def test_unknown_version_runs_no_calls_during_rollout(self) -> None:
        """Guards against calls to a server whose version may be a bad one."""
        observer = self.start_with_unknown_version()
        self.assertFalse(observer.may_serve())
        # The roll-out is rolled back if it is undecided after 0.8 of its 10 s.
        self.fixture.clock.now += 7.9
        self.assertFalse(observer.may_serve())
        self.fixture.clock.now += 0.2
        self.fixture.tracker.update(builders.SERVICE)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.BACK)
        self.assertFalse(observer.may_serve())
        self.end_rollout(control_pb2.ROLLED_BACK)
        self.assertFalse(observer.may_serve())
        self.backend.version = "v1"
        self.assertTrue(observer.may_serve())

    def test_unknown_version_is_not_reported_drained(self) -> None:
        """Guards against a server of the new version that reports drained."""
        observer = self.start_with_unknown_version()
        healthy = builders.build_report(_NEW, 500, 0, watched_ms=9_000)
        self.fixture.tracker.merge_report(healthy)
        self.assertIs(self.fixture.progress.phase, analysis.Phase.NEW)
        self.fixture.clock.now += 1.0
        self.assertFalse(observer.may_serve())
        observer.update()
        self.assertFalse(self.fixture.progress.is_drained(_OLD))

    def test_unknown_version_runs_calls_after_completion(self) -> None:
        """Guards against refused calls after every restart of a daemon."""
        observer = self.start_with_unknown_version()
        self.end_rollout(control_pb2.COMPLETE)
        self.fixture.clock.now += 1.0
        self.assertTrue(observer.may_serve())

    def test_unknown_version_does_not_refuse_calls_permanently(self) -> None:
        """Guards against excluding servers that never announce a version."""
        observer = self.start_with_unknown_version()
        self.end_rollout(control_pb2.ROLLED_BACK)
        # Before and after `tracker._VERSION_TIMEOUT_S`, 10 s.
        self.fixture.clock.now += 5.0
        self.assertFalse(observer.may_serve())
        self.fixture.clock.now += 10.0
        self.assertTrue(observer.may_serve())

    def complete_rollout(self, version: str) -> observers.Observer:
        """Completes a roll-out, and builds the observer of a backend server.

        Args:
            version: Version of the backend server.
        """
        observer = self.start_rollout("10.0.2.1:7600", version)
        self.end_rollout(control_pb2.COMPLETE)
        self.fixture.clock.now += 1.0
        observer.update()
        return observer

    def test_old_version_refuses_calls_after_completion(self) -> None:
        """Guards against calls that are lost when their server is stopped."""
        self.assertFalse(self.complete_rollout("v1").may_serve())

    def test_old_version_runs_calls_after_the_new_one_left(self) -> None:
        """Guards against refusing all calls once the new version has left."""
        observer = self.complete_rollout("v1")
        self.fixture.upstreams = self.fixture.upstreams[:3]
        observer.update()
        self.assertTrue(observer.may_serve())

    def test_later_version_does_not_refuse_calls(self) -> None:
        """Guards against confusing a later version with the replaced one."""
        self.assertTrue(self.complete_rollout("v3").may_serve())

    def test_later_version_runs_calls_after_the_new_one_left(self) -> None:
        """Guards against refusing calls if the old version was never seen.

        The daemon considers every other version replaced, but only while the
        new version has upstreams.
        """
        self.fixture.upstreams = self.fixture.upstreams[3:]
        observer = self.complete_rollout("v3")
        self.assertFalse(observer.may_serve())
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        self.fixture.upstreams = (later,)
        observer.update()
        self.assertTrue(observer.may_serve())

    def test_service_without_rollout_is_not_observed(self) -> None:
        """Guards against refused calls or reports without a roll-out."""
        observer = observers.Observer(
            self.fixture.tracker, self.backend, lambda: _OLD, lambda: 0
        )
        observer.record_call("lookup", True, 1.0)
        observer.update()
        self.assertTrue(observer.may_serve())
        self.assertEqual(self.fixture.tracker.list_reports(), [])
