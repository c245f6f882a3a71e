"""Observation of the local backend server during a roll-out."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import prometheus_client

from merlintrestle import events as event_logs
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import progress as progresses
from merlintrestle.rollouts import sequential
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.rollouts import tracker as trackers

events = event_logs.EventLog("rollouts")

# Multiple of the mean duration of its class from which an answer is slow. The
# speeds of the backend servers of one version differ by a factor of up to 2.5;
# a bad version is several times as slow.
_SLOW_FACTOR = 3.5
# Calls of the old version that its mean duration needs to be reliable.
_MIN_BASELINE_CALLS = 10
# Interval between two reports, in seconds.
_REPORT_INTERVAL_S = 0.5
# Backend servers of the old version that report: those with the lowest ids.
_MAX_BASELINE_SERVERS = 6
# Delay after which the old version is closed, in seconds. By then the other
# daemons know that the new version gets all calls.
_CLOSE_DELAY_S = 0.5
_MS_PER_S = 1000
_NO_BASELINE = progresses.Baseline()

_ANSWERS = prometheus_client.Counter(
    "merlintrestle_rollout_calls_total",
    "Calls of the own backend server during a roll-out.",
    ["service", "version", "result"],
)


class Observer:
    """Counts the answers of the local backend server during a roll-out.

    The local daemon sees all calls of its backend server, so a few answers are
    enough to judge it. It also sees them before a bad link can affect them.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        backend: backends.LocalBackend,
        get_local_id: Callable[[], str],
        count_in_flight: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Sets the roll-outs and the local backend server.

        Args:
            tracker: The roll-outs.
            backend: The local backend server.
            get_local_id: Returns the id of this daemon.
            count_in_flight: Returns the number of calls in flight at the
                backend server.
            get_time: Returns the monotonic time in seconds.
        """
        self._tracker = tracker
        self._backend = backend
        self._get_local_id = get_local_id
        self._count_in_flight = count_in_flight
        self._get_time = get_time
        self._trial = control_pb2.Trial()
        self._classes: dict[str, control_pb2.ClassRecord] = {}
        self._tests: dict[str, sequential.SequentialTest] = {}
        self._started_at = 0.0
        self._reported_at = 0.0

    def may_run(self) -> bool:
        """Returns whether the local backend server may run calls.

        Daemons that do not know of the phase yet, or are cut off from the
        others, keep sending calls. All calls to the backend server pass through
        its local daemon, so this check stops them.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None:
            return True
        version = self._backend.version
        if progress.is_new(version):
            return progress.phase is not analysis.Phase.BACK
        if progress.is_old(version):
            return not self._is_closed(progress)
        return self._tracker.accepts_unknown_version(progress)

    def record_answer(self, name: str, failed: bool, took_s: float) -> None:
        """Records a call of the local backend server, answered or not.

        Args:
            name: Class of work of the call.
            failed: Whether the call failed.
            took_s: Duration of the call, in seconds.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None or progress.ended:
            return
        self._reset_for_new_order(progress)
        if progress.is_new(self._backend.version):
            baseline = progress.baseline.get(name, _NO_BASELINE)
            bad = failed or self._is_slow(baseline, took_s)
            self._count(name, bad, took_s)
            self._update_test(baseline, name, bad)
        elif self._reports_baseline(progress):
            self._count(name, failed, took_s)
        else:
            return
        self._report()

    def update(self) -> None:
        """Reports changes that occur without a call, such as a drained server.

        Called regularly.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None:
            return
        if progress.ended:
            # The controller updates open roll-outs only, but the upstreams that
            # serve still change.
            self._tracker.update(self._backend.service)
            return
        self._reset_for_new_order(progress)
        drained = (
            progress.is_old(self._backend.version)
            and self._is_closed(progress)
            and not self._count_in_flight()
        )
        if drained and not self._trial.drained:
            self._trial.drained = True
            self._report(at_once=True)
        elif self._classes:
            self._report()

    def _reset_for_new_order(self, progress: progresses.Progress) -> None:
        """Resets the counts if the roll-out is another one."""
        rollout = progress.rollout
        if self._trial.number == rollout.number:
            return
        self._trial = control_pb2.Trial(
            service=rollout.service,
            number=rollout.number,
            member_id=self._get_local_id(),
        )
        self._classes.clear()
        self._tests.clear()
        self._started_at = 0.0

    def _is_closed(self, progress: progresses.Progress) -> bool:
        """Returns whether the old version gets no more calls."""
        if (
            progress.phase is not analysis.Phase.NEW
            or not progress.new_ids_seen
        ):
            return False
        if progress.ended and not progress.is_replaced(self._backend.version):
            return False
        return self._get_time() - progress.phase_started_at >= _CLOSE_DELAY_S

    def _is_slow(self, baseline: progresses.Baseline, took_s: float) -> bool:
        """Returns whether an answer is slow; never during a cold start."""
        if self._get_time() < self._backend.warm_at:
            return False
        if baseline.calls < _MIN_BASELINE_CALLS:
            return False
        mean_s = baseline.total_ms / baseline.calls / _MS_PER_S
        return took_s > _SLOW_FACTOR * mean_s

    def _count(self, name: str, bad: bool, took_s: float) -> None:
        if not self._started_at:
            self._started_at = self._get_time()
        record = self._classes.setdefault(
            name, control_pb2.ClassRecord(name=name)
        )
        record.calls += 1
        record.bad += bad
        record.took_ms += round(took_s * _MS_PER_S)
        _ANSWERS.labels(
            self._backend.service,
            self._backend.version,
            "bad" if bad else "good",
        ).inc()

    def _update_test(
        self, baseline: progresses.Baseline, name: str, bad: bool
    ) -> None:
        test = self._tests.setdefault(name, sequential.SequentialTest())
        allowed = analysis.get_allowed_bad_ratio(baseline.failure_ratio or 0.0)
        test.record(bad, allowed)
        if not test.alarmed or self._trial.suspect:
            return
        self._trial.suspect = True
        record = self._classes[name]
        events.warn(
            "version suspect",
            service=self._backend.service,
            version=self._backend.version,
            work=name,
            calls=record.calls,
            bad=record.bad,
            allowed=round(allowed, 3),
        )
        self._report(at_once=True)

    def _report(self, at_once: bool = False) -> None:
        now = self._get_time()
        if not at_once and now - self._reported_at < _REPORT_INTERVAL_S:
            return
        self._reported_at = now
        trial = self._trial
        if self._started_at:
            trial.watched_ms = round((now - self._started_at) * _MS_PER_S)
        del trial.classes[:]
        trial.classes.extend(self._classes.values())
        self._tracker.merge_trial(trial)

    def _reports_baseline(self, progress: progresses.Progress) -> bool:
        """Returns whether this daemon reports on the old version."""
        if not progress.is_old(self._backend.version):
            return False
        return self._get_local_id() in progress.list_baseline_ids(
            _MAX_BASELINE_SERVERS
        )
