"""Observation of the local backend server during a roll-out."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import prometheus_client

from merlintrestle import events as event_logs
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import cusum
from merlintrestle.rollouts import progress as progresses
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.rollouts import tracker as trackers

events = event_logs.EventLog("rollouts")

# An answer is slow if it takes more than this multiple of the old version's
# mean duration in its class of work. The speeds of the backend servers of one
# version differ by a factor of up to 2.5; a bad version is several times as
# slow.
_SLOW_FACTOR = 3.5
# Minimum number of calls of the old version in a class of work before their
# mean duration is reliable.
_MIN_CALLS_FOR_MEAN_DURATION = 10
# Interval between two reports, in seconds.
_REPORT_INTERVAL_S = 0.5
# Maximum number of backend servers of the old version that report.
_MAX_BASELINE_SERVERS = 6
# Time from the start of the phase `NEW`, in which the new version gets all
# calls, until backend servers of the old version refuse calls, in seconds. By
# then the other daemons have learned of the phase and send them no more calls.
_REFUSAL_DELAY_S = 0.5
_MS_PER_S = 1000
_NO_BASELINE = progresses.Baseline()

_CALLS = prometheus_client.Counter(
    "merlintrestle_rollout_calls_total",
    "Calls of the own backend server during a roll-out.",
    ["service", "version", "result"],
)


class Observer:
    """Counts the calls of the local backend server during a roll-out.

    The local daemon sees all calls of its backend server, so a bad version is
    detected after few answers. Failures and durations are measured before an
    answer is sent to another daemon, so that problems of a link are not
    attributed to the version.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        backend: backends.LocalBackend,
        get_local_id: Callable[[], str],
        count_in_flight: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Initializes the observer.

        Args:
            tracker: Tracks the roll-outs of all services.
            backend: The local backend server.
            get_local_id: Returns the member id of this daemon.
            count_in_flight: Returns the number of calls in flight at the
                backend server.
            get_time: Returns the monotonic time in seconds.
        """
        self._tracker = tracker
        self._backend = backend
        self._get_local_id = get_local_id
        self._count_in_flight = count_in_flight
        self._get_time = get_time
        self._report = control_pb2.Trial()
        self._classes: dict[str, control_pb2.ClassRecord] = {}
        self._detectors: dict[str, cusum.CusumDetector] = {}
        self._first_call_at = 0.0
        self._reported_at = 0.0

    def may_serve(self) -> bool:
        """Returns whether the local backend server may run calls.

        Daemons that have not learned of the phase yet, or are cut off from the
        others, keep sending calls. The local daemon refuses these calls, as all
        calls to its backend server pass through it.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None:
            return True
        version = self._backend.version
        if progress.is_new(version):
            return progress.phase is not analysis.Phase.BACK
        if progress.is_old(version):
            return not self._refuses_calls(progress)
        return self._tracker.may_run_unknown_version(progress)

    def record_call(
        self, class_name: str, failed: bool, duration_s: float
    ) -> None:
        """Records a finished call, which may have failed without an answer.

        Args:
            class_name: Class of work of the call.
            failed: Whether the call failed.
            duration_s: Duration of the call, in seconds.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None or progress.ended:
            return
        self._reset_for_new_order(progress)
        if progress.is_new(self._backend.version):
            baseline = progress.baseline.get(class_name, _NO_BASELINE)
            bad = failed or self._is_slow(baseline, duration_s)
            self._count(class_name, bad, duration_s)
            self._update_detector(baseline, class_name, bad)
        elif self._is_baseline_server(progress):
            # The old version is the baseline for durations, so only its
            # failures count as bad.
            self._count(class_name, failed, duration_s)
        else:
            return
        self._publish_report()

    def update(self) -> None:
        """Reports changes that occur without a call, such as a drained server.

        To be called regularly.
        """
        progress = self._tracker.get(self._backend.service)
        if progress is None:
            return
        if progress.ended:
            # The controller updates open roll-outs only. Here the tracker must
            # also follow changes of the upstreams: if all of the new version
            # leave after the end, the old version must run calls again.
            self._tracker.update(self._backend.service)
            return
        self._reset_for_new_order(progress)
        drained = (
            progress.is_old(self._backend.version)
            and self._refuses_calls(progress)
            and not self._count_in_flight()
        )
        if drained and not self._report.drained:
            self._report.drained = True
            self._publish_report(immediately=True)
        elif self._classes:
            self._publish_report()

    def _reset_for_new_order(self, progress: progresses.Progress) -> None:
        """Resets the counts if they belong to an earlier order."""
        rollout = progress.rollout
        if self._report.number == rollout.number:
            return
        if self._report.number in progress.earlier_numbers:
            self._report.number = rollout.number
            return
        self._report = control_pb2.Trial(
            service=rollout.service,
            number=rollout.number,
            member_id=self._get_local_id(),
        )
        self._classes.clear()
        self._detectors.clear()
        self._first_call_at = 0.0

    def _refuses_calls(self, progress: progresses.Progress) -> bool:
        """Returns whether the local backend server refuses calls.

        Its version must be an old one.
        """
        if progress.phase is not analysis.Phase.NEW or not progress.all_new_ids:
            return False
        if progress.ended and not progress.is_replaced(self._backend.version):
            return False
        return self._get_time() - progress.phase_started_at >= _REFUSAL_DELAY_S

    def _is_slow(
        self, baseline: progresses.Baseline, duration_s: float
    ) -> bool:
        """Returns whether a call of the new version took too long.

        No call counts as slow during the warm-up of the backend server, nor
        without a baseline.
        """
        if self._get_time() < self._backend.warmup_ends_at:
            return False
        if baseline.calls < _MIN_CALLS_FOR_MEAN_DURATION:
            return False
        mean_s = baseline.total_ms / baseline.calls / _MS_PER_S
        return duration_s > _SLOW_FACTOR * mean_s

    def _count(self, class_name: str, bad: bool, duration_s: float) -> None:
        if not self._first_call_at:
            self._first_call_at = self._get_time()
        class_record = self._classes.setdefault(
            class_name, control_pb2.ClassRecord(name=class_name)
        )
        class_record.calls += 1
        class_record.bad += bad
        class_record.took_ms += round(duration_s * _MS_PER_S)
        _CALLS.labels(
            self._backend.service,
            self._backend.version,
            "bad" if bad else "good",
        ).inc()

    def _update_detector(
        self, baseline: progresses.Baseline, class_name: str, bad: bool
    ) -> None:
        detector = self._detectors.setdefault(class_name, cusum.CusumDetector())
        allowed_ratio = analysis.get_allowed_bad_ratio(
            baseline.failure_ratio or 0.0
        )
        detector.record(bad, allowed_ratio)
        if not detector.alarmed or self._report.suspect:
            return
        self._report.suspect = True
        class_record = self._classes[class_name]
        events.warn(
            "version suspect",
            service=self._backend.service,
            version=self._backend.version,
            work=class_name,
            calls=class_record.calls,
            bad=class_record.bad,
            allowed=round(allowed_ratio, 3),
        )
        self._publish_report(immediately=True)

    def _publish_report(self, immediately: bool = False) -> None:
        """Merges the report into the tracker, unless the last one is recent.

        Args:
            immediately: Whether to ignore the time of the last report.
        """
        now = self._get_time()
        if not immediately and now - self._reported_at < _REPORT_INTERVAL_S:
            return
        self._reported_at = now
        report = self._report
        if self._first_call_at:
            report.watched_ms = round((now - self._first_call_at) * _MS_PER_S)
        del report.classes[:]
        report.classes.extend(self._classes.values())
        self._tracker.merge_report(report)

    def _is_baseline_server(self, progress: progresses.Progress) -> bool:
        """Returns whether the local backend server is part of the baseline."""
        if not progress.is_old(self._backend.version):
            return False
        return self._get_local_id() in progress.list_baseline_ids(
            _MAX_BASELINE_SERVERS
        )
