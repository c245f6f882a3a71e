"""Progress: how far the roll-out of one service has come."""

from __future__ import annotations

import statistics
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.members import table as tables

# Calls of a class after which a backend server tells what part of them fails.
_LEAST_BASELINE_CALLS = 10
_MS = 1000


class Baseline(NamedTuple):
    """What the version before did, of one class of work.

    Attributes:
        calls: Calls that it was given.
        took_ms: Time that they took in all, in ms.
        failed: Part of them that failed; None: too few to tell. Of what several
            of its backend servers show the middle one counts: one that is sick
            by itself would make failures of the new version look usual.
    """

    calls: int = 0
    took_ms: int = 0
    failed: float | None = None


class Progress:
    """How far the roll-out of one service has come, as known here.

    Attributes:
        rollout: The order, and how it ended.
        phase: Which version gets the calls.
        heard_at: When the order became known here, in seconds.
        phase_at: When the phase began, in seconds.
        trials: What was seen beside each backend server, by daemon.
        serving: Daemons beside backend servers of the new version.
        new: These, and those that are gone.
        before: Daemons beside backend servers of another version that serve
            now. One whose version was not heard yet is in neither.
        old: These, and those that are gone.
        old_versions: Versions of the others, as seen until the end.
        baseline: What the version before did, by class of work.
    """

    def __init__(self, rollout: control_pb2.Rollout, now: float):
        self.rollout = rollout
        self.phase = analysis.Phase.TRIAL
        self.heard_at = now
        self.phase_at = now
        self.trials: dict[str, control_pb2.Trial] = {}
        self.serving: frozenset[str] = frozenset()
        self.new: frozenset[str] = frozenset()
        self.before: frozenset[str] = frozenset()
        self.old: frozenset[str] = frozenset()
        self.old_versions: frozenset[str] = frozenset()
        self.baseline: dict[str, Baseline] = {}

    @property
    def ended(self) -> bool:
        """True once its end is written."""
        return self.rollout.state in records.ENDED

    def sort(self, upstreams: Sequence[tables.Upstream]) -> None:
        """Takes in which version each upstream has now, and what was seen."""
        new = {one.member_id for one in upstreams if self.is_new(one.version)}
        if not self.ended:
            versions = {one.version for one in upstreams}
            self.old_versions |= set(filter(self.is_old, versions))
        self.serving = frozenset(new)
        self.new |= new
        old = {one.member_id for one in upstreams if self.is_old(one.version)}
        self.before = frozenset(old - self.new)
        self.old = (self.old | old) - self.new
        self.baseline = self._add_up_baseline()

    def is_new(self, version: str) -> bool:
        """Returns whether a version is the new one; empty: not heard."""
        return version == self.rollout.version

    def is_old(self, version: str) -> bool:
        """Returns whether a version is one before; empty: not heard."""
        return bool(version) and not self.is_new(version)

    def is_replaced(self, version: str) -> bool:
        """Returns whether the new version serves in place of another one.

        A version that came later is not replaced. A daemon that never heard of
        the version before cannot tell the two apart.
        """
        heard = self.old_versions
        return bool(self.serving) and (not heard or version in heard)

    def is_suspect(self, member_id: str) -> bool:
        """Returns whether a backend server showed bad answers."""
        trial = self.trials.get(member_id)
        return trial is not None and trial.suspect

    def is_drained(self, member_id: str) -> bool:
        """Returns whether a backend server takes and runs no calls any more."""
        trial = self.trials.get(member_id)
        return trial is not None and trial.drained

    def list_baseline(self, count: int) -> list[str]:
        """Returns the daemons that tell of the version before."""
        return sorted(self.before)[:count]

    def get_failed(self) -> dict[str, float]:
        """Returns the part that fails of the version before, by class."""
        return {
            name: one.failed
            for name, one in self.baseline.items()
            if one.failed is not None
        }

    def list_evidence(self) -> list[analysis.Evidence]:
        """Returns what was seen of the new version.

        Those of which nothing was seen yet are among it: what one of several
        shows does not count alone.
        """
        seen = {name for name in self.trials if name in self.new}
        return [
            self._get_evidence(name) for name in sorted(seen | self.serving)
        ]

    def _add_up_baseline(self) -> dict[str, Baseline]:
        seen: dict[str, list[control_pb2.ClassRecord]] = {}
        for member_id, trial in self.trials.items():
            if member_id in self.old:
                for one in trial.classes:
                    seen.setdefault(one.name, []).append(one)
        return {name: _add_up(some) for name, some in seen.items()}

    def _get_evidence(self, member_id: str) -> analysis.Evidence:
        trial = self.trials.get(member_id, control_pb2.Trial())
        return analysis.Evidence(
            tuple(
                analysis.ClassEvidence(one.name, one.calls, one.bad)
                for one in trial.classes
            ),
            trial.watched_ms / _MS,
            trial.suspect,
        )


def _add_up(seen: Sequence[control_pb2.ClassRecord]) -> Baseline:
    """Returns what several backend servers did, of one class of work."""
    parts = [
        one.bad / one.calls
        for one in seen
        if one.calls >= _LEAST_BASELINE_CALLS
    ]
    return Baseline(
        sum(one.calls for one in seen),
        sum(one.took_ms for one in seen),
        statistics.median(parts) if parts else None,
    )
