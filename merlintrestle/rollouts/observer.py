"""The observer: what the daemon beside a backend server sees in a roll-out."""

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
    from merlintrestle.rollouts import tracker as books

events = event_logs.EventLog("rollouts")

# An answer that takes this multiple of the mean time of its class is slow.
# Backend servers of one version differ by a factor of two and a half in speed;
# a bad version is several times as slow.
_SLOW_FACTOR = 3.5
# Answers of the version before that tell its mean time.
_LEAST_BASELINE = 10
# Time between two reports, in seconds.
_REPORT_S = 0.5
# Backend servers of the version before that report: those with the least ids.
_BASELINE_SERVERS = 6
# Other daemons have heard by then that the other version gets all calls.
_CLOSE_S = 0.5
_MS = 1000
_NO_BASELINE = progresses.Baseline()

_ANSWERS = prometheus_client.Counter(
    "merlintrestle_rollout_calls_total",
    "Calls of the own backend server during a roll-out.",
    ["service", "version", "result"],
)


class Observer:
    """Counts the answers of the own backend server while it is compared.

    The daemon beside a backend server sees all calls that it gets, so that a
    few answers are enough, and sees them before a link could spoil them.
    """

    def __init__(
        self,
        book: books.RolloutTracker,
        backend: backends.LocalBackend,
        get_own_id: Callable[[], str],
        count_running: Callable[[], int],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Sets the parts.

        Args:
            book: The roll-outs.
            backend: The own backend server.
            get_own_id: Returns the id of this daemon.
            count_running: Returns the calls that the backend server holds.
            get_time: Returns the monotonic time in seconds.
        """
        self._book = book
        self._backend = backend
        self._get_own_id = get_own_id
        self._count_running = count_running
        self._get_time = get_time
        self._trial = control_pb2.Trial()
        self._classes: dict[str, control_pb2.ClassRecord] = {}
        self._tests: dict[str, sequential.SequentialTest] = {}
        self._began = 0.0
        self._reported_at = 0.0

    def may_run(self) -> bool:
        """Returns whether the own backend server is to get calls.

        Daemons that have not heard yet, or are cut off from the others, go on
        sending. Here is the one way to the backend server.
        """
        progress = self._book.get(self._backend.service)
        if progress is None:
            return True
        version = self._backend.version
        if progress.is_new(version):
            return progress.phase is not analysis.Phase.BACK
        if progress.is_old(version):
            return not self._is_closed(progress)
        return self._book.serves_unknown(progress)

    def record_answer(self, name: str, failed: bool, took_s: float) -> None:
        """Takes in an answer of the own backend server, or that none came.

        Args:
            name: Its class of work.
            failed: Whether it was a failure.
            took_s: Seconds from the call to its answer.
        """
        progress = self._book.get(self._backend.service)
        if progress is None or progress.ended:
            return
        self._follow(progress)
        if progress.is_new(self._backend.version):
            baseline = progress.baseline.get(name, _NO_BASELINE)
            bad = failed or self._is_slow(baseline, took_s)
            self._count(name, bad, took_s)
            self._test(baseline, name, bad)
        elif self._tells_baseline(progress):
            self._count(name, failed, took_s)
        else:
            return
        self._report()

    def update(self) -> None:
        """Reports what has changed without a call."""
        progress = self._book.get(self._backend.service)
        if progress is None:
            return
        if progress.ended:
            # The keeper judges open ones; who serves still changes.
            self._book.update(self._backend.service)
            return
        self._follow(progress)
        drained = (
            progress.is_old(self._backend.version)
            and self._is_closed(progress)
            and not self._count_running()
        )
        if drained and not self._trial.drained:
            self._trial.drained = True
            self._report(at_once=True)
        elif self._classes:
            self._report()

    def _follow(self, progress: progresses.Progress) -> None:
        """Begins to count anew for another roll-out."""
        rollout = progress.rollout
        if self._trial.number == rollout.number:
            return
        self._trial = control_pb2.Trial(
            service=rollout.service,
            number=rollout.number,
            member_id=self._get_own_id(),
        )
        self._classes.clear()
        self._tests.clear()
        self._began = 0.0

    def _is_closed(self, progress: progresses.Progress) -> bool:
        """Returns whether the version before gets no calls any more."""
        if progress.phase is not analysis.Phase.NEW or not progress.new:
            return False
        if progress.ended and not progress.is_replaced(self._backend.version):
            return False
        return self._get_time() - progress.phase_at >= _CLOSE_S

    def _is_slow(self, baseline: progresses.Baseline, took_s: float) -> bool:
        if self._get_time() < self._backend.warm_at:
            return False
        if baseline.calls < _LEAST_BASELINE:
            return False
        mean_s = baseline.took_ms / baseline.calls / _MS
        return took_s > _SLOW_FACTOR * mean_s

    def _count(self, name: str, bad: bool, took_s: float) -> None:
        if not self._began:
            self._began = self._get_time()
        record = self._classes.setdefault(
            name, control_pb2.ClassRecord(name=name)
        )
        record.calls += 1
        record.bad += bad
        record.took_ms += round(took_s * _MS)
        _ANSWERS.labels(
            self._backend.service,
            self._backend.version,
            "bad" if bad else "good",
        ).inc()

    def _test(
        self, baseline: progresses.Baseline, name: str, bad: bool
    ) -> None:
        test = self._tests.setdefault(name, sequential.SequentialTest())
        allowed = analysis.get_allowed_bad(baseline.failed or 0.0)
        test.note(bad, allowed)
        if not test.passed or self._trial.suspect:
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
        if not at_once and now - self._reported_at < _REPORT_S:
            return
        self._reported_at = now
        trial = self._trial
        if self._began:
            trial.watched_ms = round((now - self._began) * _MS)
        del trial.classes[:]
        trial.classes.extend(self._classes.values())
        self._book.merge_trial(trial)

    def _tells_baseline(self, progress: progresses.Progress) -> bool:
        if not progress.is_old(self._backend.version):
            return False
        return self._get_own_id() in progress.list_baseline(_BASELINE_SERVERS)
