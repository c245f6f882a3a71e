"""Progress of the roll-out of one service."""

from __future__ import annotations

import statistics
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.members import table as tables

# Minimum number of calls of one class of work before a backend server's failure
# ratio is part of the baseline.
_MIN_CALLS_FOR_FAILURE_RATIO = 10
_MS_PER_S = 1000


class Baseline(NamedTuple):
    """Call statistics of the old version in one class of work.

    Attributes:
        calls: Number of calls.
        total_ms: Sum of their durations, in ms.
        failure_ratio: Median of the failure ratios of its backend servers, or
            None if no backend server has received enough calls. With the mean,
            one faulty backend server would make failures of the new version
            look normal.
    """

    calls: int = 0
    total_ms: int = 0
    failure_ratio: float | None = None


class Progress:
    """Progress of the roll-out of one service, as known to this daemon.

    The new version is the one that the order names; every other version is an
    old one. A backend server whose version is not known yet counts as neither.

    Backend servers are identified by the member id of their daemon. A backend
    server that has ever been of the new version never counts as old, because
    its report may include calls of the new version.

    Attributes:
        rollout: The order, with its last known state.
        earlier_numbers: Numbers of the order in earlier eras of the store.
        phase: Phase of the roll-out.
        received_at: Monotonic time when this daemon received the order, in
            seconds.
        phase_started_at: Monotonic time when the phase began, in seconds.
        reports: Call statistics that each daemon reports of its backend server,
            of the old or the new version, by member id.
        new_ids: Member ids of the backend servers of the new version.
        all_new_ids: Like `new_ids`, but including daemons that have left.
        old_ids: Member ids of the backend servers of an old version, without
            any in `all_new_ids`.
        all_old_ids: Like `old_ids`, but including daemons that have left.
        old_versions: Old versions seen before the order had a final state.
        baseline: Call statistics of the old version, by class of work.
    """

    def __init__(self, rollout: control_pb2.Rollout, now: float):
        self.rollout = rollout
        self.earlier_numbers: set[int] = set()
        self.phase = analysis.Phase.TRIAL
        self.received_at = now
        self.phase_started_at = now
        self.reports: dict[str, control_pb2.Trial] = {}
        self.new_ids: frozenset[str] = frozenset()
        self.all_new_ids: frozenset[str] = frozenset()
        self.old_ids: frozenset[str] = frozenset()
        self.all_old_ids: frozenset[str] = frozenset()
        self.old_versions: frozenset[str] = frozenset()
        self.baseline: dict[str, Baseline] = {}

    def renumber(self, number: int) -> None:
        """Changes the number of the order, which was written again.

        Args:
            number: Its number in a later era of the store.
        """
        self.earlier_numbers.add(self.rollout.number)
        self.reports = {
            member_id: records.renumber_report(report, number)
            for member_id, report in self.reports.items()
        }

    @property
    def ended(self) -> bool:
        """True once the order is known to be in a final state."""
        return self.rollout.state in records.FINAL_STATES

    def classify(self, upstreams: Sequence[tables.Upstream]) -> None:
        """Groups the upstreams by version, and recomputes the baseline."""
        new_ids = {
            upstream.member_id
            for upstream in upstreams
            if self.is_new(upstream.version)
        }
        if not self.ended:
            versions = {upstream.version for upstream in upstreams}
            self.old_versions |= set(filter(self.is_old, versions))
        self.new_ids = frozenset(new_ids)
        self.all_new_ids |= new_ids
        old_ids = {
            upstream.member_id
            for upstream in upstreams
            if self.is_old(upstream.version)
        }
        self.old_ids = frozenset(old_ids - self.all_new_ids)
        self.all_old_ids = (self.all_old_ids | old_ids) - self.all_new_ids
        self.baseline = self._compute_baseline()

    def is_new(self, version: str) -> bool:
        """Returns whether a version is the new one.

        Args:
            version: The version; empty if it is not known yet.
        """
        return version == self.rollout.version

    def is_old(self, version: str) -> bool:
        """Returns whether a version is an old one.

        Args:
            version: The version; empty if it is not known yet.
        """
        return bool(version) and not self.is_new(version)

    def is_replaced(self, version: str) -> bool:
        """Returns whether the new version has replaced another version.

        This requires that the new version still has upstreams. A version that
        appeared after the roll-out ended is not replaced. If this daemon has
        seen no old version, it cannot distinguish replaced versions from later
        ones, and considers all other versions replaced.

        Args:
            version: A version other than the new one.
        """
        old_versions = self.old_versions
        return bool(self.new_ids) and (
            not old_versions or version in old_versions
        )

    def is_suspect(self, member_id: str) -> bool:
        """Returns whether a backend server has given too many bad answers."""
        report = self.reports.get(member_id)
        return report is not None and report.suspect

    def is_drained(self, member_id: str) -> bool:
        """Returns whether a backend server neither accepts nor runs calls."""
        report = self.reports.get(member_id)
        return report is not None and report.drained

    def list_baseline_ids(self, count: int) -> list[str]:
        """Returns the ids of the daemons that report on the old version.

        Args:
            count: Maximum number of ids; those with the lowest ids report.
        """
        return sorted(self.old_ids)[:count]

    def get_failure_ratios(self) -> dict[str, float]:
        """Returns the failure ratio of the old version, by class of work."""
        return {
            class_name: baseline.failure_ratio
            for class_name, baseline in self.baseline.items()
            if baseline.failure_ratio is not None
        }

    def list_evidence(self) -> list[analysis.Evidence]:
        """Returns the evidence from each backend server of the new version.

        Backend servers without a report are included, since the number of
        suspects that a rollback requires depends on the number of servers.
        """
        reported_ids = {
            member_id
            for member_id in self.reports
            if member_id in self.all_new_ids
        }
        return [
            self._get_evidence(member_id)
            for member_id in sorted(reported_ids | self.new_ids)
        ]

    def _compute_baseline(self) -> dict[str, Baseline]:
        by_class: dict[str, list[control_pb2.ClassRecord]] = {}
        for member_id, report in self.reports.items():
            if member_id in self.all_old_ids:
                for class_record in report.classes:
                    by_class.setdefault(class_record.name, []).append(
                        class_record
                    )
        return {
            class_name: _combine_class_records(class_records)
            for class_name, class_records in by_class.items()
        }

    def _get_evidence(self, member_id: str) -> analysis.Evidence:
        report = self.reports.get(member_id, control_pb2.Trial())
        return analysis.Evidence(
            tuple(
                analysis.ClassEvidence(
                    class_record.name, class_record.calls, class_record.bad
                )
                for class_record in report.classes
            ),
            report.watched_ms / _MS_PER_S,
            report.suspect,
        )


def _combine_class_records(
    class_records: Sequence[control_pb2.ClassRecord],
) -> Baseline:
    """Combines the statistics of several backend servers in one class.

    A bad call of the old version is one that failed.
    """
    failure_ratios = [
        class_record.bad / class_record.calls
        for class_record in class_records
        if class_record.calls >= _MIN_CALLS_FOR_FAILURE_RATIO
    ]
    return Baseline(
        sum(class_record.calls for class_record in class_records),
        sum(class_record.took_ms for class_record in class_records),
        statistics.median(failure_ratios) if failure_ratios else None,
    )
