"""Tests of what the daemon beside a backend server sees in a roll-out."""

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
        self.site = builders.Site()
        self.backend = backends.LocalBackend()
        self.backend.service = builders.SERVICE
        self.running = 0

    def observe(self, member_id: str, version: str) -> observers.Observer:
        """Builds the observer beside one backend server, and orders."""
        self.backend.version = version
        self.site.book.merge_rollout(builders.build_rollout())
        return observers.Observer(
            self.site.book,
            self.backend,
            lambda: member_id,
            lambda: self.running,
            self.site.clock,
        )

    def note(
        self,
        observer: observers.Observer,
        calls: int,
        failed: bool = False,
        took_s: float = 0.1,
    ) -> None:
        """Notes calls, twenty a second."""
        for _ in range(calls):
            self.site.clock.now += 0.05
            observer.record_answer("lookup", failed, took_s)

    def tell_baseline(self, calls: int = 100, bad: int = 0) -> None:
        """Tells what the version before did, in 0.1 s a call."""
        trial = builders.build_trial(_OLD, calls, bad)
        self.site.book.merge_trial(trial)

    def test_a_version_that_fails_is_suspect(self) -> None:
        observer = self.observe(_NEW, "v2")
        self.note(observer, 30, failed=True)
        self.assertTrue(self.site.progress.is_suspect(_NEW))

    def test_a_slow_version_is_suspect(self) -> None:
        """Guards against a version that answers well and far too late."""
        observer = self.observe(_NEW, "v2")
        self.tell_baseline()
        self.note(observer, 30, took_s=0.5)
        self.assertTrue(self.site.progress.is_suspect(_NEW))

    def test_a_cold_start_is_not_slow(self) -> None:
        """Guards against going back from a version that has just started."""
        observer = self.observe(_NEW, "v2")
        self.tell_baseline()
        self.backend.warm_at = self.site.clock.now + 10.0
        self.note(observer, 30, took_s=0.5)
        self.assertFalse(self.site.progress.is_suspect(_NEW))

    def test_without_a_baseline_nothing_is_slow(self) -> None:
        """Guards against a slowness that nothing is compared with."""
        observer = self.observe(_NEW, "v2")
        self.tell_baseline(calls=3)
        self.note(observer, 30, took_s=0.5)
        self.assertFalse(self.site.progress.is_suspect(_NEW))

    def test_what_fails_anyway_is_not_the_version(self) -> None:
        """Guards against going back for a disturbance of both versions."""
        observer = self.observe(_NEW, "v2")
        self.tell_baseline(bad=30)
        for _ in range(20):
            self.note(observer, 1, failed=True)
            self.note(observer, 2)
        self.assertFalse(self.site.progress.is_suspect(_NEW))

    def test_the_version_before_is_closed_and_drained(self) -> None:
        """Guards against calls that run where all is about to be stopped."""
        observer = self.observe(_OLD, "v1")
        good = builders.build_trial(_NEW, 500, 0, watched_ms=9_000)
        self.site.book.merge_trial(good)
        self.assertIs(self.site.progress.phase, analysis.Phase.NEW)
        self.assertTrue(observer.may_run())
        self.running = 1
        self.site.clock.now += 1.0
        self.assertFalse(observer.may_run())
        observer.update()
        self.assertFalse(self.site.progress.is_drained(_OLD))
        self.running = 0
        observer.update()
        self.assertTrue(self.site.progress.is_drained(_OLD))

    def test_a_version_that_went_back_runs_nothing(self) -> None:
        """Guards against senders that have not heard of the end."""
        observer = self.observe(_NEW, "v2")
        self.assertTrue(observer.may_run())
        end = builders.build_rollout(state=control_pb2.ROLLED_BACK)
        self.site.book.merge_rollout(end)
        self.assertFalse(observer.may_run())

    def hide_version(self) -> observers.Observer:
        """Has the own backend server say no version, and orders."""
        unknown = self.site.upstreams[0]._replace(version="")
        self.site.upstreams = (unknown, *self.site.upstreams[1:])
        return self.observe(_OLD, "")

    def end(self, state: control_pb2.RolloutState) -> None:
        """Ends the roll-out."""
        self.site.book.merge_rollout(builders.build_rollout(state=state))

    def test_one_that_says_no_version_tells_nothing(self) -> None:
        """Guards against answers of a new version in the baseline."""
        observer = self.hide_version()
        self.note(observer, 30, failed=True)
        observer.update()
        self.assertEqual(self.site.book.list_trials(), [])

    def test_one_that_just_lost_its_version_tells_nothing(self) -> None:
        """Guards against a restart that the table of members shows later."""
        observer = self.observe(_OLD, "v1")
        self.backend.version = ""
        self.note(observer, 30, failed=True)
        self.assertEqual(self.site.book.list_trials(), [])

    def test_one_that_says_no_version_runs_nothing_meanwhile(self) -> None:
        """Guards against senders that have not heard of a bad version."""
        observer = self.hide_version()
        self.assertFalse(observer.may_run())
        self.site.clock.now += 7.9
        self.assertFalse(observer.may_run())
        self.site.clock.now += 0.2
        self.site.book.update(builders.SERVICE)
        self.assertIs(self.site.progress.phase, analysis.Phase.BACK)
        self.assertFalse(observer.may_run())
        self.end(control_pb2.ROLLED_BACK)
        self.assertFalse(observer.may_run())
        self.backend.version = "v1"
        self.assertTrue(observer.may_run())

    def test_one_that_says_no_version_is_not_said_to_be_drained(self) -> None:
        """Guards against a new version that is counted as ended."""
        observer = self.hide_version()
        good = builders.build_trial(_NEW, 500, 0, watched_ms=9_000)
        self.site.book.merge_trial(good)
        self.assertIs(self.site.progress.phase, analysis.Phase.NEW)
        self.site.clock.now += 1.0
        self.assertFalse(observer.may_run())
        observer.update()
        self.assertFalse(self.site.progress.is_drained(_OLD))

    def test_one_that_says_no_version_runs_once_it_is_complete(self) -> None:
        """Guards against refusals after each restart of a daemon."""
        observer = self.hide_version()
        self.end(control_pb2.COMPLETE)
        self.site.clock.now += 1.0
        self.assertTrue(observer.may_run())

    def test_one_that_never_says_a_version_is_not_closed_for_good(self) -> None:
        """Guards against a roll-out that ends what it does not concern."""
        observer = self.hide_version()
        self.end(control_pb2.ROLLED_BACK)
        self.site.clock.now += 5.0
        self.assertFalse(observer.may_run())
        self.site.clock.now += 10.0
        self.assertTrue(observer.may_run())

    def complete(self, version: str) -> observers.Observer:
        """Completes a roll-out as the daemon beside a version sees it."""
        observer = self.observe("10.0.2.1:7600", version)
        self.end(control_pb2.COMPLETE)
        self.site.clock.now += 1.0
        observer.update()
        return observer

    def test_the_version_before_stays_closed_where_the_new_one_serves(
        self,
    ) -> None:
        """Guards against calls that are lost as their server is stopped."""
        self.assertFalse(self.complete("v1").may_run())

    def test_the_version_before_serves_again_if_only_it_does(self) -> None:
        """Guards against a service that refuses all after the new one left."""
        observer = self.complete("v1")
        self.site.upstreams = self.site.upstreams[:3]
        observer.update()
        self.assertTrue(observer.may_run())

    def test_a_later_version_is_not_closed(self) -> None:
        """Guards against a later version taken for the one before."""
        self.assertTrue(self.complete("v3").may_run())

    def test_a_later_version_serves_once_the_new_one_left(self) -> None:
        """Guards against a daemon that never heard of the version before."""
        self.site.upstreams = self.site.upstreams[3:]
        observer = self.complete("v3")
        self.assertFalse(observer.may_run())
        later = builders.build_upstream("10.0.2.1:7600", "v3")
        self.site.upstreams = (later,)
        observer.update()
        self.assertTrue(observer.may_run())

    def test_a_service_without_a_roll_out_is_left_alone(self) -> None:
        observer = observers.Observer(
            self.site.book, self.backend, lambda: _OLD, lambda: 0
        )
        observer.record_answer("lookup", True, 1.0)
        observer.update()
        self.assertTrue(observer.may_run())
        self.assertEqual(self.site.book.list_trials(), [])
