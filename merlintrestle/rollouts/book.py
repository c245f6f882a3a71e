"""The book: what this daemon knows of the roll-outs of all services."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.rollouts import judgement
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from merlintrestle.members import table as tables

events = event_logs.EventLog("rollouts")

# Part of its time after which a roll-out that is not decided goes back: a
# version that got too few calls to be judged is not held for good.
_DECIDED_PART = 0.9
# Calls of a class after which a backend server tells what part of them fails.
_LEAST_BASELINE_CALLS = 10
_MS = 1000


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
        before: Those beside the others that serve now.
        old_versions: Versions of the others, as seen until the end.
    """

    def __init__(self, rollout: control_pb2.Rollout, now: float):
        self.rollout = rollout
        self.phase = judgement.Phase.TRIAL
        self.heard_at = now
        self.phase_at = now
        self.trials: dict[str, control_pb2.Trial] = {}
        self.serving: frozenset[str] = frozenset()
        self.new: frozenset[str] = frozenset()
        self.before: frozenset[str] = frozenset()
        self.old_versions: frozenset[str] = frozenset()

    @property
    def ended(self) -> bool:
        """True once its end is written."""
        return self.rollout.state in records.ENDED

    def sort(self, upstreams: Sequence[tables.Upstream]) -> None:
        """Takes in which version each upstream has now."""
        target = self.rollout.version
        new = {one.member_id for one in upstreams if one.version == target}
        if not self.ended:
            versions = {one.version for one in upstreams if one.version}
            self.old_versions |= versions - {target}
        self.serving = frozenset(new)
        self.new |= new
        known = {one.member_id for one in upstreams}
        self.before = frozenset(known - self.new)

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

    def get_baseline(self) -> dict[str, control_pb2.ClassRecord]:
        """Returns what the version before did, by class of work."""
        sums: dict[str, control_pb2.ClassRecord] = {}
        for member_id, trial in self.trials.items():
            if member_id in self.new:
                continue
            for one in trial.classes:
                total = sums.setdefault(
                    one.name, control_pb2.ClassRecord(name=one.name)
                )
                total.calls += one.calls
                total.bad += one.bad
                total.took_ms += one.took_ms
        return sums

    def get_failed(self) -> dict[str, float]:
        """Returns the part that fails of the version before, by class.

        Of what several of its backend servers show the middle one counts: one
        that is sick by itself would make failures of the new version look
        usual.
        """
        parts: dict[str, list[float]] = {}
        for member_id, trial in self.trials.items():
            if member_id in self.new:
                continue
            for one in trial.classes:
                if one.calls >= _LEAST_BASELINE_CALLS:
                    part = one.bad / one.calls
                    parts.setdefault(one.name, []).append(part)
        return {name: statistics.median(some) for name, some in parts.items()}

    def list_evidence(self) -> list[judgement.Evidence]:
        """Returns what was seen of the new version.

        Those of which nothing was seen yet are among it: what one of several
        shows does not count alone.
        """
        seen = {name for name in self.trials if name in self.new}
        return [
            self._get_evidence(name) for name in sorted(seen | self.serving)
        ]

    def _get_evidence(self, member_id: str) -> judgement.Evidence:
        trial = self.trials.get(member_id, control_pb2.Trial())
        return judgement.Evidence(
            tuple(
                judgement.ClassEvidence(one.name, one.calls, one.bad)
                for one in trial.classes
            ),
            trial.watched_ms / _MS,
            trial.suspect,
        )


