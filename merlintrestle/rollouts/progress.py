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

# Calls of a class after which the failure ratio of a backend server counts.
_MIN_BASELINE_CALLS = 10
_MS_PER_S = 1000


class Baseline(NamedTuple):
    """Results of the old version in one class of work.

    Attributes:
        calls: Number of calls.
        total_ms: Sum of their durations, in ms.
        failure_ratio: Median of the failure ratios of its backend servers;
            None: too few calls. With the mean, one faulty backend server would
            make failures of the new version look normal.
    """

    calls: int = 0
    total_ms: int = 0
    failure_ratio: float | None = None


class Progress:
    """Progress of the roll-out of one service, as known to this daemon.

    An old version is any version other than the one that the order names. A
    backend server whose version is not known yet counts as neither old nor new.

    Attributes:
        rollout: The order, with the state in which it ended.
        phase: Which version gets the calls.
        received_at: Monotonic time when this daemon received the order, in
            seconds.
        phase_started_at: Monotonic time when the phase began, in seconds.
        trials: Records of the backend servers, by the id of their daemon.
        new_ids: Ids of the daemons whose backend server is of the new version.
        new_ids_seen: `new_ids`, and those that are gone.
        old_ids: Ids of the daemons whose backend server is of an old version,
            without any that were in `new_ids` before.
        old_ids_seen: `old_ids`, and those that are gone.
        old_versions: Old versions seen before the end of the roll-out.
        baseline: Results of the old version, by class of work.
    """

    def __init__(self, rollout: control_pb2.Rollout, now: float):
        self.rollout = rollout
        self.phase = analysis.Phase.TRIAL
        self.received_at = now
        self.phase_started_at = now
        self.trials: dict[str, control_pb2.Trial] = {}
        self.new_ids: frozenset[str] = frozenset()
        self.new_ids_seen: frozenset[str] = frozenset()
        self.old_ids: frozenset[str] = frozenset()
        self.old_ids_seen: frozenset[str] = frozenset()
        self.old_versions: frozenset[str] = frozenset()
        self.baseline: dict[str, Baseline] = {}

    @property
    def ended(self) -> bool:
        """True once its end is written."""
        return self.rollout.state in records.ENDED

    def classify(self, upstreams: Sequence[tables.Upstream]) -> None:
        """Sorts the upstreams by version, and recomputes the baseline."""
        new = {
            upstream.member_id
            for upstream in upstreams
            if self.is_new(upstream.version)
        }
        if not self.ended:
            versions = {upstream.version for upstream in upstreams}
            self.old_versions |= set(filter(self.is_old, versions))
        self.new_ids = frozenset(new)
        self.new_ids_seen |= new
        old = {
            upstream.member_id
            for upstream in upstreams
            if self.is_old(upstream.version)
        }
        self.old_ids = frozenset(old - self.new_ids_seen)
        self.old_ids_seen = (self.old_ids_seen | old) - self.new_ids_seen
        self.baseline = self._compute_baseline()

    def is_new(self, version: str) -> bool:
        """Returns whether a version is the new one; empty: not known yet."""
        return version == self.rollout.version

    def is_old(self, version: str) -> bool:
        """Returns whether a version is an old one; empty: not known yet."""
        return bool(version) and not self.is_new(version)

    def is_replaced(self, version: str) -> bool:
        """Returns whether the new version serves in place of another one.

        A version that appeared after the end of the roll-out is not replaced.
        A daemon that has seen no old version cannot tell the two apart, and
        takes every other version as replaced.
        """
        replaced = self.old_versions
        return bool(self.new_ids) and (not replaced or version in replaced)

    def is_suspect(self, member_id: str) -> bool:
        """Returns whether the answers of a backend server were bad."""
        trial = self.trials.get(member_id)
        return trial is not None and trial.suspect

    def is_drained(self, member_id: str) -> bool:
        """Returns whether a backend server accepts and runs no more calls."""
        trial = self.trials.get(member_id)
        return trial is not None and trial.drained

    def list_baseline_ids(self, count: int) -> list[str]:
        """Returns the ids of the daemons that report on the old version."""
        return sorted(self.old_ids)[:count]

    def get_failure_ratios(self) -> dict[str, float]:
        """Returns the failure ratio of the old version, by class of work."""
        return {
            name: baseline.failure_ratio
            for name, baseline in self.baseline.items()
            if baseline.failure_ratio is not None
        }

    def list_evidence(self) -> list[analysis.Evidence]:
        """Returns the evidence from each backend server of the new version.

        Backend servers without a record are included, because the only backend
        server of a version decides alone, and one of several does not.
        """
        reported = {name for name in self.trials if name in self.new_ids_seen}
        return [
            self._get_evidence(name) for name in sorted(reported | self.new_ids)
        ]

    def _compute_baseline(self) -> dict[str, Baseline]:
        by_class: dict[str, list[control_pb2.ClassRecord]] = {}
        for member_id, trial in self.trials.items():
            if member_id in self.old_ids_seen:
                for record in trial.classes:
                    by_class.setdefault(record.name, []).append(record)
        return {
            name: _combine_records(class_records)
            for name, class_records in by_class.items()
        }

    def _get_evidence(self, member_id: str) -> analysis.Evidence:
        trial = self.trials.get(member_id, control_pb2.Trial())
        return analysis.Evidence(
            tuple(
                analysis.ClassEvidence(record.name, record.calls, record.bad)
                for record in trial.classes
            ),
            trial.watched_ms / _MS_PER_S,
            trial.suspect,
        )


def _combine_records(
    class_records: Sequence[control_pb2.ClassRecord],
) -> Baseline:
    """Combines the records of several backend servers in one class of work."""
    ratios = [
        record.bad / record.calls
        for record in class_records
        if record.calls >= _MIN_BASELINE_CALLS
    ]
    return Baseline(
        sum(record.calls for record in class_records),
        sum(record.took_ms for record in class_records),
        statistics.median(ratios) if ratios else None,
    )