class Book:
    """The roll-outs of all services.

    Attributes:
        on_rollout: Called with each order, or its end, that is news.
        on_trial: Called with each record of a backend server that is news.
    """

    def __init__(
        self,
        get_upstreams: Callable[[str], tuple[tables.Upstream, ...]],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Starts without roll-outs.

        Args:
            get_upstreams: Returns the upstreams of a service.
            get_time: Returns the monotonic time in seconds.
        """
        self.on_rollout: list[Callable[[control_pb2.Rollout], None]] = []
        self.on_trial: list[Callable[[control_pb2.Trial], None]] = []
        self._get_upstreams = get_upstreams
        self._get_time = get_time
        self._services: dict[str, Progress] = {}

    def get(self, service: str) -> Progress | None:
        """Returns the roll-out of a service, also one that ended."""
        return self._services.get(service)

    def list_open(self) -> list[Progress]:
        """Returns the roll-outs that have no end yet."""
        return [one for one in self._services.values() if not one.ended]

    def list_rollouts(self) -> list[control_pb2.Rollout]:
        """Returns all orders known, ended ones included."""
        return [one.rollout for one in self._services.values()]

    def list_trials(self) -> list[control_pb2.Trial]:
        """Returns what was seen beside backend servers in open roll-outs."""
        return [
            trial for one in self.list_open() for trial in one.trials.values()
        ]

    def merge(
        self,
        rollouts: Iterable[control_pb2.Rollout],
        trials: Iterable[control_pb2.Trial],
    ) -> None:
        """Takes in what another daemon, or the store, tells."""
        for rollout in rollouts:
            self.merge_rollout(rollout)
        for trial in trials:
            self.merge_trial(trial)

    def merge_rollout(self, told: control_pb2.Rollout) -> None:
        """Takes in an order or its end, if it is news."""
        if fault := records.find_fault(told):
            events.warn("order refused", service=told.service, error=fault)
            return
        progress = self._services.get(told.service)
        held = progress.rollout if progress is not None else None
        kept = records.choose_rollout(held, told)
        if kept is None:
            return
        if progress is None or kept.number != progress.rollout.number:
            progress = Progress(kept, self._get_time())
            self._services[kept.service] = progress
        progress.rollout = kept
        events.note(
            "rollout heard",
            service=kept.service,
            version=kept.version,
            number=kept.number,
            within_ms=kept.within_ms,
            state=control_pb2.RolloutState.Name(kept.state).lower(),
        )
        self.update(kept.service)
        for notify in self.on_rollout:
            notify(kept)

    def merge_trial(self, told: control_pb2.Trial) -> None:
        """Takes in what was seen beside a backend server, if it is news."""
        progress = self._services.get(told.service)
        if progress is None or told.number != progress.rollout.number:
            return
        merged = records.merge_trial(progress.trials.get(told.member_id), told)
        if merged is None:
            return
        progress.trials[told.member_id] = merged
        self.update(told.service)
        for notify in self.on_trial:
            notify(merged)

    def update(self, service: str) -> judgement.Phase | None:
        """Judges the roll-out of a service anew; None: there is none."""
        progress = self._services.get(service)
        if progress is None:
            return None
        progress.sort(self._get_upstreams(service))
        phase = self._choose_phase(progress)
        if phase is not progress.phase:
            self._note_phase(progress, phase)
            progress.phase = phase
            progress.phase_at = self._get_time()
        return phase

    def get_phase_age(self, progress: Progress) -> float:
        """Returns the seconds since the phase of a roll-out began."""
        return self._get_time() - progress.phase_at

    def is_due(self, progress: Progress) -> bool:
        """Returns whether a roll-out has used up the time to decide."""
        within_s = progress.rollout.within_ms / _MS
        age_s = self._get_time() - progress.heard_at
        return age_s >= _DECIDED_PART * within_s

    def _choose_phase(self, progress: Progress) -> judgement.Phase:
        state = progress.rollout.state
        if state == control_pb2.ROLLED_BACK:
            return judgement.Phase.BACK
        if state == control_pb2.COMPLETE:
            return judgement.Phase.NEW
        judged = judgement.judge(
            progress.rollout.within_ms / _MS,
            progress.get_failed(),
            progress.list_evidence(),
        )
        phase = max(judged, progress.phase)
        if phase < judgement.Phase.NEW and self.is_due(progress):
            return judgement.Phase.BACK
        return phase

    def _note_phase(self, progress: Progress, phase: judgement.Phase) -> None:
        evidence = progress.list_evidence()
        events.note(
            "rollout phase",
            service=progress.rollout.service,
            version=progress.rollout.version,
            before=progress.phase.name.lower(),
            phase=phase.name.lower(),
            calls=sum(one.calls for one in evidence),
            bad=sum(one.bad for one in evidence),
            suspects=sum(one.suspect for one in evidence),
            backend_servers=len(evidence),
            failed_before={
                name: round(part, 3)
                for name, part in progress.get_failed().items()
            },
            age_ms=round((self._get_time() - progress.heard_at) * _MS),
        )
